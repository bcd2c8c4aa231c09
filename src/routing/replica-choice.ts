/** Chooses the database that serves a read. */
import {createHash} from 'node:crypto';
import type {DatabaseSpec, Provider} from '../groups/types.js';
import {covers, START_POSITION, type Position} from '../session/position.js';

/**
 * How many more requests per slot a replica of the own data centre may have
 * than one of another before the other is chosen.
 */
const REMOTE_COST_PER_SLOT = 1;

/**
 * How long a read waits for a replica unless its route says otherwise; see
 * docs/design/sessions.md for the measurement.
 */
export const DEFAULT_MAX_WAIT_MS = 25;

/** How much of a route's reads goes to each provider; any scale. */
export type ProviderWeights = Readonly<Record<Provider, number>>;

/** What is known of one database when a read arrives. */
export interface ReadCandidate {
  readonly spec: DatabaseSpec;
  readonly reachable: boolean;
  /** The position that reads on it are known to see. */
  readonly applied: Position | undefined;
  /** The age of its data at most. */
  readonly ageMs: number;
  /** Requests that it runs or that wait for it. */
  readonly outstanding: number;
  /** When it is expected to cover the token and the limit of age. */
  readonly expectedWaitMs: number;
}

/** What a choice depends on. */
export interface ReadChoiceInput {
  readonly sessionId: string;
  /** What the session needs to see; undefined if that is not known. */
  readonly position: Position | undefined;
  /** How old the data may be; 0 asks for the primary. */
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
   * Wait, then run there. If the position that the replica reports then falls
   * short of the session's, run at the primary.
   */
  | {
      readonly kind: 'wait';
      readonly databaseId: string;
      readonly expectedMs: number;
    }
  | {readonly kind: 'none'; readonly reason: 'noPrimary' | 'staleReplicas'};

/**
 * Chooses the nearest, least loaded replica that the session may read, or a
 * replica worth waiting for, or the primary.
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
 * The provider of a session, stable for as long as the weights are: raising
 * one weight moves only sessions towards it.
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

/** The least loaded, where another data centre counts as some load. */
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

function soonestWithin(
  candidates: readonly ReadCandidate[],
  maxWaitMs: number,
): ReadCandidate | undefined {
  return candidates
    .filter(({expectedWaitMs}) => expectedWaitMs <= maxWaitMs)
    .toSorted((a, b) => a.expectedWaitMs - b.expectedWaitMs)
    .at(0);
}
