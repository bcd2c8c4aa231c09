/** One proxy node connected to a fake database group. */
import {AckTracker, type AckResult} from '../../src/groups/acknowledgement.js';
import type {AckMode} from '../../src/groups/replica-confirmer.js';
import type {ReachabilityPort} from '../../src/groups/failover-need.js';
import {
  FailoverAgent,
  type FailoverEvent,
} from '../../src/groups/failover-agent.js';
import {GroupMonitor} from '../../src/groups/monitor.js';
import type {DatabaseControl} from '../../src/groups/types.js';
import {isReadCurrent, ReadRouter} from '../../src/routing/read-router.js';
import type {Position} from '../../src/session/position.js';
import {createRandom} from '../admission/random.js';
import type {FakeGroup} from '../fakes/fake-group.js';
import type {NodeClock, VirtualClock} from '../fakes/virtual-clock.js';

/** How long a node waits for an acknowledgement in these tests. */
const ACK_TIMEOUT_MS = 1_000;

/** A committed write and the outcome of its acknowledgement. */
export interface FakeWrite {
  readonly id: string;
  readonly databaseId: string;
  readonly position: Position;
  readonly committedAt: number;
  readonly result: AckResult;
}

/** A node with a group monitor, failover agent, ack tracker and read router. */
export class FakeNode {
  readonly id: string;
  readonly clock: NodeClock;
  readonly controls: readonly DatabaseControl[];
  readonly monitor: GroupMonitor;
  readonly agent: FailoverAgent;
  readonly tracker: AckTracker;
  readonly router: ReadRouter;
  readonly events: FailoverEvent[] = [];
  readonly #group: FakeGroup;
  readonly #time: VirtualClock;

  constructor(
    id: string,
    group: FakeGroup,
    time: VirtualClock,
    peers: readonly FakeNode[],
    seed: number,
  ) {
    this.id = id;
    this.#group = group;
    this.#time = time;
    const clock = time.forNode({offsetMs: seed * 1_000});
    const controls = group.controlsFor(id, clock);
    this.clock = clock;
    this.controls = controls;
    const groupName = group.spec.name;
    this.monitor = new GroupMonitor({clock, groupName, controls});
    this.agent = new FailoverAgent({
      clock,
      random: createRandom(seed),
      monitor: this.monitor,
      controls,
      reachability: reachabilityOf(this, peers),
      instanceId: id,
      onEvent: event => this.events.push(event),
    });
    this.tracker = new AckTracker({clock, controls});
    this.router = new ReadRouter({
      clock,
      monitor: this.monitor,
      dataCentre: 'dc-1',
      outstandingOf: () => 0,
    });
  }

  start(): void {
    this.monitor.start();
    this.agent.start();
  }

  stop(): void {
    this.monitor.stop();
    this.agent.stop();
  }

  /** Whether this node's link to a database works now. */
  reaches(databaseId: string): boolean {
    const database = this.#group.database(databaseId);
    const link = this.#group.links.between(this.id, databaseId);
    return !link.cut && database.up && !database.frozen;
  }

  /** Writes to the primary that this node knows; undefined if it failed. */
  async write(id: string, ack: AckMode): Promise<FakeWrite | undefined> {
    const databaseId = this.monitor.current().primaryId;
    if (databaseId === undefined) return undefined;
    return this.writeAt(databaseId, id, ack);
  }

  /** Writes to one database; undefined if the write failed. */
  async writeAt(
    databaseId: string,
    id: string,
    ack: AckMode,
  ): Promise<FakeWrite | undefined> {
    const sentAt = this.clock.now();
    let committedAt = 0;
    let position: Position;
    try {
      const {clock} = this;
      position = await this.#group.commit(this.id, clock, databaseId, id);
      committedAt = this.#time.now();
    } catch {
      return undefined;
    }
    this.router.recordPosition(databaseId, position, sentAt);
    const result = await this.tracker.acknowledge({
      primaryId: databaseId,
      position,
      ack,
      timeoutMs: ACK_TIMEOUT_MS,
    });
    return {id, databaseId, position, committedAt, result};
  }

  /** Reads at a position that covers `needed`; undefined if refused. */
  async read(sessionId: string, needed: Position | undefined, staleMs: number) {
    const choice = this.router.choose({
      sessionId,
      position: needed,
      staleMs,
      weights: {old: 1, new: 1},
      maxWaitMs: 0,
    });
    if (choice.kind !== 'replica' && choice.kind !== 'primary') {
      return undefined;
    }
    const {databaseId, kind} = choice;
    try {
      const read = await this.#group.read(this.id, this.clock, databaseId);
      if (!isReadCurrent(read.position, needed)) return undefined;
      return {...read, kind, databaseId};
    } catch {
      return undefined;
    }
  }
}

function reachabilityOf(
  self: FakeNode,
  peers: readonly FakeNode[],
): ReachabilityPort {
  return {
    canReach: (_, databaseId) =>
      Promise.resolve(
        peers
          .filter(peer => peer !== self && !peer.clock.paused)
          .map(peer => peer.reaches(databaseId)),
      ),
  };
}

/** Starts nodes connected to one group. */
export function startNodes(
  group: FakeGroup,
  time: VirtualClock,
  count: number,
  seed = 1,
): readonly FakeNode[] {
  const nodes: FakeNode[] = [];
  for (let i = 1; i <= count; i++) {
    nodes.push(new FakeNode(`vm-${i}`, group, time, nodes, seed * 10 + i));
  }
  for (const node of nodes) node.start();
  return nodes;
}
