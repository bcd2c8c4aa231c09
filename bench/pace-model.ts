/**
 * A model of databases with caches, slots and faults, and of the nodes that send
 * to them, under virtual time. The nodes' pools, health, placement and paces are
 * those of the product.
 */
import {GroupMember} from '../src/home/group-member.js';
import type {Pace} from '../src/pace/pace.js';
import {placeRead} from '../src/routing/read-placement.js';
import type {StatementConnection} from '../src/statements/connection.js';
import type {DatabaseReply} from '../src/statements/types.js';
import {TargetError} from '../src/targets/types.js';
import {createRandom} from '../test/admission/random.js';
import {VirtualClock} from '../test/fakes/virtual-clock.js';

const CONNECT_MS = 12;
const TIMEOUT_MS = 300;
/** A statement that has waited for a slot for this long is refused. */
const BUSY_AFTER_MS = 60;
/** Statements that a new process answers until its caches are mostly full. */
const CACHE_STATEMENTS = 100;
/** Execution time with empty caches as a multiple of the usual one. */
const COLD_RATIO = 5;
/** The same where all running statements read from one disk, for each of them. */
const COLD_DISK_RATIO = 3;
const MAX_TRIES = 3;
const TEAMS = 8;

/** Options of a run. */
export interface PaceModelOptions {
  readonly databases: number;
  /** Nodes that send; each takes its part of the load. */
  readonly senders: number;
  readonly slots: number;
  readonly serviceMs: number;
  /** Whether statements on cold caches wait for one disk. */
  readonly hasOneDisk?: boolean;
  /** Statements a second over all senders, by time. */
  readonly perSecond: (ms: number) => number;
  readonly goalMs: number;
  readonly runMs: number;
  readonly seed: number;
  readonly createPace: (clock: VirtualClock) => Pace | undefined;
  /** Schedules the faults. */
  readonly prepare: (
    databases: readonly ModelDatabase[],
    run: ModelRun,
  ) => void;
}

/** What a scenario can do while it runs. */
export interface ModelRun {
  readonly clock: VirtualClock;
  /** The members of each sender, by database. */
  readonly members: readonly (readonly GroupMember[])[];
  /** Replaces the members of a database, as a home does for a new process. */
  replace(database: number): void;
}

/** How a statement ended. */
export type ModelOutcome = 'inTime' | 'late' | 'failed' | 'refused';

/** One statement's end. */
export interface ModelEnd {
  readonly arrivedAt: number;
  readonly endedAt: number;
  readonly outcome: ModelOutcome;
  /** Index of the database that ended it; -1 for none. */
  readonly database: number;
}

/** A database with a number of slots and a queue in order of arrival. */
export class ModelDatabase {
  speed = 1;
  failureRatio = 0;
  readonly #clock: VirtualClock;
  readonly #options: PaceModelOptions;
  readonly #random;
  readonly #connections = new Set<() => void>();
  #waiting: (() => void)[] = [];
  #running = 0;
  #isUp = true;
  #answered = Infinity;

  constructor(clock: VirtualClock, options: PaceModelOptions, seed: number) {
    this.#clock = clock;
    this.#options = options;
    this.#random = createRandom(seed);
  }

  /** Ends the process, or cuts it off: all connections close. */
  stop(): void {
    this.#isUp = false;
    this.#waiting = [];
    for (const close of [...this.#connections]) close();
  }

  /** Makes it reachable again; `isCold` for a new process. */
  start(isCold: boolean): void {
    this.#isUp = true;
    if (isCold) this.#answered = 0;
  }

  async connect(): Promise<StatementConnection> {
    if (!this.#isUp) throw new TargetError('notSent', 'refused');
    await this.#occupy(CONNECT_MS, () => {});
    if (!this.#isUp) throw new TargetError('notSent', 'refused');
    let isOpen = true;
    const listeners = new Set<() => void>();
    const close = () => {
      if (!isOpen) return;
      isOpen = false;
      this.#connections.delete(close);
      for (const listener of listeners) listener();
    };
    this.#connections.add(close);
    return {
      get usable() {
        return isOpen;
      },
      transaction: 'idle',
      run: async () => {
        let lose: () => void = () => {};
        const lost = new Promise<never>((_, reject) => {
          lose = () => reject(new TargetError('lost', 'closed'));
        });
        listeners.add(lose);
        if (!isOpen) lose();
        const reply = await Promise.race([this.#execute(), lost]);
        listeners.delete(lose);
        return [reply];
      },
      queryState: async () => undefined,
      stepDown: async () => undefined,
      close,
      onClose: listener => {
        listeners.add(listener);
      },
    };
  }

  async #execute(): Promise<DatabaseReply> {
    const rest = {transaction: 'idle', position: undefined} as const;
    const error = (code: 'busy' | 'failed'): DatabaseReply => ({
      kind: 'error',
      code,
      detail: '',
      ...rest,
    });
    const sentAt = this.#clock.now();
    let hasFailed = false;
    const hasRun = await this.#occupy(
      () => {
        if (this.#clock.now() - sentAt > BUSY_AFTER_MS) return undefined;
        hasFailed = this.#random.next() < this.failureRatio;
        return hasFailed ? 1 : this.#serviceMs();
      },
      () => (this.#answered += 1),
    );
    if (!hasRun) return error('busy');
    if (hasFailed) return error('failed');
    return {kind: 'done', rows: [], signature: '', ...rest};
  }

  #serviceMs(): number {
    const coldness = Math.exp(-this.#answered / CACHE_STATEMENTS);
    const {serviceMs, hasOneDisk} = this.#options;
    const coldRatio = hasOneDisk
      ? COLD_DISK_RATIO * this.#running
      : COLD_RATIO - 1;
    const spread = 0.5 + this.#random.next();
    return serviceMs * (1 + coldRatio * coldness) * spread * this.speed;
  }

  /** Occupies a slot; false without a time to run. */
  async #occupy(
    timeOf: number | (() => number | undefined),
    onDone: () => void,
  ): Promise<boolean> {
    if (this.#running >= this.#options.slots)
      await new Promise<void>(resolve => this.#waiting.push(resolve));
    this.#running += 1;
    const ms = typeof timeOf === 'number' ? timeOf : timeOf();
    if (ms !== undefined) {
      await this.#clock.sleep(ms);
      onDone();
    }
    this.#running -= 1;
    this.#waiting.shift()?.();
    return ms !== undefined;
  }
}

/**
 * Runs the model and returns how each statement ended.
 *
 * @example
 * const ends = await runPaceModel({...options, createPace: () => undefined});
 */
export async function runPaceModel(
  options: PaceModelOptions,
): Promise<readonly ModelEnd[]> {
  const clock = new VirtualClock();
  const random = createRandom(options.seed);
  const indices = [...Array(options.databases).keys()];
  const databases = indices.map(
    n => new ModelDatabase(clock, options, options.seed + n),
  );
  const members = Array.from({length: options.senders}, () =>
    indices.map(n => createMember(clock, databases[n]!, n, options)),
  );
  const ends: ModelEnd[] = [];
  const replace = (n: number) => {
    for (const sender of members) {
      sender[n]!.pool.close();
      sender[n] = createMember(clock, databases[n]!, n, options);
      sender[n]!.beginPace('started');
    }
  };
  options.prepare(databases, {clock, members, replace});
  const arrive = () => {
    const sender = members[Math.floor(random.next() * options.senders)]!;
    const team = `team-${Math.floor(random.next() * TEAMS)}`;
    const arrivedAt = clock.now();
    void send(clock, sender, team, options.goalMs).then(end =>
      ends.push({...end, arrivedAt, endedAt: clock.now()}),
    );
    const gapMs =
      (-Math.log(1 - random.next()) * 1_000) / options.perSecond(arrivedAt);
    if (arrivedAt + gapMs < options.runMs) clock.schedule(gapMs, arrive);
  };
  clock.schedule(0, arrive);
  await clock.advance(options.runMs + 2 * options.goalMs);
  return ends;
}

function createMember(
  clock: VirtualClock,
  database: ModelDatabase,
  index: number,
  {slots, createPace}: PaceModelOptions,
): GroupMember {
  const entry = {
    id: String(index),
    group: 'g',
    host: 'h',
    port: 1,
    dataCentre: 'd',
    slots,
    isDraining: false,
    role: undefined,
    sequence: 0,
    startedAt: undefined,
  };
  return new GroupMember(entry, {
    clock,
    connector: {connect: () => database.connect()},
    connectionLimit: () => TEAMS * 2,
    weightOf: () => 1,
    anyTeam: () => undefined,
    pace: createPace(clock),
  });
}

/** Sends one statement as a home does: to the best database, then to others. */
async function send(
  clock: VirtualClock,
  members: readonly GroupMember[],
  team: string,
  goalMs: number,
): Promise<Pick<ModelEnd, 'outcome' | 'database'>> {
  const avoid = new Set<string>();
  const goalAt = clock.now() + goalMs;
  let database = -1;
  let outcome: ModelOutcome = 'refused';
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const [id] = placeRead({
      candidates: members.map(member => ({
        id: member.id,
        isPrimary: true,
        isReachable: member.health.isReachable,
        outstanding: member.pool.outstanding,
        slots: member.pacedSlots,
        costMs: member.pool.costMs,
        connectMs: member.connectMs(team),
        roundTripMs: 0,
        visiblePosition: undefined,
        lastShortfall: undefined,
      })),
      needed: undefined,
      now: clock.now(),
      avoid,
    });
    const member = members.find(known => known.id === id);
    if (member === undefined) break;
    avoid.add(member.id);
    const acquired = await member.pool.acquire({
      team,
      priority: 1,
      deadlineAt: goalAt,
      cancelled: new AbortController().signal,
      values: {},
    });
    if (acquired.kind === 'refused') continue;
    database = Number(member.id);
    const {slot} = acquired;
    const end = member.trackWork(slot.connection, 'read');
    try {
      const [reply] = await slot.connection.run([], TIMEOUT_MS);
      member.recordReply(reply!);
      if (reply!.kind === 'done') {
        outcome = clock.now() <= goalAt ? 'inTime' : 'late';
        break;
      }
      outcome = 'failed';
      // A failed statement is the caller's answer; a refused one runs elsewhere.
      if (reply!.kind === 'error' && reply!.code === 'failed') break;
    } catch {
      member.recordFailure();
      outcome = 'failed';
    } finally {
      end();
      slot.release();
    }
  }
  return {outcome, database};
}
