/** Why and until when a team's statement is refused. */

import type {SyncSchedule} from './sync-schedule.js';
import type {TeamHolder} from './team-holder.js';
import type {TeamOwner} from './team-owner.js';
import type {Admission, BudgetLimits} from './types.js';

const MIN_RETRY_MS = 1;
const MAX_RETRY_MS = 60_000;
/** When to come back to a node that may not spend. */
const NO_STANDING_RETRY_MS = 1_000;

/** What a node knows of a budget when it refuses a statement. */
export interface RefusalFacts {
  readonly maySpend: boolean;
  readonly limits: BudgetLimits;
  /** The ledger, if this node owns the budget. */
  readonly owner: TeamOwner | undefined;
  readonly holder: TeamHolder;
  readonly schedule: SyncSchedule;
}

/**
 * Only an owner, or a node that it answered, knows that a team is over its
 * rate; any other refuses as `unavailable`.
 */
export function createRefusal(facts: RefusalFacts): Admission {
  const {limits, maySpend, owner, schedule} = facts;
  if (!maySpend) return refusal('unavailable', NO_STANDING_RETRY_MS);
  if (limits.burst < 1) return refusal('overRate', MAX_RETRY_MS);
  const dueMs = msUntilToken(facts);
  const boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, dueMs));
  const isKnown = owner !== undefined || schedule.isAnswered;
  return refusal(isKnown ? 'overRate' : 'unavailable', Math.ceil(boundedMs));
}

function msUntilToken({owner, holder, limits, schedule}: RefusalFacts): number {
  if (owner === undefined) {
    return Math.min(holder.msUntilToken(), schedule.msUntilOwnerHasToken());
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
