/** Port to the metrics that a home records. */
import type {FailoverAttemptOutcome} from '../groups/failover-coordinator.js';
import type {RefusalReason} from '../verdict/verdict.js';
import type {Priority} from './types.js';

/** Counts what a home decides about a group. */
export interface HomeMetrics {
  /** Counts an attempt to replace a group's primary. */
  recordFailoverAttempt(group: string, outcome: FailoverAttemptOutcome): void;
  /**
   * Records that a statement was sent to a draining database, `ageMs` after
   * this node learnt that it drains.
   */
  recordDrainingStatement(group: string, ageMs: number): void;
  /**
   * Counts a commit that was not acknowledged, since the right to the primary
   * had ended before its answer arrived.
   */
  recordUnacknowledgedCommit(group: string): void;
  /** Counts a statement refused because a data centre is evacuated. */
  recordEvacuationRefusal(group: string, dataCentre: string): void;
  /** Records the time that a statement waited for a slot. */
  recordQueueWait(priority: Priority, waitedMs: number): void;
  /** Counts a statement that was refused without having run. */
  recordRefusal(priority: Priority, reason: RefusalReason): void;
}
