/** The results of statements. */

/** A column of a result. */
export interface ResultColumn {
  readonly name: string;
  /** The type's object id in PostgreSQL's catalogue. */
  readonly typeOid: number;
}

/** What a statement returns; `columns` is absent where it returns no rows. */
export interface Result {
  readonly columns?: readonly ResultColumn[];
  readonly rows?: Iterable<readonly string[]>;
  /** The tag of CommandComplete. */
  readonly tag: string;
}

/** Object ids of the types that results use. */
export const TYPE_OIDS = {
  int8: 20,
  int4: 23,
  text: 25,
  name: 19,
  void: 2278,
} as const;

/** Text columns by name. */
export function textColumns(...names: readonly string[]): ResultColumn[] {
  return names.map(name => ({name, typeOid: TYPE_OIDS.text}));
}
