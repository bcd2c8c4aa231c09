/**
 * A connection pool for one database, with a queue that is fair to teams.
 * A slot is a connection together with the right to use it.
 */
import {ConcurrencyLimit} from '../admission/concurrency-limit.js';
import {
  FairQueue,
  FLOOR_DISPATCH_INTERVAL,
  type SchedulingParams,
} from '../admission/fair-queue.js';
import type {WaitEstimate} from '../admission/wait-estimate.js';
import type {DatabaseSpec} from '../groups/types.js';
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import {MAX_RETRY_DELAY_MS, RetrySpacing} from '../quota/retry-spacing.js';
import type {Pace} from '../pace/pace.js';
import {
  TargetError,
  type TargetConnection,
  type TransactionStatus,
} from '../targets/types.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import {ConnectionReservations} from './connection-reservations.js';
import {ExecutionTimes} from './execution-times.js';
import {CANCELLED, type Priority} from './types.js';

const UNAVAILABLE_RETRY_MS = 100;
/** Weight of the newest sample in the average time to get a connection. */
const OPENING_SMOOTHING = 0.1;
/**
 * How often queued statements with a latency goal are reviewed: often enough
 * to refuse one well before its deadline, and seldom for a node with few cores.
 */
const REVIEW_PERIOD_MS = 50;

/** A request for a slot. */
export interface SlotRequest {
  readonly team: string;
  readonly priority: Priority;
  /** The caller's deadline, on the node's monotonic clock. */
  readonly deadlineAt: number;
  /** Time until which an answer has its full value; the deadline if absent. */
  readonly latencyGoalAt?: number | undefined;
  /** True if the caller tries elsewhere after a refusal, not later. */
  readonly isTentative?: boolean | undefined;
  /** Kind of work by which its execution time is expected; any if absent. */
  readonly workKind?: string | undefined;
  /** True if it opens a transaction that will reserve its connection. */
  readonly opensTransaction?: boolean | undefined;
  /** Aborts when the caller cancels the statement. */
  readonly cancelled: AbortSignal;
}

/** The outcome of a slot request. */
export type SlotResult<C = TargetConnection> =
  | {readonly kind: 'granted'; readonly slot: Slot<C>}
  | {
      readonly kind: 'refused';
      readonly verdict: NotRun;
      /** The expected wait, if that was the reason. */
      readonly estimate?: WaitEstimate;
    };

/** A connection that a pool can hold. */
export interface PooledConnection {
  /** False once closed, or once an answer was abandoned. */
  readonly usable: boolean;
  readonly transaction: TransactionStatus;
  close(): void;
}

/** Opens connections for a pool and keeps the idle ones. */
export interface ConnectionSource<C, Req> {
  /** Number of idle connections. */
  readonly size: number;
  /**
   * Takes an idle connection that suits the request, or opens one.
   *
   * @throws TargetError when no connection can be opened
   */
  take(req: Req): Promise<C>;
  /** Keeps an idle connection for its next use. */
  add(connection: C): void;
  closeAll(): void;
}

/** A connection in use. */
export interface Slot<C = TargetConnection> {
  readonly connection: C;
  /** Time in the queue, without that for opening a connection. */
  readonly waitedMs: number;
  /** Reserves the connection for an open transaction and frees its slot. */
  pin(): void;
  /** Returns the connection to the pool, or closes it if it is unusable. */
  release(): void;
}

/** Options of a connection pool. */
export interface ConnectionPoolOptions<C, Req> {
  readonly clock: Clock;
  readonly spec: Pick<DatabaseSpec, 'id' | 'slots'>;
  readonly source: ConnectionSource<C, Req>;
  /** Maximum number of connections of this node to the database. */
  readonly connectionLimit: () => number;
  readonly weightOf: (team: string) => number;
  /** Returns whether the database has answered recently. */
  readonly isReachable: () => boolean;
  /** The pace of a database that starts or recovers; none by default. */
  readonly pace?: Pick<Pace, 'limit'> | undefined;
}

const CANCELLED_RESULT = {kind: 'refused', verdict: CANCELLED} as const;

interface Waiter<C, Req> {
  readonly req: Req;
  readonly queuedAt: number;
  readonly settle: (result: SlotResult<C>) => void;
}

/**
 * Grants slots of one database by priority, fairly between teams.
 *
 * @example
 * const result = await pool.acquire({team, priority, deadlineAt, cancelled});
 * if (result.kind === 'granted') {
 *   await result.slot.connection.run(frames, observer);
 * }
 */
export class ConnectionPool<
  C extends PooledConnection,
  Req extends SlotRequest,
> {
  readonly #options: ConnectionPoolOptions<C, Req>;
  readonly #queue: FairQueue<Waiter<C, Req>>;
  readonly #concurrency: ConcurrencyLimit;
  readonly #times = new ExecutionTimes();
  readonly #reservations: ConnectionReservations;
  readonly #retrySpacings = new Map<string, RetrySpacing>();
  #running = 0;
  #pinned = 0;
  #openingMs = 0;
  #isReviewing = false;
  #closed = false;

  constructor(options: ConnectionPoolOptions<C, Req>) {
    this.#options = options;
    this.#reservations = new ConnectionReservations(options);
    this.#concurrency = new ConcurrencyLimit({
      slots: () => options.spec.slots,
      connections: () => options.connectionLimit() - this.#pinned,
      pace: options.pace,
    });
    this.#queue = new FairQueue<Waiter<C, Req>>({
      clock: options.clock,
      weightOf: options.weightOf,
      concurrency: () => this.#slotLimit,
    });
  }

  /** Number of running and queued requests. */
  get outstanding(): number {
    return this.#running + this.#queue.size;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#options.source.size + this.#running + this.#pinned;
  }

  /** Number of connections reserved for open transactions. */
  get pinned(): number {
    return this.#pinned;
  }

  /** Average statement time, in milliseconds. */
  get costMs(): number {
    return this.#times.averageMs;
  }

  /** Expected execution time of a kind of work, in milliseconds. */
  expectedMs(workKind: string): number {
    return this.#times.expectedMs(workKind);
  }

  /** Maximum number of statements that run concurrently. */
  get concurrency(): number {
    return this.#slotLimit;
  }

  /** Waits for a slot; refuses at once if none will be free in time. */
  async acquire(req: Req): Promise<SlotResult<C>> {
    if (req.cancelled.aborted) return CANCELLED_RESULT;
    if (this.#closed) return this.#left();
    if (!this.#options.isReachable()) {
      return this.#unavailable('does not answer');
    }
    if (req.opensTransaction && !this.#reservations.mayReserve(req.team)) {
      return this.#tooManyTransactions(req);
    }
    if (this.#queue.size === 0 && this.#hasFreeSlot) {
      this.#running++;
      this.#queue.recordStart(this.#orderOf(req));
      return this.#open(req, 0);
    }
    return this.#enqueue(req);
  }

  /** Starts queued requests after the pace has risen. */
  resume(): void {
    this.#dispatch();
  }

  /** Refuses the queued requests and all later ones; closes idle connections. */
  close(): void {
    this.#closed = true;
    this.#options.source.closeAll();
    let taken = this.#queue.take();
    while (taken !== undefined) {
      taken.item.settle(this.#left());
      taken = this.#queue.take();
    }
  }

  get #slotLimit(): number {
    return Math.max(1, this.#concurrency.value);
  }

  get #hasFreeSlot(): boolean {
    return this.#running < this.#slotLimit;
  }

  #enqueue(req: Req): Promise<SlotResult<C>> {
    const {clock} = this.#options;
    const order = this.#orderOf(req);
    const queuedAt = clock.now();
    return new Promise(resolve => {
      const remainingMs = req.deadlineAt - queuedAt;
      const stopTimer = startTimer(clock, remainingMs, () => {
        if (this.#queue.remove(waiter)) settle(this.#expired(req));
      });
      const onCancel = () => {
        if (this.#queue.remove(waiter)) settle(CANCELLED_RESULT);
      };
      const settle = (result: SlotResult<C>) => {
        stopTimer();
        req.cancelled.removeEventListener('abort', onCancel);
        resolve(result);
      };
      req.cancelled.addEventListener('abort', onCancel);
      const waiter: Waiter<C, Req> = {req, queuedAt, settle};
      const offered = this.#queue.offer(waiter, order);
      if (offered.kind === 'refused') {
        const estimate = this.#queue.estimate(order);
        const {retryAfterMs} = offered;
        const earliestMs = Number.isFinite(retryAfterMs)
          ? retryAfterMs
          : MAX_RETRY_DELAY_MS;
        return settle(this.#overloaded(req, earliestMs, estimate));
      }
      if (req.latencyGoalAt !== undefined) this.#startReviews();
      // The limit may have risen since the last slot became free.
      this.#dispatch();
    });
  }

  #orderOf(req: Req): SchedulingParams {
    const {team, priority, deadlineAt, latencyGoalAt, workKind} = req;
    const openingMs = workKind === undefined ? 0 : this.#openingMs;
    return {
      team,
      priority,
      deadlineMs: deadlineAt,
      latencyGoalMs: latencyGoalAt,
      costMs: this.#times.expectedMs(workKind) + openingMs,
    };
  }

  /** Refuses queued requests once they are not expected to be in time. */
  #startReviews(): void {
    if (this.#isReviewing || this.#queue.size === 0) return;
    this.#isReviewing = true;
    startTimer(this.#options.clock, REVIEW_PERIOD_MS, () => {
      this.#isReviewing = false;
      for (const {req, settle} of this.#queue.takeHopeless()) {
        settle(this.#expired(req));
      }
      this.#startReviews();
    });
  }

  /** Takes an idle connection or opens one; `#running` already counts it. */
  async #open(req: Req, waitedMs: number): Promise<SlotResult<C>> {
    const {clock, source} = this.#options;
    const startedAt = clock.now();
    const endReservation = req.opensTransaction
      ? this.#reservations.tryReserve(req.team)
      : undefined;
    if (req.opensTransaction && endReservation === undefined) {
      this.#freeSlot();
      return this.#tooManyTransactions(req);
    }
    try {
      const connection = await source.take(req);
      const tookMs = clock.now() - startedAt;
      this.#openingMs += OPENING_SMOOTHING * (tookMs - this.#openingMs);
      if (!req.cancelled.aborted && !this.#closed) {
        const slot = this.#createSlot(
          req,
          connection,
          waitedMs,
          endReservation,
        );
        return {kind: 'granted', slot};
      }
      endReservation?.();
      this.returnConnection(connection);
      this.#freeSlot();
      return req.cancelled.aborted ? CANCELLED_RESULT : this.#left();
    } catch (err) {
      endReservation?.();
      this.#freeSlot();
      const reason = err instanceof TargetError ? err.message : String(err);
      return this.#unavailable(`can't be reached: ${reason}`);
    }
  }

  #createSlot(
    {workKind}: Req,
    connection: C,
    waitedMs: number,
    endReservation: (() => void) | undefined,
  ): Slot<C> {
    const startedAt = this.#options.clock.now();
    let pinned = false;
    let released = false;
    return {
      connection,
      waitedMs,
      pin: () => {
        if (pinned || released) return;
        pinned = true;
        this.#pinned++;
        this.#freeSlot();
      },
      release: () => {
        if (released) return;
        released = true;
        endReservation?.();
        this.returnConnection(connection);
        if (pinned) {
          this.#pinned--;
          return this.#dispatch();
        }
        this.#times.record(workKind, this.#options.clock.now() - startedAt);
        this.#freeSlot();
      },
    };
  }

  /** True if one more open transaction may reserve its connection. */
  get mayPin(): boolean {
    return this.#pinned < this.#reservations.limit;
  }

  /** Keeps a connection as idle if it can be reused, or else closes it. */
  protected returnConnection(connection: C): void {
    const fits = this.connections < this.#options.connectionLimit() + 1;
    const clean = connection.usable && connection.transaction === 'idle';
    if (!clean || !fits || this.#closed) return connection.close();
    this.#options.source.add(connection);
  }

  #freeSlot(): void {
    this.#running--;
    this.#dispatch();
  }

  #dispatch(): void {
    while (this.#queue.size > 0 && this.#hasFreeSlot) {
      const taken = this.#queue.take();
      if (taken === undefined) return;
      if (taken.kind === 'expired') {
        taken.item.settle(this.#expired(taken.item.req));
        continue;
      }
      this.#running++;
      const {req, queuedAt, settle} = taken.item;
      const waitedMs = this.#options.clock.now() - queuedAt;
      void this.#open(req, waitedMs).then(settle);
    }
  }

  /** Refuses a request that was queued and can't run in time any more. */
  #expired(req: Req): SlotResult<C> {
    const order = this.#orderOf(req);
    const estimate = this.#queue.estimate(order);
    const isGoalKnown = req.latencyGoalAt !== undefined;
    const earliestMs = isGoalKnown ? estimate.waitMs : this.#times.averageMs;
    return this.#overloaded(req, earliestMs, estimate);
  }

  #overloaded(
    req: Req,
    earliestMs: number,
    estimate: WaitEstimate,
  ): SlotResult<C> {
    const message = `the queue for ${this.#options.spec.id} is longer than the deadline allows`;
    const mustSpace = req.latencyGoalAt !== undefined && !req.isTentative;
    const retryAfterMs = mustSpace
      ? this.#spaceRetry(
          `priority ${req.priority}`,
          earliestMs,
          slotsFor(estimate) / this.#orderOf(req).costMs,
        )
      : earliestMs;
    return {
      kind: 'refused',
      verdict: notRun('overloaded', message, Math.ceil(retryAfterMs)),
      estimate,
    };
  }

  #tooManyTransactions(req: Req): SlotResult<C> {
    const freeMs = this.#reservations.nextFreeMs(req.team);
    const message = `${this.#options.spec.id} has as many open transactions as its connections allow`;
    const retryAfterMs = this.#spaceRetry(
      `transactions of ${req.team}`,
      freeMs,
      1 / freeMs,
    );
    return {
      kind: 'refused',
      verdict: notRun('overloaded', message, retryAfterMs),
    };
  }

  /** Spreads the retries of callers that were refused for the same reason. */
  #spaceRetry(cause: string, earliestMs: number, ratePerMs: number): number {
    const known = this.#retrySpacings.get(cause);
    const spacing = known ?? new RetrySpacing(this.#options.clock);
    if (known === undefined) this.#retrySpacings.set(cause, spacing);
    return spacing.nextDelayMs(earliestMs, 1_000 * ratePerMs);
  }

  #left(): SlotResult<C> {
    return this.#unavailable('is no longer in the group');
  }

  #unavailable(reason: string): SlotResult<C> {
    const message = `database ${this.#options.spec.id} ${reason}`;
    return {
      kind: 'refused',
      verdict: notRun('targetUnavailable', message, UNAVAILABLE_RETRY_MS),
    };
  }
}

/** The slots that more urgent work is expected to leave for a priority. */
function slotsFor({concurrency, arrivingMs, waitMs}: WaitEstimate): number {
  const taken = waitMs > 0 ? arrivingMs / waitMs : 0;
  return Math.max(concurrency / FLOOR_DISPATCH_INTERVAL, concurrency - taken);
}
