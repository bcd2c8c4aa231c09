/** Helpers for reading the parser's JSON parse tree. */

/** An object of the parse tree: a node, or a wrapper keyed by node type. */
export type Tree = Readonly<Record<string, unknown>>;

/** Whether a value is an object of the parse tree. */
export function isTree(value: unknown): value is Tree {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns a child object; an empty one if there is none. */
export function childOf(tree: Tree, key: string): Tree {
  const child = tree[key];
  return isTree(child) ? child : {};
}

/** Returns a child list; an empty one if there is none. */
export function listOf(tree: Tree, key: string): readonly unknown[] {
  const child = tree[key];
  return Array.isArray(child) ? child : [];
}

/** Returns a child string; an empty one if there is none. */
export function textOf(tree: Tree, key: string): string {
  const child = tree[key];
  return typeof child === 'string' ? child : '';
}

/** Returns the parts of a qualified name, such as a function's. */
export function namePartsOf(list: readonly unknown[]): readonly string[] {
  return list.map(part =>
    isTree(part) ? textOf(childOf(part, 'String'), 'sval') : '',
  );
}

/**
 * Whether `visit` returns true for any key of any object of a tree; stops at
 * the first one.
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
