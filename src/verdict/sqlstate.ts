/** Maps verdicts to the fields of PostgreSQL error responses. */
import type {MayHaveRun, NotRun, RefusalReason} from './verdict.js';

/** The SQLSTATE of a request whose outcome is unknown. */
export const MAY_HAVE_RUN_SQLSTATE = '08007';

/** The fields of an ErrorResponse. */
export interface ErrorFields {
  /** FATAL if the connection is closed after the error. */
  readonly severity: 'ERROR' | 'FATAL';
  readonly sqlstate: string;
  readonly message: string;
  /** Machine-readable `key=value` pairs. */
  readonly detail: string;
  /** Advice for the user on what to do next. */
  readonly hint: string;
}

/** The constant error fields of a refusal reason. */
interface RefusalRule {
  readonly severity: ErrorFields['severity'];
  readonly sqlstate: string;
  readonly hint: string;
}

const REFUSALS: Readonly<Record<RefusalReason, RefusalRule>> = {
  badRequest: {
    severity: 'FATAL',
    sqlstate: '08P01',
    hint: 'Check the client library: it broke the wire protocol.',
  },
  unsupported: {
    severity: 'ERROR',
    sqlstate: '0A000',
    hint: 'The proxy does not offer this; change the statement.',
  },
  unknownRoute: {
    severity: 'FATAL',
    sqlstate: '3D000',
    hint: 'Check the database name against the route table.',
  },
  notAuthorised: {
    severity: 'FATAL',
    sqlstate: '28P01',
    hint: 'Check the team and its key; the key may have been withdrawn.',
  },
  cutOff: {
    severity: 'ERROR',
    sqlstate: '57P03',
    hint: 'This VM has lost touch with the platform; connect to another.',
  },
  rateLimited: {
    severity: 'ERROR',
    sqlstate: '53400',
    hint: "The team is over its rate; slow down or ask to raise the row's rate.",
  },
  budgetUnavailable: {
    severity: 'ERROR',
    sqlstate: '57P03',
    hint: 'No VM could say whether the team is within its rate.',
  },
  overloaded: {
    severity: 'ERROR',
    sqlstate: '53300',
    hint: 'The queue is longer than the deadline allows.',
  },
  cancelled: {
    severity: 'ERROR',
    sqlstate: '57014',
    hint: 'It was cancelled while it waited and did not run.',
  },
  noPrimary: {
    severity: 'ERROR',
    sqlstate: '57P03',
    hint: 'The database group has no primary yet; a failover may be under way.',
  },
  staleReplicas: {
    severity: 'ERROR',
    sqlstate: '57P03',
    hint: 'No database is fresh enough for this read.',
  },
  targetUnavailable: {
    severity: 'ERROR',
    sqlstate: '57P03',
    hint: 'The database could not be reached.',
  },
  homeUnavailable: {
    severity: 'ERROR',
    sqlstate: '57P03',
    hint: "The VM that holds the group's connections could not be reached.",
  },
  shuttingDown: {
    severity: 'FATAL',
    sqlstate: '57P01',
    hint: 'This VM is leaving; connect again to reach another.',
  },
  evacuated: {
    severity: 'ERROR',
    sqlstate: '57P03',
    hint: 'A data centre is evacuated and no database elsewhere can run it yet.',
  },
};

const MAY_HAVE_RUN_HINT =
  'The request may have run. Read back its effect before sending it again.';

/**
 * Maps a failed verdict to the fields of an ErrorResponse.
 *
 * @example
 * toErrorFields(notRun('rateLimited', 'over the rate', 120)).sqlstate; // 53400
 */
export function toErrorFields(verdict: NotRun | MayHaveRun): ErrorFields {
  if (verdict.kind === 'mayHaveRun') {
    return {
      severity: 'ERROR',
      sqlstate: MAY_HAVE_RUN_SQLSTATE,
      message: verdict.message,
      detail: `outcome=may_have_run reason=${verdict.reason}`,
      hint: MAY_HAVE_RUN_HINT,
    };
  }
  const {severity, sqlstate, hint} = REFUSALS[verdict.reason];
  const detail = `outcome=not_run reason=${verdict.reason}`;
  if (verdict.retryAfterMs === undefined) {
    return {severity, sqlstate, message: verdict.message, detail, hint};
  }
  const waitMs = Math.max(0, Math.ceil(verdict.retryAfterMs));
  return {
    severity,
    sqlstate,
    message: verdict.message,
    detail: `${detail} retry_after_ms=${waitMs}`,
    hint: `${hint} It did not run; send it again in ${waitMs} ms.`,
  };
}

/**
 * Parses the retry time in a detail field; undefined if there is none.
 *
 * @example
 * readRetryAfterMs('outcome=not_run reason=overloaded retry_after_ms=40'); // 40
 */
export function readRetryAfterMs(detail: string): number | undefined {
  const match = /(?:^| )retry_after_ms=(\d{1,9})(?: |$)/.exec(detail);
  return match === null ? undefined : Number(match[1]);
}
