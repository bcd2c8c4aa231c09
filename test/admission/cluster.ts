import {BudgetService} from '../../src/admission/budget-service.js';
import type {
  BudgetLimits,
  BudgetMessage,
  BudgetReply,
  NodeRef,
  Standing,
} from '../../src/admission/types.js';
import {StoreError} from '../../src/infra/store.js';
import {NodeClock, VirtualClock} from '../fakes/virtual-clock.js';
import {createRandom, rendezvousOrder, type SeededRandom} from './random.js';
import {RecordStore} from './record-store.js';

export const STANDING_LIMIT_MS = 3_000;
const HEARTBEAT_MS = 100;
const LISTING_LAG_MS = 1_000;

/** Faults of the simulated network between nodes. */
export interface NetworkFaults {
  readonly lossRatio: number;
  readonly repeatRatio: number;
  /** Fraction of messages that are delayed by up to `slowMs`. */
  readonly slowRatio: number;
  readonly slowMs: number;
}

const NO_FAULTS: NetworkFaults = {
  lossRatio: 0,
  repeatRatio: 0,
  slowRatio: 0,
  slowMs: 0,
};

export interface ClusterOptions {
  readonly nodes: number;
  readonly seed: number;
  readonly limits: Readonly<Record<string, BudgetLimits>>;
  readonly faults?: NetworkFaults;
  /** Relative errors of the nodes' clocks, by index. */
  readonly clockErrors?: readonly number[];
}

/** The admission decision for one statement. */
export interface Decision {
  readonly team: string;
  readonly atMs: number;
  readonly node: string;
  readonly retryAfterMs: number | undefined;
}

/** A process of the cluster, with the configuration that it has received. */
export class ClusterNode {
  isDead = false;
  isPartitioned = false;
  /** Its peer messages are lost, but it still receives the configuration. */
  isPeerTrafficLost = false;
  /** Time at which the platform last saw it alive. */
  lastSeenAtMs = 0;
  lastHeartbeatAtMs: number;
  limits: ReadonlyMap<string, BudgetLimits>;
  retired: ReadonlySet<string>;

  constructor(
    readonly ref: NodeRef,
    readonly clock: NodeClock,
    config: ConfigDocument,
  ) {
    this.lastHeartbeatAtMs = clock.now();
    this.limits = new Map(config.limits);
    this.retired = new Set(config.retired);
  }

  get isRunning(): boolean {
    return !this.isDead && !this.clock.paused;
  }

  standing(isStoreDown: boolean): Standing {
    const silentMs = this.clock.now() - this.lastHeartbeatAtMs;
    if (silentMs >= STANDING_LIMIT_MS) return 'cutOff';
    return isStoreDown ? 'outage' : 'current';
  }
}

interface ConfigDocument {
  readonly limits: Map<string, BudgetLimits>;
  readonly retired: Set<string>;
}

/**
 * Simulates nodes with budgets, a store, a configuration and an unreliable
 * network, under virtual time.
 */
export class Cluster {
  readonly time = new VirtualClock(1);
  readonly store = new RecordStore();
  readonly decisions: Decision[] = [];
  readonly nodes: ClusterNode[] = [];
  readonly services = new Map<string, BudgetService>();
  readonly random: SeededRandom;
  faults: NetworkFaults;
  messages = 0;
  readonly #config: ConfigDocument;
  #preferred: ClusterNode | undefined;
  #nextInstance = 1;

  constructor(options: ClusterOptions) {
    this.random = createRandom(options.seed);
    this.faults = options.faults ?? NO_FAULTS;
    this.#config = {
      limits: new Map(Object.entries(options.limits)),
      retired: new Set(),
    };
    for (let i = 0; i < options.nodes; i++) {
      this.startNode(`vm${i}`, options.clockErrors?.[i] ?? 0);
    }
    this.#heartbeat();
  }

  startNode(vm: string, clockError: number): ClusterNode {
    const ref = {vm, instance: `i${this.#nextInstance++}-${vm}`};
    const clock = this.time.forNode({rate: 1 + clockError, offsetMs: 1_000});
    const node = new ClusterNode(ref, clock, this.#config);
    const service = new BudgetService({
      self: ref,
      clock,
      random: this.random,
      store: this.store.seenBy(node),
      standing: {standing: () => node.standing(this.store.isDown)},
      config: {
        limits: team => node.limits.get(team),
        retired: () => node.retired,
        retire: instance => this.#retire(node, instance),
      },
      peers: {
        call: (to, message, timeoutMs) =>
          this.#call(node, to, message, timeoutMs),
        live: () => this.#live(),
        isGone: instance =>
          !this.#live().some(node => node.instance === instance),
        homeOrder: key => this.#homeOrder(key),
      },
      options: {standingLimitMs: STANDING_LIMIT_MS},
    });
    node.lastSeenAtMs = this.time.now();
    this.nodes.push(node);
    this.services.set(ref.instance, service);
    service.start();
    return node;
  }

  /** Ranks a node first in every rendezvous order while it is live. */
  preferOwner(node: ClusterNode): void {
    this.#preferred = node;
  }

  /** The running processes. */
  get alive(): readonly ClusterNode[] {
    return this.nodes.filter(node => !node.isDead);
  }

  kill(node: ClusterNode): void {
    node.isDead = true;
    node.clock.pause();
  }

  /** Shuts a process down gracefully. */
  async leave(node: ClusterNode): Promise<void> {
    await this.services.get(node.ref.instance)?.stop();
    if (!node.isDead) this.kill(node);
  }

  /** Retires an instance as an operator would, whether or not it runs. */
  retire(node: ClusterNode): void {
    if (!this.store.isDown) this.#config.retired.add(node.ref.instance);
  }

  /** Changes a team's limits; nodes receive them with the next heartbeat. */
  setLimits(team: string, limits: BudgetLimits): void {
    this.#config.limits.set(team, limits);
  }

  /** Requests admission of one statement at `node` and records the decision. */
  async admit(node: ClusterNode, team: string): Promise<void> {
    if (!node.isRunning) return;
    const service = this.services.get(node.ref.instance);
    const res = await service?.admit(team, node.clock.now() + 500);
    if (res === undefined) return;
    this.decisions.push({
      team,
      atMs: this.time.now(),
      node: node.ref.instance,
      retryAfterMs: res.kind === 'refused' ? res.retryAfterMs : undefined,
    });
  }

  /** Offers statements as a Poisson process with rate `perSecond`. */
  offer(
    team: string,
    perSecond: number,
    untilMs: number,
    pick: () => ClusterNode | undefined,
  ): void {
    const next = () => {
      const gapMs = (-Math.log(1 - this.random.next()) / perSecond) * 1_000;
      this.time.schedule(gapMs, () => {
        if (this.time.now() >= untilMs) return;
        const node = pick();
        if (node !== undefined) void this.admit(node, team);
        next();
      });
    };
    next();
  }

  async stop(): Promise<void> {
    for (const node of this.alive) this.kill(node);
    await this.time.settle();
  }

  #homeOrder(key: string): readonly NodeRef[] {
    const order = rendezvousOrder(key, this.#live());
    const preferred = order.filter(ref => ref === this.#preferred?.ref);
    return [...preferred, ...order.filter(ref => !preferred.includes(ref))];
  }

  #live(): readonly NodeRef[] {
    const nowMs = this.time.now();
    return this.nodes
      .filter(node => nowMs < node.lastSeenAtMs + LISTING_LAG_MS)
      .map(node => node.ref);
  }

  #heartbeat(): void {
    for (const node of this.nodes) {
      if (!node.isRunning || node.isPartitioned) continue;
      node.lastSeenAtMs = this.time.now();
      node.lastHeartbeatAtMs = node.clock.now();
      node.limits = new Map(this.#config.limits);
      node.retired = new Set(this.#config.retired);
    }
    this.time.schedule(HEARTBEAT_MS, () => this.#heartbeat());
  }

  async #retire(node: ClusterNode, instance: string): Promise<void> {
    await node.clock.sleep(2);
    if (this.store.isDown || node.isPartitioned) {
      throw new StoreError('notSent', 'the store does not answer');
    }
    this.#config.retired.add(instance);
  }

  #call(
    from: ClusterNode,
    to: string,
    message: BudgetMessage,
    timeoutMs: number,
  ): Promise<BudgetReply> {
    return new Promise((resolve, reject) => {
      const fail = () => reject(new Error('no answer in time'));
      void from.clock.sleep(timeoutMs).then(fail);
      const target = this.nodes.find(node => node.ref.instance === to);
      if (target === undefined) return;
      const serve = async () => {
        const service = this.services.get(to);
        const copy = structuredClone(message);
        const reply = await service?.handle(copy, from.ref.vm);
        if (reply === undefined) return;
        this.#deliver(target, from, () => resolve(structuredClone(reply)));
      };
      this.#deliver(from, target, () => void serve());
    });
  }

  #deliver(from: ClusterNode, to: ClusterNode, run: () => void): void {
    this.messages += 1;
    const {lossRatio, repeatRatio, slowRatio, slowMs} = this.faults;
    const copies = this.random.next() < repeatRatio ? 2 : 1;
    for (let i = 0; i < copies; i++) {
      if (this.random.next() < lossRatio) continue;
      const isSlow = this.random.next() < slowRatio;
      const delayMs = 0.8 + this.random.next() * (isSlow ? slowMs : 0.6);
      this.time.schedule(delayMs, () => {
        const isLost = [from, to].some(
          node => node.isPartitioned || node.isPeerTrafficLost,
        );
        if (isLost || to.isDead) return;
        to.clock.whenRunning(() => {
          if (!to.isDead) run();
        });
      });
    }
  }
}
