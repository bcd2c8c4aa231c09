/** The state that the components of a certified home share. */
import type {EvacuationView} from '../catalog/evacuations.js';
import type {DrainNotice} from '../groups/drain-notice.js';
import type {Leadership} from '../groups/leadership.js';
import type {PrimaryClaim} from '../groups/primary-rights.js';
import type {Clock} from '../infra/clock.js';
import type {GroupSharing} from '../load/types.js';
import type {PositionCertificates} from '../routing/certificates.js';
import type {Logger} from '../telemetry/log.js';
import type {TeamConnection} from './team-connection.js';
import type {HomeMetrics} from './home-metrics.js';
import type {GroupMember} from './group-member.js';
import type {OpenTransactions} from './open-transactions.js';
import type {OpenTransaction} from './transaction-statements.js';
import type {WriteGate} from './write-gate.js';

/** This node's right to send work to the group's primary. */
export interface GroupRight {
  readonly isHeld: boolean;
  /** Returns a claim for one piece of work; undefined without the right. */
  claim(): PrimaryClaim | undefined;
}

/** Dependencies and state shared within one certified home. */
export interface HomeContext {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  readonly dataCentre: string;
  readonly members: ReadonlyMap<string, GroupMember>;
  readonly leadership: Leadership;
  readonly certificates: PositionCertificates;
  readonly right: GroupRight;
  /** Age of this node's copy of the store, which holds the latest orders. */
  readonly copyAgeMs: () => number;
  readonly transactions: OpenTransactions<TeamConnection, OpenTransaction>;
  readonly gate: WriteGate;
  /** Returns the retry delay while there is no primary, in milliseconds. */
  readonly primaryRetryMs: () => number;
  readonly metrics: HomeMetrics;
  /** Returns when this node learnt that a database drains, if it does. */
  readonly drainNoticeOf: (id: string) => DrainNotice | undefined;
  /** Time from a database's announcement until it may shut down. */
  readonly drainMs: number;
  readonly evacuations: EvacuationView;
  /** Load information of the group's other senders; undefined if not shared. */
  readonly sharing?: GroupSharing | undefined;
}
