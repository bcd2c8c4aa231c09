/**
 * A pace that rises with good answers and is halved at failures: by one for each
 * good answer until the first slow or failed one, then by one for each round.
 *
 * Load pattern: a database returns after a crash with cold caches, flaps, or
 * fails part of its requests, while several nodes have work queued for it. At
 * its normal limit each of them would send at once what it can't yet do in time.
 * With one statement at a time it would be idle most of the time. The limit
 * therefore follows the database's answers, and an answer is all it needs to
 * rise, so that it waits for no timer.
 */
import {normalLimit} from '../admission/concurrency-limit.js';
import type {Pace, PaceEvent, PaceFailure, PaceReason} from './pace.js';

/** An answer that takes longer than this multiple is slow. */
const SLOW_RATIO = 2;
/** Part of the level last sustained at which a database starts again. */
const RESTART_RATIO = 0.5;
/** Part of the normal limit at which a node starts that takes over. */
const TAKE_OVER_RATIO = 0.25;
const DECREASE_RATIO = 0.5;
/** Weight of the newest outcome in the part of the requests that fail. */
const FAILURE_SMOOTHING = 1 / 16;
/**
 * Part of failed requests from which a database is paced. One failure among
 * sixteen answers stays below; statements may fail by their own fault.
 */
const MIN_FAILURE_RATIO = 0.1;
/** Lost requests are few, as each occupies its slot until it times out. */
const LOST_WEIGHT = 2;

/** The state of a pace in force. */
interface Period {
  readonly reason: PaceReason;
  level: number;
  /** Answers in a row within the expected time since the last failure. */
  goodInRow: number;
  /** Whether an answer was slow or failed, so that the limit may be near. */
  hasSlowed: boolean;
  /** Answers since the normal limit was reached. */
  atNormal: number;
  /** Outcomes to come of statements that were sent before the last decrease. */
  sentBefore: number;
  answers: number;
  failures: number;
}

/**
 * Paces one database. Performs no input or output and reads no clock.
 *
 * @example
 * const pace = new AdditivePace(event => log.info(event.kind, {...event}));
 * pace.recordReturn('started');
 * pace.limit(4); // 1
 */
export class AdditivePace implements Pace {
  readonly #onEvent: (event: PaceEvent) => void;
  readonly #onLimit: (limit: number | undefined) => void;
  #period: Period | undefined;
  /** Slots of the database as of the last query of the limit. */
  #slots = 1;
  /** The level of the last full round of good answers; undefined for none. */
  #sustained: number | undefined;
  #failureRatio = 0;

  /**
   * `onEvent` is called as a pace begins and ends, `onLimit` with each new limit
   * and with undefined as the pace ends.
   */
  constructor(
    onEvent: (event: PaceEvent) => void = () => {},
    onLimit: (limit: number | undefined) => void = () => {},
  ) {
    this.#onEvent = onEvent;
    this.#onLimit = onLimit;
  }

  limit(slots: number): number {
    this.#slots = slots;
    const normal = normalLimit(slots);
    const level = this.#period?.level ?? normal;
    return Math.max(1, Math.floor(Math.min(level, normal)));
  }

  recordReturn(reason: Exclude<PaceReason, 'failing'>): void {
    const start = this.#startLevel(reason);
    if (reason === 'started') this.#sustained = undefined;
    // A database that returns again does not gain from the level it left.
    if (this.#period === undefined) this.#begin(reason, start);
    else this.#decreaseTo(this.#period, Math.min(this.#period.level, start));
  }

  recordAnswer(tookMs: number, expectedMs: number): void {
    this.#recordOutcome(0);
    const period = this.#period;
    if (period === undefined) return;
    period.answers += 1;
    period.sentBefore = Math.max(0, period.sentBefore - 1);
    const normal = normalLimit(this.#slots);
    if (period.level >= normal) {
      period.atNormal += 1;
      this.#sustained = normal;
      if (period.atNormal >= this.#slots) this.#end(period);
      return;
    }
    const isSlow = tookMs > expectedMs * SLOW_RATIO;
    if (isSlow) {
      period.hasSlowed = true;
      return;
    }
    period.goodInRow += 1;
    const running = Math.floor(period.level);
    if (period.goodInRow >= running) this.#sustained = period.level;
    const rise = period.hasSlowed ? 1 / running : 1;
    this.#setLevel(period, Math.min(normal, period.level + rise));
  }

  recordFailure(kind: PaceFailure): void {
    this.#recordOutcome(kind === 'lost' ? LOST_WEIGHT : 1);
    const period = this.#period;
    if (period === undefined) {
      if (this.#failureRatio < MIN_FAILURE_RATIO) return;
      this.#begin('failing', normalLimit(this.#slots) * DECREASE_RATIO);
      return;
    }
    period.failures += 1;
    if (period.sentBefore > 0) {
      period.sentBefore -= 1;
      return;
    }
    this.#decreaseTo(period, period.level * DECREASE_RATIO);
  }

  #startLevel(reason: Exclude<PaceReason, 'failing'>): number {
    if (reason === 'started') return 1;
    if (reason === 'takenOver')
      return normalLimit(this.#slots) * TAKE_OVER_RATIO;
    if (reason === 'promoted' && this.#period === undefined)
      return normalLimit(this.#slots) * RESTART_RATIO;
    return (this.#sustained ?? 1) * RESTART_RATIO;
  }

  #begin(reason: PaceReason, level: number): void {
    const counts = {goodInRow: 0, atNormal: 0, answers: 0, failures: 0};
    const start = Math.max(1, level);
    const state = {level: start, hasSlowed: reason === 'failing'};
    this.#period = {reason, ...state, sentBefore: 0, ...counts};
    this.#report('began', this.#period);
    this.#onLimit(Math.floor(start));
  }

  /** Lowers the level; the failures of what was sent before count once. */
  #decreaseTo(period: Period, level: number): void {
    period.sentBefore = Math.floor(period.level) - 1;
    this.#setLevel(period, Math.max(1, level));
    period.hasSlowed = true;
    period.goodInRow = 0;
    period.atNormal = 0;
  }

  #end(period: Period): void {
    this.#period = undefined;
    this.#failureRatio = 0;
    this.#report('ended', period);
    this.#onLimit(undefined);
  }

  #setLevel(period: Period, level: number): void {
    const isNews = Math.floor(level) !== Math.floor(period.level);
    period.level = level;
    if (isNews) this.#onLimit(Math.floor(level));
  }

  #report(kind: PaceEvent['kind'], period: Period): void {
    const {reason, answers, failures} = period;
    const limit = this.limit(this.#slots);
    this.#onEvent({kind, reason, limit, answers, failures});
  }

  #recordOutcome(failed: number): void {
    this.#failureRatio += FAILURE_SMOOTHING * (failed - this.#failureRatio);
  }
}
