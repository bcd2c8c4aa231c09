/** Chooses a fenced database and promotes it. */
import type {Clock} from '../infra/clock.js';
import {comparePositions} from '../session/position.js';
import type {FencedDatabase} from './fencing.js';
import {majorityOf} from './group-view.js';
import type {DatabaseControl, DatabaseSpec} from './types.js';

const PROMOTE_ATTEMPTS = 3;
const VERIFY_ATTEMPTS = 5;
const VERIFY_PAUSE_MS = 50;

/** Ranks equally advanced databases; the highest rank is preferred. */
export type DatabaseRank = (spec: DatabaseSpec) => number;

/**
 * Returns the most advanced of the fenced databases.
 *
 * The suspected primary is excluded if the others are a majority of the group
 * by themselves: they hold every write acknowledged with `ack=replica`, and
 * promoting a primary that its replicas can't reach would not help.
 */
export function chooseMostAdvanced(
  fenced: readonly FencedDatabase[],
  groupSize: number,
  suspectId: string | undefined,
  rank: DatabaseRank,
): FencedDatabase | undefined {
  const others = fenced.filter(({control}) => control.spec.id !== suspectId);
  const othersAreMajority = others.length >= majorityOf(groupSize);
  return (othersAreMajority ? others : fenced).toSorted((a, b) =>
    compareCandidates(a, b, rank),
  )[0];
}

/** Sort comparator: the preferred database first. */
function compareCandidates(
  a: FencedDatabase,
  b: FencedDatabase,
  rank: DatabaseRank,
): number {
  const aSpec = a.control.spec;
  const bSpec = b.control.spec;
  return (
    comparePositions(b.status.received, a.status.received) ||
    rank(bSpec) - rank(aSpec) ||
    (aSpec.id < bSpec.id ? -1 : 1)
  );
}

/** Options of {@link promoteAndVerify}. */
export interface PromotionOrder {
  readonly clock: Clock;
  readonly control: DatabaseControl;
  readonly term: number;
  readonly orderer: string;
  readonly timeoutMs: number;
}

/** The outcome of a promotion; `unknown` if it may still take effect. */
export type PromotionResult = 'promoted' | 'refused' | 'unknown';

/**
 * Promotes one database and verifies that it leads.
 *
 * An unanswered order may have taken effect, so it is only repeated to the same
 * database: promoting another one at this term could create two primaries.
 */
export async function promoteAndVerify(
  order: PromotionOrder,
): Promise<PromotionResult> {
  for (let tries = 0; tries < PROMOTE_ATTEMPTS; tries++) {
    const granted = await promoteOnce(order);
    if (granted === false) return 'refused';
    if (granted === true) break;
  }
  return (await verifyLeads(order)) ? 'promoted' : 'unknown';
}

/** Returns whether the promotion was granted; undefined without an answer. */
async function promoteOnce({
  control,
  term,
  orderer,
  timeoutMs,
}: PromotionOrder): Promise<boolean | undefined> {
  try {
    return await control.promote(term, orderer, timeoutMs);
  } catch {
    return undefined;
  }
}

async function verifyLeads({
  clock,
  control,
  term,
  timeoutMs,
}: PromotionOrder): Promise<boolean> {
  for (let tries = 0; tries < VERIFY_ATTEMPTS; tries++) {
    try {
      const status = await control.status(timeoutMs);
      if (status.role === 'primary' && status.term === term) return true;
    } catch {
      // Only the status query is retried, not the promotion.
    }
    await clock.sleep(VERIFY_PAUSE_MS);
  }
  return false;
}
