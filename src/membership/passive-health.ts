/**
 * Passive health check of a database or node, based on its regular requests.
 *
 * When an endpoint or the connection to it stops responding under steady load,
 * no answer arrives for longer than a statement takes. That is noticed long
 * before the first statement reaches its timeout.
 */
import type {Clock} from '../infra/clock.js';

/** Time without an answer to outstanding requests after which it is suspected. */
const MAX_SILENCE_MS = 250;
/** A failure within this time after an answer is ignored. */
const RECENT_ANSWER_MS = 100;
/** Backoff after the first failure, doubled with each further one. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/** Tracks outstanding requests, answers and failures of one endpoint. */
export class PassiveHealth {
  readonly #clock: Clock;
  readonly #startedAt = new Set<{readonly at: number}>();
  #lastAnswerAt: number;
  #failures = 0;
  #retryAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAnswerAt = clock.now();
  }

  /** Number of consecutive failures since the last answer. */
  get failures(): number {
    return this.#failures;
  }

  /** Whether new work may be sent. */
  get isReachable(): boolean {
    return this.#clock.now() >= this.#retryAt && this.silentMs < MAX_SILENCE_MS;
  }

  /** Whether an active probe is needed. */
  get needsProbe(): boolean {
    return this.#failures > 0 || this.silentMs >= MAX_SILENCE_MS;
  }

  /** Time without an answer to outstanding requests; 0 without such requests. */
  get silentMs(): number {
    const [oldest] = this.#startedAt;
    if (oldest === undefined) return 0;
    return this.#clock.now() - Math.max(oldest.at, this.#lastAnswerAt);
  }

  /** Records a sent request; call the returned function when the request ends. */
  trackRequest(): () => void {
    const started = {at: this.#clock.now()};
    this.#startedAt.add(started);
    return () => this.#startedAt.delete(started);
  }

  /** Records an answer of any kind. */
  recordAnswer(): void {
    this.#lastAnswerAt = this.#clock.now();
    this.#failures = 0;
    this.#retryAt = -Infinity;
  }

  /** Records a refused or lost connection or a request without an answer. */
  recordFailure(): void {
    // One failure among recent answers doesn't mean that the endpoint is down.
    if (this.#clock.now() - this.#lastAnswerAt < RECENT_ANSWER_MS) return;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** this.#failures,
    );
    this.#failures += 1;
    this.#retryAt = this.#clock.now() + backoffMs;
  }
}
