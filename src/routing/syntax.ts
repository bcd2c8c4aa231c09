/** Helpers to look into the parser's JSON tree. */

/** A node of the parse tree. */
export type Tree = Readonly<Record<string, unknown>>;

/** Whether a value is an object of the tree. */
export function isTree(value: unknown): value is Tree {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** A child that is an object; an empty one if there is none. */
export function childOf(tree: Tree, key: string): Tree {
  const child = tree[key];
  return isTree(child) ? child : {};
}

/** A child that is a list; an empty one if there is none. */
export function listOf(tree: Tree, key: string): readonly unknown[] {
  const child = tree[key];
  return Array.isArray(child) ? child : [];
}

/** A child that is text; empty if there is none. */
export function textOf(tree: Tree, key: string): string {
  const child = tree[key];
  return typeof child === 'string' ? child : '';
}

/** The parts of a qualified name, such as a function's. */
export function namePartsOf(list: readonly unknown[]): readonly string[] {
  return list.map(part =>
    isTree(part) ? textOf(childOf(part, 'String'), 'sval') : '',
  );
}

/**
 * Visits each key of each object of a tree; stops when `visit` returns true,
 * and says whether it did.
 */
export function someKey(
  value: unknown,
  visit: (key: string, child: unknown) => boolean,
): boolean {
  if (Array.isArray(value)) return value.some(item => someKey(item, visit));
  if (!isTree(value)) return false;
  return Object.entries(value).some(
    ([key, child]) => visit(key, child) || someKey(child, visit),
  );
}
