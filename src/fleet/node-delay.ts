/** Measures this node's delay and marks its member record while it is slow. */
import type {Clock} from '../infra/clock.js';
import type {Logger} from '../telemetry/log.js';
import type {MemberLease} from './member-lease.js';
import {SlowNode} from './slow-node.js';

/** Samples are due with the checks of the home monitor, to wake up together. */
const SAMPLE_PERIOD_MS = 100;

/** Dependencies of {@link NodeDelay}. */
export interface NodeDelayOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly lease: Pick<MemberLease, 'setSlow'>;
}

/**
 * Samples how late timers fire on this node.
 *
 * @example
 * const delay = new NodeDelay({clock, log, lease});
 * void delay.run(signal);
 */
export class NodeDelay {
  readonly #options: NodeDelayOptions;
  readonly #state: SlowNode;

  constructor(options: NodeDelayOptions) {
    this.#options = options;
    this.#state = new SlowNode(options.clock);
  }

  /** Average delay, in milliseconds. */
  get delayMs(): number {
    return this.#state.delayMs;
  }

  get isSlow(): boolean {
    return this.#state.isSlow;
  }

  /** Samples the delay until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, log, lease} = this.#options;
    const state = this.#state;
    while (!signal.aborted) {
      const now = clock.now();
      const dueAt = (Math.floor(now / SAMPLE_PERIOD_MS) + 1) * SAMPLE_PERIOD_MS;
      await clock.sleep(dueAt - now, signal);
      if (signal.aborted || !state.recordDelay(clock.now() - dueAt)) continue;
      lease.setSlow(state.isSlow);
      log.warn(state.isSlow ? 'nodeMarkedSlow' : 'nodeNoLongerSlow', {
        delayMs: Math.round(state.delayMs),
      });
    }
  }
}
