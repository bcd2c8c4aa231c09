/** The databases of one group at its home: monitoring, failover and pools. */
import type {Clock, Random} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import {AckTracker} from '../groups/acknowledgement.js';
import type {ReachabilityPort} from '../groups/failover-need.js';
import {FailoverAgent, type FailoverEvent} from '../groups/failover-agent.js';
import {majorityOf, type GroupView} from '../groups/group-view.js';
import {GroupMonitor} from '../groups/monitor.js';
import type {
  DatabaseControl,
  DatabaseSpec,
  GroupSpec,
} from '../groups/types.js';
import {ReadRouter} from '../routing/read-router.js';
import type {TargetConnection} from '../targets/types.js';
import {DatabasePool} from './database-pool.js';
import {BatchRuns} from './batch-runs.js';

/** How long a majority must be unreachable before writes are refused. */
const NO_MAJORITY_AFTER_MS = 1_500;
/** How long a database must be silent before its statements are abandoned. */
const ABANDON_AFTER_MS = 800;
/** How often silent databases are looked for. */
const ABANDON_CHECK_MS = 100;
/** The same while every database answers; silence is detected in 500 ms. */
const HEALTHY_ABANDON_CHECK_MS = 200;
/** How long a database must be silent before it gets no new statements. */
const UNREACHABLE_AFTER_MS = 500;

/** A control connection that can be closed. */
export interface ClosableControl extends DatabaseControl {
  close(): void;
}

/** Opens connections to the databases of a group. */
export interface DatabaseAccess {
  control(spec: DatabaseSpec): ClosableControl;
  connect(spec: DatabaseSpec): Promise<TargetConnection>;
}

/** Options of a group's databases. */
export interface GroupDatabasesOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly spec: GroupSpec;
  readonly dataCentre: string;
  readonly access: DatabaseAccess;
  readonly reachability: ReachabilityPort;
  /** Unique to this process on this VM. */
  readonly instanceId: string;
  readonly connectionLimit: (spec: DatabaseSpec) => number;
  readonly weightOf: (team: string) => number;
  readonly onFailover: (event: FailoverEvent) => void;
}

/**
 * Monitors the databases of one group, replaces a failed primary and keeps a
 * connection pool for each database.
 *
 * @example
 * const databases = new GroupDatabases(options);
 * databases.start();
 * const pool = databases.pool(databases.view().primaryId ?? '');
 */
export class GroupDatabases {
  readonly spec: GroupSpec;
  readonly clock: Clock;
  readonly controls: readonly ClosableControl[];
  readonly tracker: AckTracker;
  readonly agent: FailoverAgent;
  readonly monitor: GroupMonitor;
  readonly runs: BatchRuns;
  /** Chooses a database for each read. */
  readonly reads: ReadRouter;
  readonly #stopping = new AbortController();
  readonly #pools = new Map<string, DatabasePool>();

  constructor(options: GroupDatabasesOptions) {
    const {clock, spec, access} = options;
    this.spec = spec;
    this.clock = clock;
    this.runs = new BatchRuns(clock);
    this.controls = spec.databases.map(database => access.control(database));
    const controls = this.controls;
    this.tracker = new AckTracker({clock, controls});
    this.monitor = new GroupMonitor({clock, groupName: spec.name, controls});
    this.agent = new FailoverAgent({
      clock,
      controls,
      random: options.random,
      monitor: this.monitor,
      reachability: options.reachability,
      instanceId: options.instanceId,
      onEvent: options.onFailover,
    });
    this.reads = new ReadRouter({
      clock,
      monitor: this.monitor,
      dataCentre: options.dataCentre,
      outstandingOf: id => this.pool(id)?.outstanding ?? 0,
    });
    for (const database of spec.databases) {
      this.#pools.set(
        database.id,
        new DatabasePool({
          clock,
          spec: database,
          connect: () => access.connect(database),
          connectionLimit: () => options.connectionLimit(database),
          weightOf: options.weightOf,
          isReachable: () => this.#isReachable(database.id),
        }),
      );
    }
  }

  /** Starts monitoring the group and failing it over. */
  start(): void {
    this.monitor.start();
    this.agent.start();
    this.monitor.onChange(view => this.#abandonSuperseded(view));
    void this.#abandonSilent();
    for (const pool of this.#pools.values()) void pool.warmUp();
  }

  /**
   * Stops ordering failovers, and closes the pools of the databases that the
   * group's new description lacks.
   */
  supersede({databases}: GroupSpec): void {
    this.agent.stop();
    const kept = new Set(databases.map(({id}) => id));
    for (const [id, pool] of this.#pools) {
      if (!kept.has(id)) pool.close();
    }
  }

  stop(): void {
    this.#stopping.abort();
    this.agent.stop();
    this.reads.stop();
    this.monitor.stop();
    for (const pool of this.#pools.values()) pool.close();
    for (const control of this.controls) control.close();
  }

  view(): GroupView {
    return this.monitor.current();
  }

  pool(databaseId: string): DatabasePool | undefined {
    return this.#pools.get(databaseId);
  }

  #isReachable(databaseId: string): boolean {
    const found = this.view().databases.find(
      ({spec}) => spec.id === databaseId,
    );
    return found === undefined || found.unreachableMs < UNREACHABLE_AFTER_MS;
  }

  /** True if too few databases answer for a failover to succeed now. */
  get hasLostMajority(): boolean {
    const {databases} = this.view();
    const available = databases.filter(
      ({reachable, unreachableMs}) =>
        reachable || unreachableMs < NO_MAJORITY_AFTER_MS,
    );
    return available.length < majorityOf(databases.length);
  }

  /** Resolves on a change of primary or term, on abort, or after `ms`. */
  async waitForChange(ms: number, signal: AbortSignal): Promise<void> {
    const changed = new AbortController();
    const stop = () => changed.abort();
    const unsubscribe = this.monitor.onChange(stop);
    signal.addEventListener('abort', stop, {once: true});
    await this.clock.sleep(ms, changed.signal);
    signal.removeEventListener('abort', stop);
    unsubscribe();
  }

  /**
   * Abandons statements on unreachable databases that are no longer primary, as
   * their writes can't be acknowledged any more.
   */
  #abandonSuperseded({primaryId, databases}: GroupView): void {
    for (const {spec, reachable} of databases) {
      if (spec.id !== primaryId && !reachable) this.runs.abandon(spec.id);
    }
  }

  /** Periodically abandons statements on databases that have gone silent. */
  async #abandonSilent(): Promise<void> {
    const {signal} = this.#stopping;
    while (!signal.aborted) {
      const {isDegraded} = this.monitor;
      const periodMs = isDegraded ? ABANDON_CHECK_MS : HEALTHY_ABANDON_CHECK_MS;
      await sleepToTick(this.clock, periodMs, signal);
      if (!this.monitor.isDegraded) continue;
      for (const {spec, unreachableMs} of this.view().databases) {
        if (unreachableMs >= ABANDON_AFTER_MS) this.runs.abandon(spec.id);
      }
    }
  }
}
