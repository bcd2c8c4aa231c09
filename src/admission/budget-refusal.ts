/** Builds the refusal of a team's statement: its reason and retry delay. */

import type {SyncSchedule} from './sync-schedule.js';
import type {TeamHolder} from './team-holder.js';
import type {TeamOwner} from './team-owner.js';
import type {Admission, BudgetLimits} from './types.js';

const MIN_RETRY_MS = 1;
const MAX_RETRY_MS = 60_000;
/** Retry delay at a node that may not spend. */
const MAY_NOT_SPEND_RETRY_MS = 1_000;

/** The state of a budget at a node that refuses a statement. */
export interface RefusalContext {
  readonly maySpend: boolean;
  readonly limits: BudgetLimits;
  /** The owner's side, if this node owns the budget. */
  readonly owner: TeamOwner | undefined;
  readonly holder: TeamHolder;
  readonly schedule: SyncSchedule;
}

/**
 * Creates a refusal. Only the owner, or a holder that it answered, can tell that
 * a team is over its rate; any other node refuses as `unavailable`.
 */
export function createRefusal(context: RefusalContext): Admission {
  const {limits, maySpend, owner, schedule} = context;
  if (!maySpend) return refusal('unavailable', MAY_NOT_SPEND_RETRY_MS);
  if (limits.burst < 1) return refusal('overRate', MAX_RETRY_MS);
  const dueMs = msUntilToken(context);
  const boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, dueMs));
  const isConfirmed = owner !== undefined || schedule.hasOwnerAnswered;
  return refusal(
    isConfirmed ? 'overRate' : 'unavailable',
    Math.ceil(boundedMs),
  );
}

function msUntilToken({
  owner,
  holder,
  limits,
  schedule,
}: RefusalContext): number {
  if (owner === undefined) {
    return Math.min(holder.msUntilToken(), schedule.msUntilTokenExpected());
  }
  const poolMs = owner.msUntilToken();
  return poolMs === Infinity ? 1_000 / limits.rate : poolMs;
}

function refusal(
  reason: (Admission & {kind: 'refused'})['reason'],
  retryAfterMs: number,
): Admission {
  return {kind: 'refused', reason, retryAfterMs};
}
