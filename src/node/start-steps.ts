/** Times at which the steps of a node's start ended. */

/** Steps of the start; some run concurrently. */
export type StartStep =
  /** The program is loaded and compiled. */
  | 'load'
  /** The settings file is read. */
  | 'settings'
  /** The store's keys are read and the configuration is in force. */
  | 'feed'
  /** The port for other nodes is open. */
  | 'peerPort'
  /** Other nodes were asked for what a restored store may have lost. */
  | 'learn';

/**
 * Records when each step ended, in milliseconds since the process started.
 *
 * @example
 * const steps = new StartSteps(() => performance.now());
 * steps.end('load');
 * log.info('nodeStarted', steps.fields()); // {loadMs: 87}
 */
export class StartSteps {
  readonly #now: () => number;
  readonly #endedAt = new Map<StartStep, number>();

  /** @param now Milliseconds since the process started. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Records the end of a step; later calls for the same step are ignored. */
  end(step: StartStep): void {
    if (!this.#endedAt.has(step)) this.#endedAt.set(step, this.#now());
  }

  /** Milliseconds since the process started. */
  sinceStartMs(): number {
    return Math.round(this.#now());
  }

  /** The recorded times as fields of a log line. */
  fields(): Readonly<Record<string, number>> {
    return Object.fromEntries(
      [...this.#endedAt].map(([step, ms]) => [`${step}Ms`, Math.round(ms)]),
    );
  }
}
