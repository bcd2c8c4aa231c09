/** A database under the load of several routes, sent through a real pool. */
import {
  ConnectionPool,
  type SlotRequest,
} from '../../src/home/connection-pool.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {createRandom} from '../admission/random.js';

/** Time for which opening a connection occupies a slot, on all deployments. */
const CONNECT_MS = 12;
const MAX_RETRIES = 2;
const CONNECTIONS = 29;

/** The load of one route; execution times vary around `executionMs`. */
export interface RouteLoad {
  readonly name: string;
  readonly rank: number;
  readonly executionMs: number;
  readonly goalMs: number;
  readonly limitMs: number;
  /** Value of an answer in time and of a late one. */
  readonly value: readonly [inTime: number, late: number];
  /** Requests per second at a time. */
  readonly perSecond: (atMs: number) => number;
  readonly teamOf?: (n: number, atMs: number) => string;
}

/** What became of the requests of a route, or of one of its teams. */
export interface RouteResult {
  sent: number;
  inTime: number;
  late: number;
  refused: number;
  worth: number;
  /** Longest time between a request and its refusal. */
  refusedAfterMs: number;
}

/** How requests are ordered and refused. */
export type Policy =
  /** By rank, with the latency goal; what the proxy does. */
  | 'ranked'
  /** All but the last rank in one class; refused at the latency goal. */
  | 'twoClasses';

/** Runs the load; returns the results by route and by `route/team`. */
export async function runLoad(
  routes: readonly RouteLoad[],
  policy: Policy,
  options: {slots: number; forMs: number; seed?: number},
): Promise<ReadonlyMap<string, RouteResult>> {
  const clock = new VirtualClock(1);
  const random = createRandom(options.seed ?? 1);
  const results = new Map<string, RouteResult>();
  const database = new Slots(options.slots);
  const pool = createPool(clock, options.slots, database);
  const lastRank = Math.max(...routes.map(({rank}) => rank));
  const exponential = (meanMs: number) => -meanMs * Math.log(1 - random.next());

  async function request(route: RouteLoad, team: string): Promise<void> {
    const sentAt = clock.now();
    const executionMs = route.executionMs * (0.5 + random.next());
    const tally = (change: (result: RouteResult) => void) => {
      for (const key of [route.name, `${route.name}/${team}`]) {
        const result = results.get(key) ?? emptyResult();
        results.set(key, result);
        change(result);
      }
    };
    tally(result => (result.sent += 1));
    for (let retries = 0; ; retries++) {
      const triedAt = clock.now();
      const slot = await pool.acquire(requestFor(route, team));
      if (slot.kind === 'granted') {
        await database.run(clock, executionMs);
        slot.slot.release();
        const isInTime = clock.now() - sentAt <= route.goalMs;
        const [inTime, late] = route.value;
        tally(result => {
          result[isInTime ? 'inTime' : 'late'] += 1;
          result.worth += isInTime ? inTime : late;
        });
        return;
      }
      const waitedMs = clock.now() - triedAt;
      const {retryAfterMs = Infinity} = slot.verdict;
      const isLast =
        retries === MAX_RETRIES ||
        clock.now() + retryAfterMs >= sentAt + route.limitMs;
      tally(result => {
        result.refusedAfterMs = Math.max(result.refusedAfterMs, waitedMs);
        if (isLast) result.refused += 1;
      });
      if (isLast) return;
      await clock.sleep(retryAfterMs);
    }
  }

  function requestFor(route: RouteLoad, team: string): SlotRequest {
    const {rank, goalMs, limitMs, name} = route;
    const now = clock.now();
    const common = {team, cancelled: new AbortController().signal};
    if (policy === 'twoClasses') {
      const priority = rank === lastRank ? 1 : 0;
      return {...common, priority, deadlineAt: now + goalMs};
    }
    return {
      ...common,
      priority: rank,
      deadlineAt: now + limitMs,
      latencyGoalAt: now + goalMs,
      workKind: name,
    };
  }

  const running: Promise<void>[] = [];
  async function send(route: RouteLoad): Promise<void> {
    for (let n = 0; clock.now() < options.forMs; n++) {
      await clock.sleep(exponential(1_000 / route.perSecond(clock.now())));
      const team = route.teamOf?.(n, clock.now()) ?? `team${n % 8}`;
      running.push(request(route, team));
    }
  }
  const sending = routes.map(send);
  await clock.advance(options.forMs + 15_000);
  await Promise.all(sending);
  await Promise.all(running);
  return results;
}

function emptyResult(): RouteResult {
  return {
    sent: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    worth: 0,
    refusedAfterMs: 0,
  };
}

interface FakeConnection {
  readonly team: string;
  readonly usable: boolean;
  readonly transaction: 'idle';
  close(): void;
}

function createPool(clock: VirtualClock, slots: number, database: Slots) {
  const idle: FakeConnection[] = [];
  return new ConnectionPool<FakeConnection, SlotRequest>({
    clock,
    spec: {id: 'db1', slots},
    source: {
      get size() {
        return idle.length;
      },
      async take({team}) {
        const at = idle.findLastIndex(connection => connection.team === team);
        const [known] = at < 0 ? [] : idle.splice(at, 1);
        if (known !== undefined) return known;
        if (idle.length >= CONNECTIONS) idle.shift();
        await database.run(clock, CONNECT_MS);
        return {team, usable: true, transaction: 'idle', close: () => {}};
      },
      add: connection => void idle.push(connection),
      closeAll: () => {},
    },
    connectionLimit: () => CONNECTIONS,
    weightOf: () => 1,
    isReachable: () => true,
  });
}

/** The slots of a database; statements beyond them wait in order. */
class Slots {
  readonly #waiting: (() => void)[] = [];
  #free: number;

  constructor(slots: number) {
    this.#free = slots;
  }

  async run(clock: VirtualClock, ms: number): Promise<void> {
    if (this.#free === 0) {
      await new Promise<void>(resolve => this.#waiting.push(resolve));
    } else this.#free -= 1;
    await clock.sleep(ms);
    const next = this.#waiting.shift();
    if (next === undefined) this.#free += 1;
    else next();
  }
}
