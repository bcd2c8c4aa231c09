/** Shuts a node down in phases, without interrupting a request. */
import type {Clock} from '../infra/clock.js';
import type {Logger} from '../telemetry/log.js';
import {notRun, type NotRun} from '../verdict/verdict.js';

/**
 * Time until a load balancer sends no new callers: two failed readiness probes,
 * one second apart.
 */
const DEREGISTRATION_MS = 2_600;
/** Limits `DEREGISTRATION_MS` to this part of the grace period. */
const DEREGISTRATION_RATIO = 0.45;
/** End of the grace period that is reserved for the last answers. */
const RESERVE_MS = 500;
/** Limits `RESERVE_MS` to this part of the grace period. */
const RESERVE_RATIO = 1 / 6;
/** Part of `RESERVE_MS` in which the last answers are sent. */
const LAST_ANSWERS_RATIO = 0.4;
const POLL_MS = 50;
/**
 * A session is idle once it has been between requests for this long. It exceeds
 * the round trip to a caller, whose next request may be on its way.
 */
const IDLE_MS = 50;

/**
 * The phases, in their order:
 *
 * - `serving`: no shutdown was requested.
 * - `deregistering`: the node is not ready; it serves all that arrives.
 * - `closing`: idle sessions are closed, all others are served.
 * - `refusing`: new statements and sessions are refused, open transactions are
 *   rolled back, and running statements finish.
 * - `ending`: running statements are answered as unknown, sessions are closed.
 */
export const SHUTDOWN_PHASES = [
  'serving',
  'deregistering',
  'closing',
  'refusing',
  'ending',
] as const;

export type ShutdownPhase = (typeof SHUTDOWN_PHASES)[number];

/**
 * When each phase begins, in milliseconds after the request to shut down.
 *
 * Statements start in the first half of the grace period only, so that each has
 * the second half to finish.
 *
 * @example
 * planShutdown(6_000); // {closing: 2_600, refusing: 3_000, ending: 5_500}
 */
export function planShutdown(graceMs: number): {
  readonly closing: number;
  readonly refusing: number;
  readonly ending: number;
} {
  return {
    closing: Math.min(DEREGISTRATION_MS, graceMs * DEREGISTRATION_RATIO),
    refusing: graceMs / 2,
    ending: graceMs - reserveMs(graceMs),
  };
}

function reserveMs(graceMs: number): number {
  return Math.min(RESERVE_MS, graceMs * RESERVE_RATIO);
}

/** The sessions of this node's callers, as the shutdown controls them. */
export interface CallerSessions {
  /** Number of sessions whose last answer was not sent yet. */
  readonly open: number;
  /**
   * Closes the sessions that have been between requests for `idleMs`, without
   * a transaction, a part of a request or unsent output.
   */
  closeIdle(idleMs: number): void;
  /** Rolls back the open transactions that run no statement. */
  rollBackTransactions(): void;
  /** Answers running statements as unknown, and closes all sessions after. */
  giveUp(): void;
  /** Stops accepting callers and closes every session at once. */
  close(): void;
}

/** The homes on this node, as the shutdown controls them. */
export interface ServedHomes {
  /** Number of running statements and open transactions. */
  readonly active: number;
  /** Refuses new work; open transactions continue. */
  refuseNew(): void;
  /** Rolls back open transactions, and refuses their further statements. */
  endTransactions(): void;
}

/** Dependencies of a shutdown. */
export interface ShutdownOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Time between the request to shut down and the kill of the process. */
  readonly graceMs: number;
  readonly homes: ServedHomes;
  /** Tells the other nodes that this one gets no new work. */
  readonly announce: () => Promise<void>;
  /** Stops the node; nothing is running any more. */
  readonly stop: () => Promise<void>;
}

const REFUSAL = notRun(
  'shuttingDown',
  'this node shuts down; go on at another one',
  0,
);

/**
 * The one shutdown of a node, however often and however it is requested.
 *
 * @example
 * const shutdown = new Shutdown(options);
 * await shutdown.begin(callers, 'SIGTERM');
 */
export class Shutdown {
  readonly #options: ShutdownOptions;
  #phase: ShutdownPhase = 'serving';
  #finished: Promise<void> | undefined;
  #refused = 0;

  constructor(options: ShutdownOptions) {
    this.#options = options;
  }

  get phase(): ShutdownPhase {
    return this.#phase;
  }

  /** Refuses a new statement or session; undefined if it is to be served. */
  refuse(): NotRun | undefined {
    if (this.#phase !== 'refusing' && this.#phase !== 'ending')
      return undefined;
    this.#refused += 1;
    return REFUSAL;
  }

  /**
   * Shuts the node down. Further calls join the first one.
   *
   * @param trigger what requested it, for the log
   */
  begin(callers: CallerSessions, trigger: string): Promise<void> {
    const {log} = this.#options;
    if (this.#finished !== undefined) {
      log.info('shutdownJoined', {trigger, phase: this.#phase});
      return this.#finished;
    }
    log.info('shutdownStarted', {trigger, sessions: callers.open});
    this.#phase = 'deregistering';
    this.#finished = this.#run(callers);
    return this.#finished;
  }

  async #run(callers: CallerSessions): Promise<void> {
    const {clock, log, graceMs, homes, stop} = this.#options;
    const startedAt = clock.now();
    const plan = planShutdown(graceMs);
    void this.#leave();
    for (;;) {
      const elapsedMs = clock.now() - startedAt;
      if (elapsedMs >= plan.ending) break;
      if (elapsedMs >= plan.refusing) {
        this.#enter('refusing', callers);
        callers.rollBackTransactions();
        homes.refuseNew();
        homes.endTransactions();
      }
      if (elapsedMs >= plan.closing) {
        if (this.#phase === 'deregistering') this.#enter('closing', callers);
        callers.closeIdle(IDLE_MS);
        if (callers.open === 0 && homes.active === 0) break;
      }
      await clock.sleep(POLL_MS);
    }
    this.#enter('ending', callers);
    const givenUp = callers.open;
    await this.#sendLastAnswers(callers);
    const cut = callers.open;
    callers.close();
    await stop();
    log.info('shutdownFinished', {
      tookMs: Math.round(clock.now() - startedAt),
      refused: this.#refused,
      givenUp,
      cut,
    });
  }

  /** The homes serve until the other nodes know where else to go. */
  async #leave(): Promise<void> {
    const {log, homes, announce} = this.#options;
    await announce().catch((err: unknown) =>
      log.warn('leavingNotAnnounced', {message: String(err)}),
    );
    homes.refuseNew();
  }

  async #sendLastAnswers(callers: CallerSessions): Promise<void> {
    const {clock, graceMs} = this.#options;
    const until = clock.now() + reserveMs(graceMs) * LAST_ANSWERS_RATIO;
    callers.giveUp();
    while (callers.open > 0 && clock.now() < until) await clock.sleep(POLL_MS);
  }

  #enter(phase: ShutdownPhase, callers: CallerSessions): void {
    if (this.#phase === phase) return;
    this.#phase = phase;
    this.#options.log.info('shutdownPhase', {
      phase,
      sessions: callers.open,
      active: this.#options.homes.active,
    });
  }
}
