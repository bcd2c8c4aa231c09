/**
 * Store calls that go through a peer when this node can't reach the store.
 *
 * Load pattern: the store refuses or ignores some of the nodes. Without help
 * their leases end, and with them their place in the fleet, the budgets they own
 * and their rights to send work to primaries, although callers, databases and
 * the other nodes reach them. A lease that a peer renews is renewed at the store
 * all the same; the holder counts it from before it asked.
 */
import {
  LeaseGoneError,
  type Lease,
  type LeasedStore,
  type LeasedSwapResult,
  type Renewal,
  type Snapshot,
} from '../infra/leased-store.js';
import {StoreError} from '../infra/store.js';
import {PeerError, type PeerAddress, type PeerCaller} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import type {StoreAccess} from './store-access.js';
import {
  decodeStoreCallReply,
  decodeStoreCallResult,
  runStoreCall,
  serveStoreCall,
  STORE_CALL_METHOD,
  type StoreCall,
  type StoreCallReply,
  type StoreCallResult,
} from './store-call.js';
import type {TrackedStore} from './tracked-store.js';

/** Timeout of a peer, which calls the store in between. */
const PEER_TIMEOUT_MS = 450;

/** How a call through the peers ended. */
export type PeerCallOutcome = 'done' | 'noHelp';

/** Dependencies of {@link PeerBackedStore}. */
export interface PeerBackedStoreOptions {
  readonly direct: TrackedStore;
  readonly access: StoreAccess;
  readonly peers: PeerCaller;
  /**
   * Returns the few peers to ask, those that most likely reach the store first.
   */
  readonly helpers: () => readonly PeerAddress[];
  readonly log: Logger;
  readonly recordPeerCall: (outcome: PeerCallOutcome) => void;
}

/**
 * Calls the store directly, or through a peer while that fails. A swap whose
 * outcome is unknown is never repeated.
 *
 * @example
 * const store = new PeerBackedStore({direct, access, peers, helpers, log,
 *   recordPeerCall});
 * await store.renew(lease.id);
 */
export class PeerBackedStore implements Omit<LeasedStore, 'changes'> {
  readonly #options: PeerBackedStoreOptions;
  /** The peer that last helped. */
  #helper: string | undefined;

  constructor(options: PeerBackedStoreOptions) {
    this.#options = options;
  }

  /** The latest era that an answer has shown; 0 before the first answer. */
  get era(): number {
    return this.#options.direct.era;
  }

  list(prefix: string): Promise<Snapshot> {
    return this.#run({op: 'list', prefix}, ({asOf}) => asOf.era);
  }

  swap(
    key: string,
    expected: number,
    value: string | undefined,
    lease?: string,
  ): Promise<LeasedSwapResult> {
    return this.#run({op: 'swap', key, expected, value, lease}, result =>
      result.kind === 'swapped' ? result.at.era : result.era,
    );
  }

  grant(ttlMs: number): Promise<Lease> {
    return this.#run({op: 'grant', ttlMs}, ({era}) => era);
  }

  renew(lease: string): Promise<Renewal> {
    return this.#run({op: 'renew', lease}, ({era}) => era);
  }

  /** Ends a lease; not through a peer, as it also ends by itself. */
  revoke(lease: string): Promise<void> {
    return this.#options.direct.revoke(lease);
  }

  /**
   * Handles the call of a peer. Refuses at once while this node doesn't reach
   * the store either.
   *
   * @throws Error if the call is malformed
   */
  async serve(body: unknown): Promise<StoreCallReply> {
    const {direct, access} = this.#options;
    if (access.isBlocked) {
      const message = 'this node does not reach the store either';
      return {kind: 'failed', failure: 'notSent', message};
    }
    return serveStoreCall(direct, body);
  }

  async #run<Op extends StoreCall['op']>(
    call: StoreCall & {readonly op: Op},
    eraOf: (result: StoreCallResult<Op>) => number,
  ): Promise<StoreCallResult<Op>> {
    const {direct, access} = this.#options;
    const peersFirst = access.prefersPeers;
    if (peersFirst) {
      const reply = await this.#askPeers(call, eraOf);
      if (reply !== undefined) return reply.result;
    }
    try {
      return (await runStoreCall(direct, call)) as StoreCallResult<Op>;
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      const mayRepeat = err.kind === 'notSent' || isRepeatable(call);
      if (peersFirst || !mayRepeat || !access.mayAskPeers) throw err;
      const reply = await this.#askPeers(call, eraOf);
      if (reply === undefined) throw err;
      return reply.result;
    }
  }

  /** Returns the first result of a peer; undefined if none reached the store. */
  async #askPeers<Op extends StoreCall['op']>(
    call: StoreCall & {readonly op: Op},
    eraOf: (result: StoreCallResult<Op>) => number,
  ): Promise<{readonly result: StoreCallResult<Op>} | undefined> {
    const {access, recordPeerCall} = this.#options;
    for (const peer of this.#helpers()) {
      const answer = await this.#ask(peer, call, eraOf);
      if (answer === undefined) continue;
      this.#noteHelper(peer.id);
      recordPeerCall('done');
      if (answer === 'leaseGone') throw new LeaseGoneError(leaseOf(call));
      return answer;
    }
    access.recordNoHelp();
    recordPeerCall('noHelp');
    this.#helper = undefined;
    return undefined;
  }

  /** The helpers, the one that last helped first. */
  #helpers(): readonly PeerAddress[] {
    const helpers = this.#options.helpers();
    const isLast = ({id}: PeerAddress) => id === this.#helper;
    return [
      ...helpers.filter(isLast),
      ...helpers.filter(peer => !isLast(peer)),
    ];
  }

  /**
   * Asks one peer; undefined if the next one may be asked.
   *
   * @throws StoreError `unknown` if the call may have been made and must not be
   * repeated
   */
  async #ask<Op extends StoreCall['op']>(
    peer: PeerAddress,
    call: StoreCall & {readonly op: Op},
    eraOf: (result: StoreCallResult<Op>) => number,
  ): Promise<{readonly result: StoreCallResult<Op>} | 'leaseGone' | undefined> {
    const {peers, direct, log} = this.#options;
    const options = {timeoutMs: PEER_TIMEOUT_MS};
    try {
      const reply = decodeStoreCallReply(
        await peers.call(peer, STORE_CALL_METHOD, call, options),
      );
      if (reply.kind === 'leaseGone') return 'leaseGone';
      if (reply.kind === 'failed') {
        throw new StoreError(reply.failure, reply.message);
      }
      const result = decodeStoreCallResult(call.op, reply.result);
      direct.observe(eraOf(result), 'unknown');
      return {result};
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      log.info('helperFailed', {peer: peer.id, op: call.op, message});
      if (isNotMade(err) || isRepeatable(call)) return undefined;
      throw new StoreError('unknown', `${peer.id}: ${message}`);
    }
  }

  #noteHelper(id: string): void {
    if (this.#helper === id) return;
    this.#helper = id;
    this.#options.log.info('storeReachedThroughPeer', {peer: id});
  }
}

function leaseOf(call: StoreCall): string {
  return 'lease' in call ? (call.lease ?? '') : '';
}

/** Whether a failed call was certainly not made. */
function isNotMade(err: unknown): boolean {
  const isFailure = err instanceof PeerError || err instanceof StoreError;
  return isFailure && err.kind === 'notSent';
}

/** A second swap could meet what the first has written. */
function isRepeatable({op}: StoreCall): boolean {
  return op !== 'swap';
}
