/** Requests from entry nodes to a certified home, and their results. */
import type {Consistency} from '../catalog/types.js';
import type {CallerStatement, StatementOutput} from '../statements/types.js';
import type {TransactionStatus} from '../targets/types.js';
import type {Verdict} from '../verdict/verdict.js';
import type {SessionValues} from './team-connection.js';
import type {HomeRequest, HomeResult} from './types.js';

/** Names of the peer methods of a certified home. */
export const STATEMENT_METHODS = {
  run: 'statement.run',
  release: 'statement.release',
} as const;

/** One statement for a group's databases. */
export interface StatementRequest extends HomeRequest {
  readonly statement: CallerStatement;
  readonly consistency: Consistency;
  readonly maxStalenessMs: number;
  /** Time left to meet the route's latency goal, in milliseconds. */
  readonly latencyGoalMs: number;
  /** Log position of the session's last commit in this group. */
  readonly position: HomeResult['position'];
  readonly values: SessionValues;
  /** The kind of transaction that it opens, if any. */
  readonly opens: 'readOnly' | 'readWrite' | undefined;
}

/** The outcome of a statement. */
export interface StatementResult extends HomeResult {
  readonly output: StatementOutput | undefined;
}

/** Creates the result of a statement that failed with a verdict. */
export function failedStatement(
  verdict: Verdict,
  transaction: TransactionStatus = 'idle',
): StatementResult {
  return {
    verdict,
    transaction,
    pin: undefined,
    position: undefined,
    output: undefined,
  };
}
