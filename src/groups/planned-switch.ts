/** Planned switch of a group's primary, ordered by an operator. */
import type {Clock} from '../infra/clock.js';
import {covers} from '../session/position.js';
import {nextTerm, orderFailover, type FailoverResult} from './failover.js';
import {fenceMajority, type FencedDatabase} from './fencing.js';
import {promoteAndVerify} from './promotion.js';
import type {DatabaseControl} from './types.js';

const CATCH_UP_TIMEOUT_MS = 2_000;
/** Shorter, since writes are held meanwhile. */
const HELD_CATCH_UP_TIMEOUT_MS = 500;
const DATABASE_CALL_TIMEOUT_MS = 300;

/** Holds this node's writes while the primary changes. */
export interface WriteHold {
  /**
   * Holds new writes; resolves when none of this node's writes is in progress.
   */
  holdWrites(): Promise<void>;
  releaseWrites(): void | Promise<void>;
}

/** The current primary. */
interface Leader {
  readonly control: DatabaseControl;
  /** The term after the highest one known to the group. */
  readonly nextTerm: number;
}

/** The outcome of a planned switch. */
export type SwitchResult =
  | {readonly kind: 'switched'; readonly term: number}
  /** Nothing was changed; the old primary still leads. */
  | {readonly kind: 'notStarted'; readonly reason: string}
  /** The switch failed after fencing had begun, so a failover was ordered. */
  | {
      readonly kind: 'fellBack';
      readonly reason: string;
      readonly failover: FailoverResult;
    };

/** Options of {@link switchPrimary}. */
export interface SwitchOrder {
  readonly clock: Clock;
  readonly controls: readonly DatabaseControl[];
  readonly targetDatabaseId: string;
  readonly hold: WriteHold;
  /** Returns a new orderer id for each attempt. */
  readonly nextOrderer: () => string;
  /** How long the target may take to catch up before writes are held. */
  readonly catchUpMs?: number;
}

/**
 * Makes the target database primary. Writes are held until the switch succeeds
 * or is given up. No committed write is lost, since the target is promoted only
 * if its log covers the log of every fenced database.
 *
 * @example
 * await switchPrimary({clock, controls, targetDatabaseId: 'claims-3', hold,
 *   nextOrderer: () => agent.nextOrderer()});
 */
export async function switchPrimary(order: SwitchOrder): Promise<SwitchResult> {
  const {controls, targetDatabaseId, hold} = order;
  const target = controls.find(({spec}) => spec.id === targetDatabaseId);
  if (target === undefined) {
    return notStarted(`the group has no database ${targetDatabaseId}`);
  }
  const leader = await findLeader(controls);
  if (leader === undefined) return notStarted('no primary answers');
  if (leader.control === target) {
    return notStarted(`${targetDatabaseId} leads already`);
  }
  // The target catches up before writes are held, so that the hold is short.
  const unheldFailure = await catchUp(
    leader,
    target,
    order.catchUpMs ?? CATCH_UP_TIMEOUT_MS,
  );
  if (unheldFailure !== undefined) return notStarted(unheldFailure);
  try {
    await hold.holdWrites();
    const heldFailure = await catchUp(leader, target, HELD_CATCH_UP_TIMEOUT_MS);
    if (heldFailure !== undefined) return notStarted(heldFailure);
    return await fenceAndPromote(order, leader, target);
  } finally {
    await hold.releaseWrites();
  }
}

/** Returns the primary of the highest term among the databases that answer. */
async function findLeader(
  controls: readonly DatabaseControl[],
): Promise<Leader | undefined> {
  const answers = await Promise.allSettled(
    controls.map(async control => {
      const status = await control.status(DATABASE_CALL_TIMEOUT_MS);
      return {control, status};
    }),
  );
  const known = answers.flatMap(answer =>
    answer.status === 'fulfilled' ? [answer.value] : [],
  );
  const term = nextTerm(known.map(({status}) => status));
  const leader = known
    .filter(({status}) => status.role === 'primary')
    .toSorted((a, b) => b.status.term - a.status.term)[0];
  return leader && {control: leader.control, nextTerm: term};
}

/**
 * Waits until the target holds the primary's log. Returns undefined, or the
 * reason why it does not.
 */
async function catchUp(
  leader: Leader,
  target: DatabaseControl,
  waitMs: number,
): Promise<string | undefined> {
  const id = target.spec.id;
  try {
    const {term, received} = await leader.control.status(
      DATABASE_CALL_TIMEOUT_MS,
    );
    const result = await target.confirm(term, received, waitMs);
    if (result.kind === 'confirmed') return undefined;
    if (result.kind === 'fenced') return `${id} is fenced above term ${term}`;
    return `${id} did not reach the primary within ${waitMs} ms`;
  } catch {
    return `${leader.control.spec.id} or ${id} does not answer`;
  }
}

/**
 * Fences a majority, checks that the target holds every log entry, and promotes
 * it.
 */
async function fenceAndPromote(
  order: SwitchOrder,
  leader: Leader,
  target: DatabaseControl,
): Promise<SwitchResult> {
  const {clock, controls} = order;
  const orderer = order.nextOrderer();
  const term = leader.nextTerm;
  const required = [leader.control.spec.id, target.spec.id];
  const common = {clock, term, orderer, timeoutMs: DATABASE_CALL_TIMEOUT_MS};
  const fenced = await fenceMajority({...common, controls, required});
  if (fenced.kind !== 'fenced') {
    return fallBack(order, 'no majority could be fenced');
  }
  const unfitReason = findUnfitReason(fenced.databases, leader.control, target);
  if (unfitReason !== undefined) return fallBack(order, unfitReason);
  const result = await promoteAndVerify({...common, control: target});
  if (result === 'promoted') return {kind: 'switched', term};
  return fallBack(order, `the promotion of ${target.spec.id} was ${result}`);
}

/** Returns why the target must not be promoted; undefined if it may be. */
function findUnfitReason(
  fenced: readonly FencedDatabase[],
  leader: DatabaseControl,
  target: DatabaseControl,
): string | undefined {
  const id = target.spec.id;
  const fencedTarget = fenced.find(({control}) => control === target);
  if (fencedTarget === undefined) return `${id} could not be fenced`;
  if (!fenced.some(({control}) => control === leader)) {
    return `${leader.spec.id} could not be fenced`;
  }
  const aheadOfTarget = fenced.find(
    ({status}) => !covers(fencedTarget.status.received, status.received),
  );
  if (aheadOfTarget === undefined) return undefined;
  return `${aheadOfTarget.control.spec.id} took a write that ${id} has not`;
}

/** Orders a failover after the switch has failed. */
async function fallBack(
  order: SwitchOrder,
  reason: string,
): Promise<SwitchResult> {
  const {clock, controls} = order;
  const orderer = order.nextOrderer();
  const failover = await orderFailover({clock, controls, orderer});
  return {kind: 'fellBack', reason, failover};
}

function notStarted(reason: string): SwitchResult {
  return {kind: 'notStarted', reason};
}
