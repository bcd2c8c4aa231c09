/** Detects connections on which nothing arrives any more. */

import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import type {FrameWriter} from './frame-writer.js';

/** Interval at which a connection is checked and, if idle, pinged. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** Consecutive intervals without data after which a connection is silent. */
export const MAX_SILENT_INTERVALS = 3;

/** Options of a {@link SilenceMonitor}. */
export interface SilenceMonitorOptions {
  readonly clock: Clock;
  readonly writer: FrameWriter;
  /** True on the client side; the server only answers heartbeats. */
  readonly sendsHeartbeats: boolean;
  /** Called once, when the connection has been silent for too long. */
  readonly onSilent: () => void;
}

/**
 * Reports a connection that received nothing for several intervals. It counts
 * intervals instead of comparing timestamps: no interval passes while the
 * process is paused, so after a pause it reads what arrived before it decides.
 */
export class SilenceMonitor {
  readonly #options: SilenceMonitorOptions;
  #received = false;
  #silentIntervals = 0;

  constructor(options: SilenceMonitorOptions) {
    this.#options = options;
  }

  /** Records that data arrived. */
  recordReceived(): void {
    this.#received = true;
  }

  /** Runs until `signal` aborts or the connection is silent. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, writer, sendsHeartbeats, onSilent} = this.#options;
    let framesSent = writer.framesSent;
    while (!signal.aborted) {
      await sleepToTick(clock, HEARTBEAT_INTERVAL_MS, signal);
      if (signal.aborted) return;
      this.#silentIntervals = this.#received ? 0 : this.#silentIntervals + 1;
      if (this.#silentIntervals >= MAX_SILENT_INTERVALS) return onSilent();
      const idle = !this.#received || writer.framesSent === framesSent;
      framesSent = writer.framesSent;
      this.#received = false;
      if (sendsHeartbeats && idle) writer.write({kind: 'ping'});
    }
  }
}
