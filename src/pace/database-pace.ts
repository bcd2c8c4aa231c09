/** The pace of one database with its log lines and its metric. */
import type {Logger} from '../telemetry/log.js';
import {AdditivePace} from './additive-pace.js';
import type {Pace, PaceEvent} from './pace.js';

/** Port to the metric of the paces in force. */
export interface PaceMetrics {
  /** Records the limit of a paced database; undefined if it is not paced. */
  recordPaceLimit(
    group: string,
    database: string,
    limit: number | undefined,
  ): void;
}

/** Options of {@link createDatabasePace}. */
export interface DatabasePaceOptions {
  readonly log: Logger;
  readonly metrics: PaceMetrics;
  readonly group: string;
  readonly database: string;
}

/**
 * Creates the pace of a database that logs as it begins and ends.
 *
 * @example
 * const pace = createDatabasePace({log, metrics, group: 'claims', database});
 * pace.recordReturn('started');
 */
export function createDatabasePace(options: DatabasePaceOptions): Pace {
  const {log, metrics, group, database} = options;
  return new AdditivePace(
    ({kind, ...inputs}: PaceEvent) => {
      log.info(kind === 'began' ? 'paceBegan' : 'paceEnded', {
        group,
        database,
        ...inputs,
      });
    },
    limit => metrics.recordPaceLimit(group, database, limit),
  );
}
