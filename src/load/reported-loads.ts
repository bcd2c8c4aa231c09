/**
 * Keeps what other nodes reported to have sent to one group's databases.
 *
 * Load pattern: the home and the readers of a group send to the same databases.
 * In a burst of long reads in one data centre its reader fills the replica there
 * and passes reads on to the home, to which that replica looks idle because its
 * own queue for it is empty. It sent them back: the most loaded database got 3.1
 * times the mean.
 */
import type {Clock} from '../infra/clock.js';
import type {LoadReport} from './report-codec.js';
import {MAX_REPORT_AGE_MS, weightAt} from './report-weight.js';
import type {DatabaseLoad, GroupLoad} from './types.js';

/**
 * Reports whose travel times are compared. A suspended machine's monotonic clock
 * may stop, so the reference must come from recent reports only.
 */
const COMPARED_REPORTS = 16;

/** Options of the loads reported for one group. */
export interface ReportedLoadsOptions {
  readonly clock: Clock;
  /**
   * Returns whether a node's reports count: it is a member that neither leaves
   * nor is silent, and this is its current process.
   */
  readonly isCurrent: (node: string, instance: string) => boolean;
}

interface Reporter {
  readonly instance: string;
  readonly sequence: number;
  /** When its last report was sent, on this node's clock. */
  readonly sentAt: number;
  /** Arrival less sequence of its latest reports, the newest last. */
  readonly offsets: readonly number[];
  readonly loads: ReadonlyMap<string, DatabaseLoad>;
}

/**
 * The last report of each node, weighted by its age.
 *
 * @example
 * const loads = new ReportedLoads({clock, isCurrent});
 * loads.record('front-3', report);
 * const waiting = pool.outstanding + loads.outstandingElsewhere('db-1');
 */
export class ReportedLoads implements GroupLoad {
  readonly #options: ReportedLoadsOptions;
  readonly #reporters = new Map<string, Reporter>();

  constructor(options: ReportedLoadsOptions) {
    this.#options = options;
  }

  /**
   * Records a node's report; returns false if it is ignored because it is not
   * the newest one of the node's current process.
   */
  record(node: string, report: LoadReport): boolean {
    const {clock, isCurrent} = this.#options;
    const {instance, sequence} = report;
    if (!isCurrent(node, instance)) return false;
    const last = this.#reporters.get(node);
    const known = last?.instance === instance ? last : undefined;
    if (known !== undefined && sequence <= known.sequence) return false;
    // Reports that were held back, by a pause of this process for instance,
    // arrive later after their sequence than others did.
    const offset = clock.now() - sequence;
    const offsets = [...(known?.offsets ?? []), offset].slice(
      -COMPARED_REPORTS,
    );
    this.#reporters.set(node, {
      instance,
      sequence,
      sentAt: sequence + Math.min(...offsets),
      offsets,
      loads: new Map(report.loads.map(load => [load.databaseId, load])),
    });
    return true;
  }

  outstandingElsewhere(databaseId: string): number {
    return this.#sum(databaseId, ({outstanding}) => outstanding);
  }

  workElsewhereMs(databaseId: string): number {
    return this.#sum(databaseId, load => load.outstanding * load.costMs);
  }

  costElsewhereMs(databaseId: string): number {
    const loads = [...this.#counted()].map(({loads}) => loads.get(databaseId));
    return Math.max(0, ...loads.map(load => load?.costMs ?? 0));
  }

  isUnreachableElsewhere(databaseId: string): boolean {
    for (const {loads} of this.#counted()) {
      if (loads.get(databaseId)?.concurrency === 0) return true;
    }
    return false;
  }

  ageMs(): number | undefined {
    const now = this.#options.clock.now();
    const ages = [...this.#counted()].map(({sentAt}) => now - sentAt);
    return ages.length === 0 ? undefined : Math.max(...ages);
  }

  #sum(databaseId: string, figure: (load: DatabaseLoad) => number): number {
    let sum = 0;
    for (const {loads, weight} of this.#counted()) {
      const load = loads.get(databaseId);
      if (load !== undefined) sum += figure(load) * weight;
    }
    return sum;
  }

  /** The reports that count; forgets the old ones of nodes that have left. */
  *#counted(): Iterable<Reporter & {readonly weight: number}> {
    const {clock, isCurrent} = this.#options;
    for (const [node, reporter] of this.#reporters) {
      const ageMs = clock.now() - reporter.sentAt;
      const isOld = ageMs >= MAX_REPORT_AGE_MS;
      const isKept = isCurrent(node, reporter.instance);
      if (isOld && !isKept) this.#reporters.delete(node);
      if (!isOld && isKept) yield {...reporter, weight: weightAt(ageMs)};
    }
  }
}
