/** Notices a connection that has gone silent. */

import type {Clock} from '../platform/clock.js';

/** How often a connection is looked at and, if idle, pinged. */
export const HEARTBEAT_INTERVAL_MS = 1_000;

/** Intervals without a byte after which a connection counts as silent. */
export const SILENT_INTERVALS = 3;

/** What the monitor may do to the connection. */
export interface MonitoredConnection {
  /** Sends a heartbeat. Called when nothing was sent for an interval. */
  sendHeartbeat(): void;
  /** Called once, when the connection has been silent for too long. */
  onSilent(): void;
}

/**
 * Counts intervals rather than comparing times: a process that was paused has
 * missed no interval, so it reads what has arrived before it decides.
 */
export class SilenceMonitor {
  readonly #clock: Clock;
  readonly #connection: MonitoredConnection;
  #received = false;
  #sent = false;
  #silentIntervals = 0;

  constructor(clock: Clock, connection: MonitoredConnection) {
    this.#clock = clock;
    this.#connection = connection;
  }

  /** Notes that bytes arrived. */
  noteReceived(): void {
    this.#received = true;
  }

  /** Notes that a frame was sent. */
  noteSent(): void {
    this.#sent = true;
  }

  /** Watches until `signal` aborts or the connection is silent. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
      if (signal.aborted) return;
      this.#silentIntervals = this.#received ? 0 : this.#silentIntervals + 1;
      if (this.#silentIntervals >= SILENT_INTERVALS) {
        this.#connection.onSilent();
        return;
      }
      if (!this.#sent || !this.#received) this.#connection.sendHeartbeat();
      this.#received = false;
      this.#sent = false;
    }
  }
}
