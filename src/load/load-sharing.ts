/**
 * Reports this node's work at its groups' databases to the other nodes that send
 * to them, and keeps what they report.
 */
import type {Clock} from '../infra/clock.js';
import {runAtTicks} from '../infra/timer.js';
import type {PeerAddress, PeerCaller, PeerHandler} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import {
  decodeReport,
  encodeReport,
  LOAD_METHOD,
  type LoadReport,
} from './report-codec.js';
import {needsReport, REPORT_PERIOD_MS, type SentReport} from './report-need.js';
import {ReportedLoads} from './reported-loads.js';
import type {DatabaseLoad, GroupSharing, LoadMetrics} from './types.js';

/** A report that takes longer is out of date, and the next one is due. */
const REPORT_TIMEOUT_MS = 400;

/** A group and this node's work at its databases. */
export interface GroupWork {
  readonly group: string;
  /** The databases at which this node has work. */
  readonly loads: readonly DatabaseLoad[];
}

/** Dependencies of {@link LoadSharing}. */
export interface LoadSharingOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly peers: PeerCaller;
  readonly metrics: LoadMetrics;
  /** Random for each start of this process. */
  readonly instance: string;
  /** Returns this node's work at the groups that it serves. */
  readonly work: () => Iterable<GroupWork>;
  /** Returns the other nodes that send to a group's databases. */
  readonly otherSenders: (group: string) => readonly PeerAddress[];
  /** Returns whether a node's reports count, and this is its current process. */
  readonly isCurrent: (node: string, instance: string) => boolean;
}

/**
 * Exchanges load reports with the other senders of each group.
 *
 * @example
 * const sharing = new LoadSharing(options);
 * void sharing.run(signal);
 * const {load} = sharing.of('claims');
 */
export class LoadSharing {
  readonly #options: LoadSharingOptions;
  readonly #groups = new Map<string, ReportedLoads>();
  readonly #sent = new Map<string, SentReport>();
  /** Nodes that have not answered the last report, by group. */
  readonly #pending = new Set<string>();

  constructor(options: LoadSharingOptions) {
    this.#options = options;
  }

  /** The handler of the peer method. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [LOAD_METHOD, async (body, {from}) => this.#receive(from, body)],
    ]);
  }

  /** Returns what this node shares with the other senders of a group. */
  of(group: string): GroupSharing {
    return {
      load: this.#loadsOf(group),
      recordPassedOn: () => this.#options.metrics.recordPassedOn(group),
    };
  }

  /** Reports this node's work until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await runAtTicks(this.#options.clock, REPORT_PERIOD_MS, signal, () => {
      for (const {group, loads} of this.#options.work())
        this.#report(group, loads);
    });
  }

  #loadsOf(group: string): ReportedLoads {
    const {clock, isCurrent} = this.#options;
    const known = this.#groups.get(group);
    if (known !== undefined) return known;
    const loads = new ReportedLoads({clock, isCurrent});
    this.#groups.set(group, loads);
    return loads;
  }

  #receive(from: string, body: unknown): boolean {
    const {log, metrics} = this.#options;
    const report = decodeReport(body);
    const isAccepted =
      report !== undefined && this.#loadsOf(report.group).record(from, report);
    metrics.recordLoadReport(isAccepted ? 'accepted' : 'ignored');
    if (!isAccepted) {
      log.info('loadReportIgnored', {
        from,
        group: report?.group,
        instance: report?.instance,
        sequence: report?.sequence,
        isMalformed: report === undefined,
      });
    }
    return isAccepted;
  }

  #report(group: string, loads: readonly DatabaseLoad[]): void {
    const {clock, instance, otherSenders} = this.#options;
    const now = clock.now();
    if (!needsReport(loads, this.#sent.get(group), now)) return;
    this.#sent.set(group, {at: now, loads});
    const sequence = Math.round(now);
    const report: LoadReport = {group, instance, sequence, loads};
    for (const sender of otherSenders(group)) void this.#send(sender, report);
  }

  async #send(to: PeerAddress, report: LoadReport): Promise<void> {
    const {peers, metrics, log} = this.#options;
    const key = `${to.id}\n${report.group}`;
    // A node that does not answer gets no second report meanwhile.
    if (this.#pending.has(key)) return;
    this.#pending.add(key);
    try {
      await peers.call(to, LOAD_METHOD, encodeReport(report), {
        timeoutMs: REPORT_TIMEOUT_MS,
      });
      metrics.recordLoadReport('sent');
    } catch (err) {
      metrics.recordLoadReport('notDelivered');
      log.info('loadReportNotDelivered', {
        to: to.id,
        group: report.group,
        message: String(err),
      });
    } finally {
      this.#pending.delete(key);
    }
  }
}
