/** Opens, serves and closes the group homes on this VM. */
import type {ReachabilityPort} from '../groups/failover-need.js';
import type {FailoverEvent} from '../groups/failover-agent.js';
import type {GroupView} from '../groups/group-view.js';
import type {SwitchResult} from '../groups/planned-switch.js';
import type {DatabaseSpec, GroupSpec} from '../groups/types.js';
import type {PeerHandler} from '../peers/types.js';
import type {Clock, Random} from '../infra/clock.js';
import {runAtTicks} from '../infra/timer.js';
import type {GroupRow} from '../rollout/table.js';
import {notRun} from '../verdict/verdict.js';
import type {DatabaseAccess} from './group-databases.js';
import {GroupHome} from './group-home.js';
import {HOME_METHODS, hasStrings, isExecRequest} from './messages.js';
import {
  failedResult,
  type ExecRequest,
  type ExecResult,
  type PartSink,
} from './types.js';

/** An idle home whose first choice is another VM is closed after this. */
const CLOSE_IDLE_MS = 30_000;
const UPDATE_PERIOD_MS = 1_000;
/** Short, because a failover waits for the answer. */
const REACH_TIMEOUT_MS = 150;
/** Share of a database's connections for the first-choice home, and others. */
const FIRST_HOME_SHARE = 0.75;
const OTHER_HOME_SHARE = 0.25;
const MIN_CONNECTIONS = 2;

/** Options of a home service. */
export interface HomeServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly dataCentre: string;
  readonly instanceId: string;
  readonly access: DatabaseAccess;
  readonly reachability: ReachabilityPort;
  readonly groups: () => readonly GroupSpec[];
  readonly row: (group: string) => GroupRow | undefined;
  readonly weightOf: (team: string) => number;
  /** How long a read may wait for a replica before it uses the primary. */
  readonly replicaWaitMs: number;
  /** Returns whether this VM is the first choice as the group's home. */
  readonly isFirstHome: (group: string) => boolean;
  readonly onFailover: (group: string, event: FailoverEvent) => void;
}

interface OpenHome {
  readonly home: GroupHome;
  /** The group's description at the time, to detect changes. */
  readonly fingerprint: string;
}

/** Runs batches on the groups whose home is on this VM. */
export class HomeService {
  readonly #options: HomeServiceOptions;
  readonly #homes = new Map<string, OpenHome>();
  /** Homes of replaced group descriptions that still have open work. */
  readonly #superseded = new Set<GroupHome>();
  readonly #stopping = new AbortController();
  #draining = false;
  #refusesPeers = false;

  constructor(options: HomeServiceOptions) {
    this.#options = options;
  }

  /** Handlers of the peer methods. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [HOME_METHODS.exec, (body, ctx) => this.#serveExec(body, ctx)],
      [HOME_METHODS.release, async body => this.#serveRelease(body)],
      [HOME_METHODS.cancel, async body => this.#serveCancel(body)],
      [HOME_METHODS.reach, body => this.#serveReach(body)],
      [HOME_METHODS.switchPrimary, body => this.#serveSwitch(body)],
    ]);
  }

  /** Number of running batches and open transactions. */
  get active(): number {
    const homes = [...this.#homes.values()].map(({home}) => home);
    return [...homes, ...this.#superseded].reduce(
      (sum, h) => sum + h.active,
      0,
    );
  }

  /** Starts opening homes of the groups whose first choice is this VM. */
  start(): void {
    const {signal} = this.#stopping;
    void runAtTicks(this.#options.clock, UPDATE_PERIOD_MS, signal, () =>
      this.#updateHomes(),
    );
  }

  /** Refuses new work from other VMs; their open transactions continue. */
  refusePeers(): void {
    this.#refusesPeers = true;
  }

  /** Refuses new work, waits up to `drainMs` for running work, then stops. */
  async drain(drainMs: number): Promise<void> {
    this.#draining = true;
    const {clock} = this.#options;
    const until = clock.now() + drainMs;
    while (this.active > 0 && clock.now() < until) await clock.sleep(20);
    this.stop();
  }

  stop(): void {
    this.#stopping.abort();
    for (const {home} of this.#homes.values()) home.stop();
    for (const home of this.#superseded) home.stop();
    this.#homes.clear();
  }

  /** Returns the observed state of each group with a home here. */
  views(): readonly GroupView[] {
    return [...this.#homes.values()].map(({home}) => home.view());
  }

  /** Runs one batch. Never rejects: the verdict holds any failure. */
  async execute(
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult> {
    if (this.#draining && req.pin === undefined) return closing();
    const home = this.#homeFor(req);
    if (home === undefined) {
      const message = `the platform lists no group ${req.group}`;
      return failedResult(notRun('unknownRoute', message));
    }
    return home.execute(req, sink, signal);
  }

  /** Rolls back a transaction whose caller has disconnected. */
  release(group: string, pin: string): void {
    this.#homes.get(group)?.home.release(pin);
    for (const home of this.#superseded) home.release(pin);
  }

  /** Cancels a session's running batch, or removes it from the queue. */
  cancel(group: string, sessionId: string): void {
    this.#homes.get(group)?.home.cancel(sessionId);
    for (const home of this.#superseded) home.cancel(sessionId);
  }

  /** Makes a database the primary on the operator's request. */
  async switchPrimary(
    group: string,
    databaseId: string,
  ): Promise<SwitchResult> {
    const home = this.#ensureHome(group);
    if (home !== undefined) return home.switchTo(databaseId);
    return {kind: 'notStarted', reason: `there is no group ${group}`};
  }

  /** A transaction stays at its home if the group's description changes. */
  #homeFor({group, pin}: ExecRequest): GroupHome | undefined {
    if (pin === undefined) return this.#ensureHome(group);
    const current = this.#homes.get(group)?.home;
    if (current?.hasTransaction(pin)) return current;
    const previous = [...this.#superseded].find(home =>
      home.hasTransaction(pin),
    );
    return previous ?? this.#ensureHome(group);
  }

  #ensureHome(group: string): GroupHome | undefined {
    const spec = this.#options.groups().find(({name}) => name === group);
    if (spec === undefined) return undefined;
    const fingerprint = JSON.stringify(spec);
    const known = this.#homes.get(group);
    if (known?.fingerprint === fingerprint) return known.home;
    if (known !== undefined) {
      known.home.supersede(spec);
      this.#superseded.add(known.home);
    }
    const home = this.#open(spec);
    this.#homes.set(group, {home, fingerprint});
    return home;
  }

  #open(spec: GroupSpec): GroupHome {
    const {isFirstHome, row, onFailover, ...common} = this.#options;
    const home = new GroupHome({
      ...common,
      spec,
      row: () => row(spec.name),
      connectionLimit: database =>
        connectionShare(database, isFirstHome(spec.name)),
      onFailover: event => onFailover(spec.name, event),
    });
    home.start();
    return home;
  }

  #updateHomes(): void {
    const {groups, isFirstHome} = this.#options;
    const listed = new Set(groups().map(({name}) => name));
    for (const name of listed) {
      if (isFirstHome(name) || this.#homes.has(name)) this.#ensureHome(name);
    }
    for (const [name, {home}] of this.#homes) {
      const isOurs = listed.has(name) && isFirstHome(name);
      if (isOurs || home.idleMs < CLOSE_IDLE_MS) continue;
      this.#homes.delete(name);
      home.stop();
    }
    for (const home of this.#superseded) {
      if (home.active > 0) continue;
      this.#superseded.delete(home);
      home.stop();
    }
  }

  async #serveExec(
    body: unknown,
    ctx: Parameters<PeerHandler>[1],
  ): Promise<ExecResult> {
    if (!isExecRequest(body)) {
      return failedResult(
        notRun('badRequest', 'a peer sent a malformed batch'),
      );
    }
    if (this.#refusesPeers && body.pin === undefined) return closing();
    return this.execute(body, frames => ctx.send(frames), ctx.signal);
  }

  #serveRelease(body: unknown): void {
    if (hasStrings(body, 'group', 'pin')) this.release(body.group, body.pin);
  }

  #serveCancel(body: unknown): void {
    if (!hasStrings(body, 'group', 'sessionId')) return;
    this.cancel(body.group, body.sessionId);
  }

  /** Answers another node whether this VM can reach a database now. */
  async #serveReach(body: unknown): Promise<boolean> {
    if (!hasStrings(body, 'group', 'databaseId')) return false;
    const spec = this.#options
      .groups()
      .find(({name}) => name === body.group)
      ?.databases.find(({id}) => id === body.databaseId);
    if (spec === undefined) return false;
    const control = this.#options.access.control(spec);
    try {
      await control.status(REACH_TIMEOUT_MS);
      return true;
    } catch {
      return false;
    } finally {
      control.close();
    }
  }

  async #serveSwitch(body: unknown): Promise<SwitchResult> {
    if (hasStrings(body, 'group', 'databaseId')) {
      return this.switchPrimary(body.group, body.databaseId);
    }
    return {kind: 'notStarted', reason: 'name a group and a database'};
  }
}

function closing(): ExecResult {
  return failedResult(notRun('shuttingDown', 'this home is closing', 0));
}

function connectionShare(database: DatabaseSpec, isFirst: boolean): number {
  const share = isFirst ? FIRST_HOME_SHARE : OTHER_HOME_SHARE;
  return Math.max(MIN_CONNECTIONS, Math.floor(database.maxConnections * share));
}
