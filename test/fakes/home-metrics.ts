/** Metrics of a home for tests that look at none. */
import type {HomeMetrics} from '../../src/home/home-metrics.js';

/** Records nothing. */
export const NO_HOME_METRICS: HomeMetrics = {
  recordFailoverAttempt: () => {},
  recordDrainingStatement: () => {},
  recordUnacknowledgedCommit: () => {},
  recordEvacuationRefusal: () => {},
  recordQueueWait: () => {},
  recordRefusal: () => {},
};
