/**
 * A connection pool for one database, with a queue that is fair to teams.
 * A slot is a connection together with the right to use it.
 */
import {ConcurrencyLimit} from '../admission/concurrency-limit.js';
import {FairQueue} from '../admission/fair-queue.js';
import type {DatabaseSpec} from '../groups/types.js';
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {Pace} from '../pace/pace.js';
import {
  TargetError,
  type TargetConnection,
  type TransactionStatus,
} from '../targets/types.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import {CANCELLED, type Priority} from './types.js';

/** Weight of the newest sample in the average statement time. */
const COST_SMOOTHING = 0.1;
const INITIAL_COST_MS = 2;
const UNAVAILABLE_RETRY_MS = 100;
/** Connections that open transactions must leave for other work. */
const UNPINNED_RESERVE = 2;

/** A request for a slot. */
export interface SlotRequest {
  readonly team: string;
  readonly priority: Priority;
  /** The caller's deadline, on the node's monotonic clock. */
  readonly deadlineAt: number;
  /** Aborts when the caller cancels the statement. */
  readonly cancelled: AbortSignal;
}

/** The outcome of a slot request. */
export type SlotResult<C = TargetConnection> =
  | {readonly kind: 'granted'; readonly slot: Slot<C>}
  | {readonly kind: 'refused'; readonly verdict: NotRun};

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
  readonly settle: (result: SlotResult<C>) => void;
}

/**
 * Grants slots of one database, urgent work first, fairly between teams.
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
  #running = 0;
  #pinned = 0;
  #costMs = INITIAL_COST_MS;
  #closed = false;

  constructor(options: ConnectionPoolOptions<C, Req>) {
    this.#options = options;
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
    return this.#costMs;
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
    if (this.#queue.size === 0 && this.#hasFreeSlot) {
      this.#running++;
      return this.#open(req);
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
    return new Promise(resolve => {
      const remainingMs = req.deadlineAt - clock.now();
      const stopTimer = startTimer(clock, remainingMs, () => {
        if (this.#queue.remove(waiter)) settle(this.#overloaded(this.#costMs));
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
      const waiter: Waiter<C, Req> = {req, settle};
      const offered = this.#queue.offer(waiter, {
        team: req.team,
        class: req.priority,
        deadlineMs: req.deadlineAt,
        costMs: this.#costMs,
      });
      if (offered.kind === 'refused') {
        return settle(this.#overloaded(offered.retryAfterMs));
      }
    });
  }

  /** Takes an idle connection or opens one; `#running` already counts it. */
  async #open(req: Req): Promise<SlotResult<C>> {
    try {
      const connection = await this.#options.source.take(req);
      if (!req.cancelled.aborted && !this.#closed) {
        return {kind: 'granted', slot: this.#createSlot(connection)};
      }
      this.returnConnection(connection);
      this.#freeSlot();
      return req.cancelled.aborted ? CANCELLED_RESULT : this.#left();
    } catch (err) {
      this.#freeSlot();
      const reason = err instanceof TargetError ? err.message : String(err);
      return this.#unavailable(`can't be reached: ${reason}`);
    }
  }

  #createSlot(connection: C): Slot<C> {
    const startedAt = this.#options.clock.now();
    let pinned = false;
    let released = false;
    return {
      connection,
      pin: () => {
        if (pinned || released) return;
        pinned = true;
        this.#pinned++;
        this.#freeSlot();
      },
      release: () => {
        if (released) return;
        released = true;
        this.returnConnection(connection);
        if (pinned) {
          this.#pinned--;
          return this.#dispatch();
        }
        this.#recordCost(this.#options.clock.now() - startedAt);
        this.#freeSlot();
      },
    };
  }

  /** True if one more open transaction may reserve its connection. */
  get mayPin(): boolean {
    const share = this.#options.connectionLimit();
    return this.#pinned < Math.max(1, share - UNPINNED_RESERVE);
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
        taken.item.settle(this.#overloaded(this.#costMs));
        continue;
      }
      this.#running++;
      const {req, settle} = taken.item;
      void this.#open(req).then(settle);
    }
  }

  #recordCost(elapsedMs: number): void {
    this.#costMs += COST_SMOOTHING * (elapsedMs - this.#costMs);
  }

  #overloaded(retryAfterMs: number): SlotResult<C> {
    const message = `the queue for ${this.#options.spec.id} is longer than the deadline allows`;
    return {
      kind: 'refused',
      verdict: notRun('overloaded', message, Math.ceil(retryAfterMs)),
    };
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
