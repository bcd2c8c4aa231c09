/** What a statement is, as far as routing needs to know. */

/** One statement, classified. */
export type Statement =
  | {readonly kind: 'empty'}
  /** Changes nothing: may run on a replica and may be repeated. */
  | {readonly kind: 'read'}
  /** Everything in doubt: runs on the primary, at most once. */
  | {readonly kind: 'write'}
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  /** `chain` opens the next transaction at once. */
  | {readonly kind: 'commit'; readonly chain: boolean}
  | {readonly kind: 'rollback'; readonly chain: boolean}
  /** SAVEPOINT, RELEASE and ROLLBACK TO. */
  | {readonly kind: 'savepoint'}
  /** A session parameter; without a value it goes back to its default. */
  | {
      readonly kind: 'set';
      readonly name: string;
      readonly value: string | undefined;
    }
  | {readonly kind: 'show'; readonly name: string}
  /** Refused with 0A000. */
  | {readonly kind: 'unsupported'; readonly message: string}
  /** Refused with the parser's own error. */
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
  /** The statement that binds the whole text. */
  readonly strictest: Statement;
}

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

/** Collects statements into a classification. */
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
