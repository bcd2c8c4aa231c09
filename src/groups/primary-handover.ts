/**
 * Clears the way for a promotion order: records it, then waits until no node has
 * the right to send work to the database that it deposes.
 */
import * as z from 'zod';
import type {Clock} from '../infra/clock.js';
import type {EraCheckedStore} from '../infra/era-checked-store.js';
import {StoreError} from '../infra/store.js';
import type {PeerAddress, PeerCaller, PeerHandler} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import {
  encodeOrder,
  orderKey,
  orderSchema,
  readOrder,
  type PrimaryOrder,
} from './primary-order.js';
import {decodeHolder, rightsPrefix} from './primary-right-record.js';
import {RIGHT_TTL_MS, type PrimaryRights} from './primary-rights.js';

/** The peer method that asks a node to hand a right back. */
export const HAND_BACK_METHOD = 'primary.handBack';
/** Longer than a hand-back waits for work under way. */
const HAND_BACK_TIMEOUT_MS = 450;
/** Pause before the rights that are left are read again. */
const RECHECK_MS = 250;
/** A right ends with its lease, and the store may be slow to say so. */
const CLEAR_TIMEOUT_MS = RIGHT_TTL_MS + 1_500;

const handBackSchema = z.object({
  group: z.string().min(1),
  /** The node that is asked. */
  node: z.string().min(1),
  order: orderSchema,
});

/** Outcome of recording an order. */
export type RecordOutcome = 'recorded' | 'superseded' | 'failed';

/** Outcome of waiting for the rights of other nodes. */
export type ClearOutcome =
  /** No right to the deposed primary is left. */
  | 'cleared'
  /** A later order is known. */
  | 'superseded'
  | 'timeout';

/** Port of the failover coordinator to other nodes' rights. */
export interface HandoverPort {
  record(group: string, order: PrimaryOrder): Promise<RecordOutcome>;
  /** Waits until every right is handed back or has ended, or `signal` aborts. */
  clear(
    group: string,
    order: PrimaryOrder,
    signal: AbortSignal,
  ): Promise<ClearOutcome>;
}

/** Options of {@link PrimaryHandover}. */
export interface PrimaryHandoverOptions {
  readonly store: Pick<EraCheckedStore, 'swap' | 'list' | 'era'>;
  readonly clock: Clock;
  readonly log: Logger;
  readonly peers: PeerCaller;
  readonly rights: Pick<PrimaryRights, 'observe' | 'handBack'>;
  /** Id of this node. */
  readonly self: string;
}

/**
 * Records orders and collects the rights that stand against them.
 *
 * @example
 * if ((await handover.record(group, order)) === 'recorded') {
 *   await handover.clear(group, order, signal); // 'cleared'
 * }
 */
export class PrimaryHandover implements HandoverPort {
  readonly #options: PrimaryHandoverOptions;
  /** The store's latest era, and when this node first saw it. */
  #era: {readonly era: number; readonly since: number} | undefined;

  constructor(options: PrimaryHandoverOptions) {
    this.#options = options;
  }

  /** Handlers of the peer methods. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [HAND_BACK_METHOD, body => this.#serveHandBack(body)],
    ]);
  }

  /** Notes when this node first saw the store's era; call it regularly. */
  noteEra(): void {
    const {store, clock} = this.#options;
    if (this.#era?.era === store.era) return;
    this.#era = {era: store.era, since: clock.now()};
  }

  async record(group: string, order: PrimaryOrder): Promise<RecordOutcome> {
    const {store, rights, log} = this.#options;
    try {
      const {order: known, revision} = await readOrder(store, group);
      if (known !== undefined) rights.observe(group, known);
      if (known !== undefined && known.token > order.token) return 'superseded';
      const key = orderKey(group);
      const result = await store.swap(key, revision, encodeOrder(order));
      if (result.kind === 'conflict') return 'superseded';
      return rights.observe(group, order) ? 'recorded' : 'superseded';
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      log.warn('orderNotRecorded', {group, message: err.message});
      return 'failed';
    }
  }

  async clear(
    group: string,
    order: PrimaryOrder,
    signal: AbortSignal,
  ): Promise<ClearOutcome> {
    const {clock, log, rights, self} = this.#options;
    const startedAt = clock.now();
    const handedBack = new Set<string>([self]);
    let outcome: ClearOutcome = 'timeout';
    let waitsFor: readonly string[] = [];
    const isOwnHandedBack = rights.handBack(group, order);
    while (!signal.aborted && clock.now() - startedAt < CLEAR_TIMEOUT_MS) {
      const left = await this.#holders(group, handedBack);
      const replies = await Promise.all(
        (left ?? []).map(holder => this.#askHandBack(holder, group, order)),
      );
      if (replies.includes('superseded') || !(await isOwnHandedBack)) {
        outcome = 'superseded';
        break;
      }
      left?.forEach(({id}, n) => {
        if (replies[n] === 'handedBack') handedBack.add(id);
      });
      waitsFor = (left ?? [])
        .map(({id}) => id)
        .filter(id => !handedBack.has(id));
      const isAllClear = left !== undefined && waitsFor.length === 0;
      if (isAllClear && this.#unknownRightsMs() <= 0) {
        outcome = 'cleared';
        break;
      }
      await clock.sleep(RECHECK_MS, signal);
    }
    log.info('rightsCollected', {
      group,
      token: order.token,
      outcome: signal.aborted ? 'abandoned' : outcome,
      handedBack: handedBack.size,
      waitsFor: waitsFor.join(',') || undefined,
      tookMs: Math.round(clock.now() - startedAt),
    });
    return outcome;
  }

  /** The holders that have not handed back; undefined if the store fails. */
  async #holders(
    group: string,
    handedBack: ReadonlySet<string>,
  ): Promise<readonly PeerAddress[] | undefined> {
    const {store, log} = this.#options;
    try {
      const {values} = await store.list(rightsPrefix(group));
      this.noteEra();
      return values
        .flatMap(({value}) => decodeHolder(value) ?? [])
        .filter(({id}) => !handedBack.has(id));
    } catch (err) {
      if (!(err instanceof StoreError)) throw err;
      log.info('rightsNotRead', {group, message: err.message});
      return undefined;
    }
  }

  /**
   * How much longer a right may stand that the store does not know: one that it
   * lost when it was restored from an older copy.
   */
  #unknownRightsMs(): number {
    const known = this.#era;
    if (known === undefined || known.era === 0) return 0;
    return known.since + RIGHT_TTL_MS - this.#options.clock.now();
  }

  async #askHandBack(
    holder: PeerAddress,
    group: string,
    order: PrimaryOrder,
  ): Promise<'handedBack' | 'superseded' | 'noAnswer'> {
    const {peers, log} = this.#options;
    try {
      const reply = await peers.call(
        holder,
        HAND_BACK_METHOD,
        {group, node: holder.id, order},
        {timeoutMs: HAND_BACK_TIMEOUT_MS},
      );
      return reply === true ? 'handedBack' : 'superseded';
    } catch (err) {
      log.info('rightNotHandedBack', {
        group,
        holder: holder.id,
        message: String(err),
      });
      return 'noAnswer';
    }
  }

  async #serveHandBack(body: unknown): Promise<boolean> {
    const parsed = handBackSchema.safeParse(body);
    if (!parsed.success) throw new Error('the hand-back is malformed');
    const {group, node, order} = parsed.data;
    const {self, rights} = this.#options;
    // An address may have passed to another node.
    if (node !== self) throw new Error(`this is not node ${node}`);
    return rights.handBack(group, order);
  }
}
