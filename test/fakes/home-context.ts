/** The context of a home of group `claims` on a node in `hobart`. */
import {Leadership} from '../../src/groups/leadership.js';
import type {PrimaryClaim} from '../../src/groups/primary-rights.js';
import type {HomeContext} from '../../src/home/home-context.js';
import type {HomeMetrics} from '../../src/home/home-metrics.js';
import {OpenTransactions} from '../../src/home/open-transactions.js';
import {WriteGate} from '../../src/home/write-gate.js';
import type {Clock} from '../../src/infra/clock.js';
import {PositionCertificates} from '../../src/routing/certificates.js';
import {createLogger} from '../../src/telemetry/log.js';

/** A claim to the primary that remains valid. */
export const VALID_CLAIM: PrimaryClaim = {isValid: true, begin: () => () => {}};

const NO_METRICS: HomeMetrics = {
  recordFailoverAttempt: () => {},
  recordDrainingStatement: () => {},
  recordUnacknowledgedCommit: () => {},
  recordEvacuationRefusal: () => {},
  recordQueueWait: () => {},
  recordRefusal: () => {},
};

/** Holds the right to the primary and has no databases, unless `rest` says so. */
export function createHomeContext(
  clock: Clock,
  rest: Partial<HomeContext> = {},
): HomeContext {
  return {
    clock,
    log: createLogger('silent'),
    group: 'claims',
    dataCentre: 'hobart',
    members: new Map(),
    leadership: new Leadership(),
    certificates: new PositionCertificates(),
    right: {isHeld: true, claim: () => VALID_CLAIM},
    copyAgeMs: () => 0,
    transactions: new OpenTransactions({
      clock,
      maxIdleMs: () => 1_000,
      rollBack: async () => {},
    }),
    gate: new WriteGate({clock, openTransactions: () => 0}),
    primaryRetryMs: () => 500,
    metrics: NO_METRICS,
    drainNoticeOf: () => undefined,
    drainMs: 7_000,
    evacuations: {useOf: () => 'open', find: () => undefined},
    ...rest,
  };
}
