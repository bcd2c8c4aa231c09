/** Chooses the database that serves a read, by freshness, distance and load. */
import {createHash} from 'node:crypto';
import type {DatabaseSpec, Provider} from '../groups/types.js';
import {covers, START_POSITION, type Position} from '../session/position.js';

/**
 * How many more requests per slot a local replica may have than one in another
 * data centre before the remote one is chosen.
 */
const REMOTE_COST_PER_SLOT = 1;

/**
 * Default time that a read waits for a replica, if its route sets none;
 * measured in docs/design/sessions.md.
 */
export const DEFAULT_MAX_WAIT_MS = 25;

/** Relative shares of a route's reads for each provider, on any scale. */
export type ProviderWeights = Readonly<Record<Provider, number>>;

/** The state of one database when a read arrives. */
export interface ReadCandidate {
  readonly spec: DatabaseSpec;
  readonly reachable: boolean;
  /** The last position known to be visible to its reads. */
  readonly applied: Position | undefined;
  /** Maximum age of its data. */
  readonly ageMs: number;
  /** Requests running on it or queued for it. */
  readonly outstanding: number;
  /**
   * Expected time until its data meets the session's position and `staleMs`.
   */
  readonly expectedWaitMs: number;
}

/** Input of {@link chooseTarget}. */
export interface ReadChoiceInput {
  readonly sessionId: string;
  /** Position that the read must cover; undefined if it is not known. */
  readonly position: Position | undefined;
  /** Maximum age of the data; 0 requires the primary. */
  readonly staleMs: number;
  readonly weights: ProviderWeights;
  readonly dataCentre: string;
  readonly primaryId: string | undefined;
  readonly candidates: readonly ReadCandidate[];
  /** How long the read may wait for a replica. */
  readonly maxWaitMs: number;
}

/** The database chosen, or why there is none. */
export type ReadChoice =
  | {readonly kind: 'replica'; readonly databaseId: string}
  | {readonly kind: 'primary'; readonly databaseId: string}
  /**
   * Wait, then run on this replica. If the position that it then reports does
   * not cover the session's, run on the primary.
   */
  | {
      readonly kind: 'wait';
      readonly databaseId: string;
      readonly expectedMs: number;
    }
  | {readonly kind: 'none'; readonly reason: 'noPrimary' | 'staleReplicas'};

/**
 * Chooses the nearest and least loaded replica that is fresh enough; else a
 * replica that will be within `maxWaitMs`; else the primary.
 *
 * @example
 * const choice = chooseTarget(input);
 * if (choice.kind === 'replica') run(choice.databaseId);
 */
export function chooseTarget(input: ReadChoiceInput): ReadChoice {
  if (input.staleMs <= 0 || input.position === undefined) {
    return choosePrimary(input);
  }
  const replicas = input.candidates.filter(
    ({spec, reachable}) => reachable && spec.id !== input.primaryId,
  );
  const provider = providerOf(input.sessionId, input.weights);
  const preferred = replicas.filter(({spec}) => spec.provider === provider);
  const ready = nearest(input, preferred.filter(isReadyFor(input)));
  if (ready !== undefined) return {kind: 'replica', databaseId: ready.spec.id};
  const soon = soonestWithin(preferred, input.maxWaitMs);
  if (soon !== undefined) {
    const {spec, expectedWaitMs} = soon;
    return {kind: 'wait', databaseId: spec.id, expectedMs: expectedWaitMs};
  }
  if (input.primaryId !== undefined) return choosePrimary(input);
  const other = nearest(input, replicas.filter(isReadyFor(input)));
  if (other !== undefined) return {kind: 'replica', databaseId: other.spec.id};
  return {kind: 'none', reason: 'staleReplicas'};
}

/**
 * Returns the provider of a session, by a hash of its id. It is stable while
 * the weights are, and raising one weight only moves sessions to that provider.
 *
 * @example
 * providerOf('c0ffee', {old: 90, new: 10});
 */
export function providerOf(
  sessionId: string,
  weights: ProviderWeights,
): Provider {
  const total = weights.old + weights.new;
  if (total <= 0) return 'old';
  const digest = createHash('sha256').update(sessionId).digest();
  const share = digest.readUInt32BE(0) / 2 ** 32;
  return share * total < weights.new ? 'new' : 'old';
}

function choosePrimary(input: ReadChoiceInput): ReadChoice {
  if (input.primaryId === undefined) return {kind: 'none', reason: 'noPrimary'};
  return {kind: 'primary', databaseId: input.primaryId};
}

function isReadyFor(
  input: ReadChoiceInput,
): (candidate: ReadCandidate) => boolean {
  const needed = input.position ?? START_POSITION;
  return ({applied, ageMs}) =>
    applied !== undefined && covers(applied, needed) && ageMs <= input.staleMs;
}

/**
 * Returns the least loaded replica; a remote data centre counts as extra load.
 */
function nearest(
  input: ReadChoiceInput,
  candidates: readonly ReadCandidate[],
): ReadCandidate | undefined {
  const remoteCostOf = ({spec}: ReadCandidate) =>
    spec.dataCentre === input.dataCentre ? 0 : REMOTE_COST_PER_SLOT;
  const costOf = (candidate: ReadCandidate) =>
    candidate.outstanding / candidate.spec.slots + remoteCostOf(candidate);
  return candidates.toSorted(
    (a, b) =>
      costOf(a) - costOf(b) || remoteCostOf(a) - remoteCostOf(b) || byId(a, b),
  )[0];
}

function byId(a: ReadCandidate, b: ReadCandidate): number {
  return a.spec.id < b.spec.id ? -1 : 1;
}

/**
 * Returns the replica with the shortest expected wait of at most `maxWaitMs`.
 */
function soonestWithin(
  candidates: readonly ReadCandidate[],
  maxWaitMs: number,
): ReadCandidate | undefined {
  return candidates
    .filter(({expectedWaitMs}) => expectedWaitMs <= maxWaitMs)
    .toSorted((a, b) => a.expectedWaitMs - b.expectedWaitMs)
    .at(0);
}
