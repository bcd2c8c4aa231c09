/** What a group's home holds: its monitor, its lanes and what it knows. */
import type {Clock, Random} from '../platform/clock.js';
import {AckTracker} from '../groups/acknowledgement.js';
import type {EvidencePort} from '../groups/evidence.js';
import {FailoverAgent, type FailoverEvent} from '../groups/failover-agent.js';
import {majorityOf, type GroupView} from '../groups/group-view.js';
import {GroupMonitor, type StatusReport} from '../groups/monitor.js';
import type {
  DatabaseControl,
  DatabaseSpec,
  GroupSpec,
} from '../groups/types.js';
import {ReplicaAges} from '../routing/replica-ages.js';
import type {ReadCandidate} from '../routing/replica-choice.js';
import type {Position} from '../session/position.js';
import type {TargetConnection} from '../targets/types.js';
import {DatabaseLane} from './database-lane.js';
import {StatementRuns} from './statement-runs.js';

/** How long a majority must be out of reach before writes are refused. */
const HOPELESS_AFTER_MS = 1_500;
/** How long a database must be silent before its statements are given up. */
const ABANDON_AFTER_MS = 1_000;
const ABANDON_CHECK_MS = 100;

/** A control connection that can be given up. */
export interface ClosableControl extends DatabaseControl {
  close(): void;
}

/** Reaches the databases of a group. */
export interface DatabaseAccess {
  control(spec: DatabaseSpec): ClosableControl;
  connect(spec: DatabaseSpec): Promise<TargetConnection>;
}

/** Settings of a group's home. */
export interface GroupDatabasesOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly spec: GroupSpec;
  readonly access: DatabaseAccess;
  readonly evidence: EvidencePort;
  /** Unique to this run of this VM. */
  readonly instanceId: string;
  readonly connectionShare: (spec: DatabaseSpec) => number;
  readonly weightOf: (team: string) => number;
  readonly onFailover: (event: FailoverEvent) => void;
}

/**
 * The databases of one group as its home knows them.
 *
 * @example
 * const databases = new GroupDatabases(options);
 * databases.start();
 * const lane = databases.lane(databases.view().primaryId ?? '');
 */
export class GroupDatabases {
  readonly spec: GroupSpec;
  readonly clock: Clock;
  readonly controls: readonly ClosableControl[];
  readonly tracker: AckTracker;
  readonly agent: FailoverAgent;
  readonly monitor: GroupMonitor;
  readonly runs: StatementRuns;
  readonly #stopping = new AbortController();
  readonly #ages: ReplicaAges;
  readonly #lanes = new Map<string, DatabaseLane>();

  constructor(options: GroupDatabasesOptions) {
    const {clock, spec, access} = options;
    this.spec = spec;
    this.clock = clock;
    this.runs = new StatementRuns(clock);
    this.controls = spec.databases.map(one => access.control(one));
    const controls = this.controls;
    this.tracker = new AckTracker({clock, controls});
    this.monitor = new GroupMonitor({clock, groupName: spec.name, controls});
    this.agent = new FailoverAgent({
      clock,
      controls,
      random: options.random,
      monitor: this.monitor,
      evidence: options.evidence,
      instanceId: options.instanceId,
      onEvent: options.onFailover,
    });
    this.#ages = new ReplicaAges(spec.databases.length);
    for (const database of spec.databases) {
      this.#lanes.set(
        database.id,
        new DatabaseLane({
          clock,
          spec: database,
          connect: () => access.connect(database),
          connectionShare: () => options.connectionShare(database),
          weightOf: options.weightOf,
        }),
      );
    }
    this.monitor.onReport(report => this.#learn(report));
  }

  /** Begins to follow the group and to order its failovers. */
  start(): void {
    this.monitor.start();
    this.agent.start();
    void this.#abandonSilent();
    for (const lane of this.#lanes.values()) void lane.warmUp();
  }

  stop(): void {
    this.#stopping.abort();
    this.agent.stop();
    this.monitor.stop();
    for (const lane of this.#lanes.values()) lane.close();
    for (const control of this.controls) control.close();
  }

  view(): GroupView {
    return this.monitor.current();
  }

  lane(databaseId: string): DatabaseLane | undefined {
    return this.#lanes.get(databaseId);
  }

  /** Whether so few databases answer that no failover can succeed now. */
  get isHopeless(): boolean {
    const {databases} = this.view();
    const possible = databases.filter(
      ({reachable, unreachableMs}) =>
        reachable || unreachableMs < HOPELESS_AFTER_MS,
    );
    return possible.length < majorityOf(databases.length);
  }

  /** The databases as candidates for a read that must see `position`. */
  candidates(position: Position): readonly ReadCandidate[] {
    const now = this.clock.now();
    return this.view().databases.map(({spec, reachable}) => ({
      spec,
      reachable,
      applied: this.#ages.appliedOf(spec.id),
      ageMs: this.#ages.ageMs(spec.id, now),
      outstanding: this.lane(spec.id)?.outstanding ?? 0,
      expectedWaitMs: this.#ages.expectedWaitMs(spec.id, position, now),
    }));
  }

  /** The age of data that a replica showed just now, at most. */
  ageOf(databaseId: string, shown: Position): number {
    const now = this.clock.now();
    this.#ages.recordReplica(databaseId, shown, now);
    return this.#ages.ageMs(databaseId, now);
  }

  /** Notes where the primary was when a batch was sent to it. */
  notePrimary(position: Position, sentAt: number): void {
    this.#ages.recordPrimary(position.term, position, sentAt);
  }

  /** Resolves at the next change of primary, or after `ms`. */
  async waitForChange(ms: number, signal: AbortSignal): Promise<void> {
    const changed = new AbortController();
    const stop = () => changed.abort();
    const unsubscribe = this.monitor.onChange(stop);
    signal.addEventListener('abort', stop, {once: true});
    await this.clock.sleep(ms, changed.signal);
    signal.removeEventListener('abort', stop);
    unsubscribe();
  }

  /** Gives up the statements on databases that have gone silent. */
  async #abandonSilent(): Promise<void> {
    const {signal} = this.#stopping;
    while (!signal.aborted) {
      await this.clock.sleep(ABANDON_CHECK_MS, signal);
      for (const {spec, unreachableMs} of this.view().databases) {
        if (unreachableMs >= ABANDON_AFTER_MS) this.runs.abandon(spec.id);
      }
    }
  }

  #learn({databaseId, status, askedAt, answeredAt}: StatusReport): void {
    this.#ages.recordFence(databaseId, status.fencedTerm, askedAt);
    if (status.role === 'primary') {
      this.#ages.recordPrimary(status.term, status.received, askedAt);
    } else {
      this.#ages.recordReplica(databaseId, status.applied, answeredAt);
    }
  }
}
