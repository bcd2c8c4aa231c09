/** Monitors the databases of one group by polling their status. */
import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import {groupViewOf, type DatabaseView, type GroupView} from './group-view.js';
import type {DatabaseControl, DatabaseStatus} from './types.js';

const STATUS_PERIOD_MS = 200;
/** Shorter period while the group is degraded, to detect a failure sooner. */
const DEGRADED_PERIOD_MS = 50;
/**
 * Silence of the primary at a replica from which the group counts as degraded.
 */
const DEGRADED_SILENCE_MS = 300;
const STATUS_TIMEOUT_MS = 500;
const REFRESH_TIMEOUT_MS = 30;
/**
 * A request that exceeds its timeout by more than this shows that this process
 * was stalled; it says nothing about the database.
 */
const STALL_THRESHOLD_MS = 200;

/** A status received from a database. */
export interface StatusReport {
  readonly databaseId: string;
  readonly status: DatabaseStatus;
  /** When the request was sent, on the node's monotonic clock. */
  readonly requestedAt: number;
  /** When the answer arrived, on the same clock. */
  readonly receivedAt: number;
}

/** Options of {@link GroupMonitor}. */
export interface MonitorOptions {
  readonly clock: Clock;
  readonly groupName: string;
  readonly controls: readonly DatabaseControl[];
  readonly periodMs?: number;
  readonly timeoutMs?: number;
}

/** A database and the result of its last polls. */
interface MonitoredDatabase {
  readonly control: DatabaseControl;
  status: DatabaseStatus | undefined;
  /** When the request for `status` was sent. */
  requestedAt: number;
  /** When the first of the unanswered requests was sent. */
  unansweredSince: number | undefined;
}

/**
 * Polls each database of a group for its status, in one task per database.
 *
 * @example
 * const monitor = new GroupMonitor({clock, groupName: 'claims', controls});
 * monitor.start();
 * const {primaryId} = monitor.current();
 */
export class GroupMonitor {
  readonly #clock: Clock;
  readonly #groupName: string;
  readonly #periodMs: number;
  readonly #timeoutMs: number;
  readonly #monitored: readonly MonitoredDatabase[];
  readonly #changeListeners = new Set<(view: GroupView) => void>();
  readonly #reportListeners = new Set<(report: StatusReport) => void>();
  readonly #stopping = new AbortController();
  #lastPrimary = '';

  constructor(options: MonitorOptions) {
    this.#clock = options.clock;
    this.#groupName = options.groupName;
    this.#periodMs = options.periodMs ?? STATUS_PERIOD_MS;
    this.#timeoutMs = options.timeoutMs ?? STATUS_TIMEOUT_MS;
    this.#monitored = options.controls.map(control => ({
      control,
      status: undefined,
      requestedAt: -Infinity,
      unansweredSince: undefined,
    }));
  }

  /** Starts polling; {@link stop} ends it. */
  start(): void {
    for (const monitored of this.#monitored)
      void this.#pollUntilStopped(monitored);
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Returns the current view of the group. */
  current(): GroupView {
    return groupViewOf(
      this.#groupName,
      this.#monitored.map(monitored => this.#viewOf(monitored)),
    );
  }

  /**
   * Polls all databases at once. Returns the view of the group once all have
   * answered, or after `waitMs`.
   */
  async refreshNow(waitMs = REFRESH_TIMEOUT_MS): Promise<GroupView> {
    const answered = new AbortController();
    const all = Promise.all(
      this.#monitored.map(monitored => this.#poll(monitored)),
    );
    const waited = this.#clock.sleep(waitMs, answered.signal);
    await Promise.race([all, waited]);
    answered.abort();
    return this.current();
  }

  /**
   * Calls `listener` whenever the term or the primary changes. Returns a
   * function that removes the listener.
   */
  onChange(listener: (view: GroupView) => void): () => void {
    this.#changeListeners.add(listener);
    return () => this.#changeListeners.delete(listener);
  }

  /** Calls `listener` with each status; returns a function that removes it. */
  onReport(listener: (report: StatusReport) => void): () => void {
    this.#reportListeners.add(listener);
    return () => this.#reportListeners.delete(listener);
  }

  async #pollUntilStopped(monitored: MonitoredDatabase): Promise<void> {
    const {signal} = this.#stopping;
    while (!signal.aborted) {
      await this.#poll(monitored);
      const periodMs = this.isDegraded ? DEGRADED_PERIOD_MS : this.#periodMs;
      await sleepToTick(this.#clock, periodMs, signal);
    }
  }

  /**
   * Whether a database does not answer or a replica receives nothing from its
   * primary, so that a failover may be needed or in progress.
   */
  get isDegraded(): boolean {
    return this.#monitored.some(
      ({status, unansweredSince}) =>
        unansweredSince !== undefined ||
        (status !== undefined && status.upstreamSilentMs > DEGRADED_SILENCE_MS),
    );
  }

  async #poll(monitored: MonitoredDatabase): Promise<void> {
    const requestedAt = this.#clock.now();
    let status: DatabaseStatus;
    try {
      status = await monitored.control.status(this.#timeoutMs);
    } catch {
      this.#recordFailure(monitored, requestedAt);
      return;
    }
    this.#recordStatus(monitored, status, requestedAt);
  }

  #recordFailure(monitored: MonitoredDatabase, requestedAt: number): void {
    const elapsedMs = this.#clock.now() - requestedAt;
    const processStalled = elapsedMs > this.#timeoutMs + STALL_THRESHOLD_MS;
    monitored.unansweredSince = processStalled
      ? undefined
      : (monitored.unansweredSince ?? requestedAt);
  }

  #recordStatus(
    monitored: MonitoredDatabase,
    status: DatabaseStatus,
    requestedAt: number,
  ): void {
    if (requestedAt < monitored.requestedAt) return;
    monitored.status = status;
    monitored.requestedAt = requestedAt;
    monitored.unansweredSince = undefined;
    const databaseId = monitored.control.spec.id;
    const receivedAt = this.#clock.now();
    for (const listener of this.#reportListeners) {
      listener({
        databaseId,
        status,
        requestedAt,
        receivedAt,
      });
    }
    this.#notifyChange();
  }

  #notifyChange(): void {
    const view = this.current();
    const primary = `${view.term} ${view.primaryId}`;
    if (primary === this.#lastPrimary) return;
    this.#lastPrimary = primary;
    for (const listener of this.#changeListeners) listener(view);
  }

  #viewOf({
    control,
    status,
    requestedAt,
    unansweredSince,
  }: MonitoredDatabase): DatabaseView {
    const now = this.#clock.now();
    return {
      spec: control.spec,
      status,
      ageMs: now - requestedAt,
      reachable: status !== undefined && unansweredSince === undefined,
      unreachableMs: unansweredSince === undefined ? 0 : now - unansweredSince,
    };
  }
}
