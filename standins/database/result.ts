/** Statement results and their column types. */

/** A column of a result. */
export interface ResultColumn {
  readonly name: string;
  /** PostgreSQL's object id of the type. */
  readonly typeOid: number;
}

/** The result of a statement; without `columns` for statements without rows. */
export interface Result {
  readonly columns?: readonly ResultColumn[];
  readonly rows?: Iterable<readonly string[]>;
  /** Command tag of the CommandComplete message. */
  readonly tag: string;
}

/** PostgreSQL object ids of the types in results. */
export const TYPE_OIDS = {
  int8: 20,
  int4: 23,
  text: 25,
  name: 19,
  void: 2278,
} as const;

/** Returns columns of type text with the given names. */
export function textColumns(...names: readonly string[]): ResultColumn[] {
  return names.map(name => ({name, typeOid: TYPE_OIDS.text}));
}
