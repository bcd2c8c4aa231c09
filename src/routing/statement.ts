/** The kinds of statements that routing distinguishes. */

/** The classification of one statement. */
export type Statement =
  | {readonly kind: 'empty'}
  /** Read-only: may run on a replica and may be repeated. */
  | {readonly kind: 'read'}
  /**
   * Everything not known to be read-only: runs on the primary, at most once.
   */
  | {readonly kind: 'write'}
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  /** `chain` begins a new transaction immediately (AND CHAIN). */
  | {readonly kind: 'commit'; readonly chain: boolean}
  | {readonly kind: 'rollback'; readonly chain: boolean}
  /** SAVEPOINT, RELEASE and ROLLBACK TO. */
  | {readonly kind: 'savepoint'}
  /** Sets a session parameter; without a value, resets it to its default. */
  | {
      readonly kind: 'set';
      readonly name: string;
      readonly value: string | undefined;
    }
  | {readonly kind: 'show'; readonly name: string}
  /** Refused with SQLSTATE 0A000. */
  | {readonly kind: 'unsupported'; readonly message: string}
  /** Refused with a syntax error or because it can't be parsed. */
  | {
      readonly kind: 'invalid';
      readonly sqlstate: string;
      readonly message: string;
      /** 1-based character position, as in an ErrorResponse. */
      readonly position: number | undefined;
    };

/** The statements of one SQL text. */
export interface Classification {
  readonly statements: readonly Statement[];
  /**
   * The statement with the strictest kind; it decides how the text is routed.
   */
  readonly strictest: Statement;
}

/** Kinds in ascending order of strictness. */
const STRICTNESS: readonly Statement['kind'][] = [
  'empty',
  'read',
  'show',
  'set',
  'savepoint',
  'rollback',
  'commit',
  'begin',
  'write',
  'unsupported',
  'invalid',
];

/** Builds the classification of a text from its statements. */
export function classificationOf(
  statements: readonly Statement[],
): Classification {
  let strictest: Statement = {kind: 'empty'};
  for (const statement of statements) {
    if (rank(statement) > rank(strictest)) strictest = statement;
  }
  return {statements, strictest};
}

function rank(statement: Statement): number {
  return STRICTNESS.indexOf(statement.kind);
}

/** Builds an unsupported statement. */
export function unsupported(message: string): Statement {
  return {kind: 'unsupported', message};
}
