/** A fleet of nodes on a virtual network and clock, with a store that can fail. */

import {
  createCoordination,
  type Coordination,
} from '../../src/membership/coordination.js';
import type {Clock} from '../../src/infra/clock.js';
import {
  StoreError,
  type Store,
  type StoredValue,
  type SwapResult,
  type WatchItem,
} from '../../src/infra/store.js';
import {VM_LIST_KEY, type VmRecord} from '../../src/infra/vm-list.js';
import {
  VirtualClock,
  type NodeClock,
  type NodeClockOptions,
} from '../fakes/virtual-clock.js';
import {VirtualNetwork, type NetworkFaults} from '../fakes/virtual-network.js';

const PROGRESS_MS = 1_000;
const STORE_LATENCY_MS = 3;
const DATA_CENTRES = ['dc-a', 'dc-b', 'dc-c', 'dc-d'];

/** An in-memory store with switchable outages. */
export class FakeStore {
  readonly values = new Map<string, StoredValue>();
  readonly #time: Clock;
  #revision = 0;
  /** Ids of the nodes that can't reach the store; `all` for a store outage. */
  unreachableFor: ReadonlySet<string> | 'all' = new Set();
  calls = 0;

  constructor(time: Clock) {
    this.#time = time;
  }

  put(key: string, value: string): number {
    const revision = ++this.#revision;
    this.values.set(key, {key, value, revision});
    return revision;
  }

  /** The store's client for one node. */
  forNode(id: string, clock: Clock): Store {
    const check = () => {
      const out = this.unreachableFor;
      if (out !== 'all' && !out.has(id)) return;
      throw new StoreError('notSent', 'the store is unavailable');
    };
    const read = async <T>(value: () => T): Promise<T> => {
      this.calls++;
      await clock.sleep(STORE_LATENCY_MS);
      check();
      return value();
    };
    const unused = () =>
      Promise.reject(new Error('not implemented by FakeStore'));
    return {
      get: key => read(() => this.values.get(key)),
      list: () => read(() => [...this.values.values()]),
      watch: (prefix, from, signal) =>
        this.#watch(prefix, from, signal, clock, check),
      compareAndSwap: unused as () => Promise<SwapResult>,
      grantLease: unused as () => Promise<string>,
      keepAlive: unused as () => Promise<boolean>,
      revokeLease: unused as () => Promise<void>,
    };
  }

  async *#watch(
    prefix: string,
    from: number,
    signal: AbortSignal,
    clock: Clock,
    check: () => void,
  ): AsyncIterable<WatchItem> {
    this.calls++;
    let next = from;
    let sentMs = -Infinity;
    while (!signal.aborted) {
      check();
      const news = [...this.values.values()]
        .filter(({key, revision}) => key.startsWith(prefix) && revision >= next)
        .sort((a, b) => a.revision - b.revision);
      if (news.length > 0) {
        next = news.at(-1)!.revision + 1;
        yield {kind: 'events', events: news};
      } else if (this.#time.now() - sentMs >= PROGRESS_MS) {
        yield {kind: 'progress', revision: this.#revision};
      }
      if (news.length > 0 || this.#time.now() - sentMs >= PROGRESS_MS) {
        sentMs = this.#time.now();
      }
      await clock.sleep(50, signal);
    }
  }
}

/** Settings of a fleet. */
export interface FleetOptions {
  readonly size: number;
  readonly seed?: number;
  readonly faults?: Partial<NetworkFaults>;
  readonly watchersPerDataCentre?: number;
  /** Clock errors of each node. */
  readonly clocks?: (id: string) => NodeClockOptions;
}

/** A running fleet in virtual time. */
export class Fleet {
  readonly clock = new VirtualClock();
  readonly store = new FakeStore(this.clock);
  readonly net: VirtualNetwork;
  readonly nodes = new Map<string, Coordination>();
  readonly records: readonly VmRecord[];
  readonly #options: FleetOptions;
  #starts = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    const faults = {latencyMs: 1, ...options.faults};
    this.net = new VirtualNetwork(this.clock, options.seed ?? 1, faults);
    this.records = Array.from({length: options.size}, (_, at) => ({
      id: `vm-${String(at).padStart(3, '0')}`,
      host: `10.0.${at >> 8}.${at & 255}`,
      peerPort: 7100,
      adminPort: 7200,
      dataCentre: DATA_CENTRES[at % DATA_CENTRES.length]!,
      state: 'live' as const,
    }));
    this.publishList();
  }

  /** Stores the list of VMs. */
  publishList(records: readonly VmRecord[] = this.records): number {
    return this.store.put(VM_LIST_KEY, JSON.stringify(records));
  }

  /** Starts every VM's process. */
  startAll(): void {
    for (const record of this.records) this.start(record);
  }

  /** Starts the process of one VM. */
  start(record: VmRecord): Coordination {
    const clock = this.#options.clocks?.(record.id);
    const node = this.net.addNode(record.id, {clock});
    const coordination = createCoordination({
      self: record,
      store: this.store.forNode(record.id, node.clock),
      caller: node,
      clock: node.clock,
      random: this.net,
      instance: `i${++this.#starts}`,
      watchersPerDataCentre: this.#options.watchersPerDataCentre,
    });
    for (const [method, handler] of coordination.handlers) {
      node.handlers.set(method, handler);
    }
    coordination.start();
    this.nodes.set(record.id, coordination);
    return coordination;
  }

  /** Ends the process of one VM. */
  end(id: string): void {
    this.net.endProcess(id);
    void this.nodes.get(id)?.stop();
    this.nodes.delete(id);
  }

  node(id: string): Coordination {
    const node = this.nodes.get(id);
    if (node === undefined) throw new Error(`${id} is not running`);
    return node;
  }

  /** The clock of one VM. */
  clockOf(id: string): NodeClock {
    return this.net.find({id, host: '', port: 0})!.clock;
  }

  ids(): readonly string[] {
    return [...this.nodes.keys()];
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    for (const id of this.ids()) this.end(id);
    await this.clock.settle();
  }
}
