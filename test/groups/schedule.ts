/** Runs schedules of faults against nodes connected to a fake group. */
import type {AckResult} from '../../src/groups/acknowledgement.js';
import type {AckMode} from '../../src/groups/replica-confirmer.js';
import {laterPosition, START_POSITION} from '../../src/session/position.js';
import type {Position} from '../../src/session/position.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {DATABASE_IDS, NODE_IDS, type Action, type Step} from './actions.js';
import {startNodes, type FakeNode, type FakeWrite} from './fake-node.js';

/** What a session must be able to read. */
interface Session {
  /** Position that its reads must cover. */
  needed: Position;
  /** Ids of its writes acknowledged with ack=replica. */
  readonly acknowledged: string[];
}

const ALL_ENDPOINTS = [...NODE_IDS, ...DATABASE_IDS];

const RECOVERY_MS = 15_000;

/** A run of one schedule, with the violations that it found. */
export class ScheduleRun {
  readonly time = new VirtualClock(1);
  readonly group = new FakeGroup(this.time);
  readonly nodes: readonly FakeNode[];
  readonly writes: FakeWrite[] = [];
  readonly violations: string[] = [];
  /** The outcome of each write, by its id: w1, w2 and so on. */
  readonly outcomes: Record<string, AckResult['kind'] | 'refused'> = {};
  /** Where each read ran, in the order in which they ended. */
  readonly reads: ('replica' | 'primary' | 'refused')[] = [];
  readonly #sessions = new Map<string, Session>();
  /** Ids of writes acknowledged with ack=primary; a failover may lose them. */
  readonly #primaryAcked = new Set<string>();
  #writeCount = 0;
  #recoveryWriteCount = 0;

  constructor(seed: number) {
    this.nodes = startNodes(this.group, this.time, NODE_IDS.length, seed);
  }

  /** Runs the steps, repairs all faults and returns the violations found. */
  async run(steps: readonly Step[]): Promise<readonly string[]> {
    await this.time.advance(500);
    for (const {waitMs, action} of steps) {
      await this.time.advance(waitMs);
      this.#act(action);
    }
    await this.time.advance(1_500);
    await this.#recover();
    this.#checkPrimaries();
    this.#checkWrites();
    for (const node of this.nodes) node.stop();
    return this.violations;
  }

  #act(action: Action): void {
    const {group} = this;
    switch (action.kind) {
      case 'isolate': {
        const others = ALL_ENDPOINTS.filter(end => !action.ends.includes(end));
        group.links.heal(ALL_ENDPOINTS, ALL_ENDPOINTS);
        return group.links.cut(action.ends, others);
      }
      case 'mend':
        return group.links.heal(ALL_ENDPOINTS, ALL_ENDPOINTS);
      case 'freeze':
        return group.database(action.database).freeze();
      case 'resume':
        return group.database(action.database).resume();
      case 'crash':
        return group.database(action.database).crash();
      case 'restart':
        return group.database(action.database).restart();
      case 'lag':
        group.database(action.database).applyLagMs = action.ms;
        return;
      case 'pauseNode':
        return this.#node(action.node).clock.pause();
      case 'resumeNode':
        return this.#node(action.node).clock.resume();
      case 'slowLink':
        this.#link(action).delayMs = action.ms;
        return;
      case 'loseAnswers':
        this.#link(action).answersToLose = action.count;
        return;
      case 'duplicate':
        this.#link(action).duplicateAfterMs = action.afterMs;
        return;
      case 'write':
        void this.#write(this.#node(action.node), action.session, action.ack);
        return;
      case 'read':
        void this.#read(
          this.#node(action.node),
          action.session,
          action.staleMs,
        );
        return;
    }
  }

  #link({node, database}: {node: string; database: string}) {
    return this.group.links.between(node, database);
  }

  #node(id: string): FakeNode {
    const node = this.nodes.find(other => other.id === id);
    if (node === undefined) throw new Error(`no node ${id}`);
    return node;
  }

  #session(id: string): Session {
    let session = this.#sessions.get(id);
    if (session === undefined) {
      session = {needed: START_POSITION, acknowledged: []};
      this.#sessions.set(id, session);
    }
    return session;
  }

  async #write(node: FakeNode, sessionId: string, ack: AckMode) {
    if (node.clock.paused) return;
    this.#writeCount += 1;
    const id = `w${this.#writeCount}`;
    const write = await node.write(id, ack);
    this.outcomes[id] = write?.result.kind ?? 'refused';
    if (write === undefined) return;
    this.writes.push(write);
    if (write.result.kind !== 'acknowledged') return;
    const session = this.#session(sessionId);
    session.needed = laterPosition(session.needed, write.position);
    if (ack === 'replica') session.acknowledged.push(write.id);
    else this.#primaryAcked.add(write.id);
  }

  async #read(node: FakeNode, sessionId: string, staleMs: number) {
    if (node.clock.paused) return;
    const session = this.#session(sessionId);
    const expected = [...session.acknowledged];
    const read = await node.read(sessionId, session.needed, staleMs);
    this.reads.push(read?.kind ?? 'refused');
    if (read === undefined) return;
    for (const id of expected) {
      if (read.writes.has(id)) continue;
      this.violations.push(`a read at ${read.databaseId} missed ${id}`);
    }
  }

  async #recover(): Promise<void> {
    this.group.links.reset();
    for (const database of this.group.databases) {
      database.resume();
      database.restart();
    }
    for (const {clock} of this.nodes) if (clock.paused) clock.resume();
    let recovered = false;
    const tryOnce = async (node: FakeNode) => {
      this.#recoveryWriteCount += 1;
      const write = await node.write(`r${this.#recoveryWriteCount}`, 'replica');
      if (write === undefined) return;
      this.writes.push(write);
      recovered ||= write.result.kind === 'acknowledged';
    };
    const endsAt = this.time.now() + RECOVERY_MS;
    while (!recovered && this.time.now() < endsAt) {
      void tryOnce(this.nodes[0]!);
      await this.time.advance(250);
    }
    if (!recovered) this.violations.push('the group did not recover');
    await this.time.advance(1_500);
  }

  #checkPrimaries(): void {
    const leaders = new Map<number, string>();
    for (const {spec, promotions} of this.group.databases) {
      for (const {term} of promotions) {
        const other = leaders.get(term);
        if (other !== undefined) {
          this.violations.push(`${other} and ${spec.id} both led term ${term}`);
        }
        leaders.set(term, spec.id);
      }
    }
  }

  #checkWrites(): void {
    const kept = this.group.primary?.visibleWrites() ?? new Set();
    const promotions = this.group.databases.flatMap(
      database => database.promotions,
    );
    for (const {id, position, committedAt, result} of this.writes) {
      if (result.kind !== 'acknowledged') continue;
      if (!kept.has(id) && !this.#primaryAcked.has(id)) {
        this.violations.push(`acknowledged ${id} was lost`);
      }
      const newer = promotions.find(
        ({term, at}) => term > position.term && at < committedAt,
      );
      if (newer === undefined) continue;
      this.violations.push(
        `${id} of term ${position.term} was acknowledged though it was ` +
          `committed after the promotion of term ${newer.term}`,
      );
    }
  }
}
