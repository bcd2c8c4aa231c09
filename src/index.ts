/**
 * The library: the proxy's coordination parts, to be embedded in a program of
 * one's own. All durations are in milliseconds. Parts take their time, chance
 * and platform as ports, so that they run under virtual time.
 *
 * @module
 */

/** Ports of time and chance, and the machine's own. */
export {
  SystemClock,
  SystemRandom,
  type Clock,
  type Random,
} from './infra/clock.js';

/** The port to the platform's key-value service; calls throw `StoreError`. */
export {
  StoreError,
  type Store,
  type StoredValue,
  type StoreFailureKind,
  type SwapResult,
  type WatchEvent,
  type WatchItem,
} from './infra/store.js';

/** The adapter to a store that speaks the etcd v3 JSON gateway. */
export {EtcdStore, type EtcdStoreOptions} from './infra/etcd-store.js';
export {StoreRefusalError, WatchCompactedError} from './infra/etcd-errors.js';

/** The platform's list of VMs. */
export {VM_LIST_KEY, type VmRecord} from './infra/vm-list.js';

/** Team budgets over all VMs together: rates in statements a second. */
export {BudgetService} from './admission/budget-service.js';
export type {
  Admission,
  BudgetConfigPort,
  BudgetDeps,
  BudgetLimits,
  BudgetMessage,
  BudgetOptions,
  BudgetPeers,
  BudgetReply,
  BudgetStatus,
  NodeRef,
  Share,
  StandingPort,
} from './admission/types.js';
export {WHOLE_UNITS} from './admission/share.js';

/** The bucket and the queue that the budgets and homes are made of. */
export {TokenBucket, type BucketSize} from './admission/token-bucket.js';
export {
  FairQueue,
  type FairQueueOptions,
  type OfferResult,
  type TakenItem,
  type WorkClass,
  type SchedulingParams,
} from './admission/fair-queue.js';

/** Positions in a database group's log, ordered by term first. */
export {
  comparePositions,
  covers,
  formatPosition,
  laterPosition,
  parsePosition,
  START_POSITION,
  type Position,
} from './session/position.js';

/** Signed tokens that carry read-your-writes from one proxy to another. */
export {
  decodeToken,
  MAX_TOKEN_CHARS,
  MAX_TOKEN_GROUPS,
  SessionToken,
  type DecodedToken,
} from './session/token.js';
export {TokenSigner} from './session/token-signer.js';

/** The choice of a database for a read. */
export {
  chooseTarget,
  DEFAULT_MAX_WAIT_MS,
  providerOf,
  type ProviderWeights,
  type ReadCandidate,
  type ReadChoice,
  type ReadChoiceInput,
} from './routing/replica-choice.js';
export {
  isReadCurrent,
  ReadRouter,
  type ReadRequest,
  type ReadRouterOptions,
} from './routing/read-router.js';
export {createClassifier, type Classifier} from './routing/classify.js';
export type {Classification, Statement} from './routing/statement.js';

/** Database groups, and the port to one database. */
export {
  GROUPS_KEY,
  type ConfirmResult,
  type DatabaseControl,
  type DatabaseSpec,
  type DatabaseStatus,
  type FenceResult,
  type GroupSpec,
  type Provider,
} from './groups/types.js';
export {
  groupViewOf,
  highestTerm,
  majorityOf,
  type DatabaseView,
  type GroupView,
} from './groups/group-view.js';

/** When a committed write may be acknowledged. */
export {
  AckTracker,
  ackVerdict,
  type AckMode,
  type AckResult,
  type AckTrackerOptions,
  type CommittedWrite,
} from './groups/acknowledgement.js';

/** What is known of a group, and who orders a failover when. */
export {
  GroupMonitor,
  type MonitorOptions,
  type StatusReport,
} from './groups/monitor.js';
export type {
  ReachabilityPort,
  FailoverCause,
  FailoverNeed,
  Suspicion,
} from './groups/failover-need.js';
export {
  FailoverAgent,
  type FailoverAgentOptions,
  type FailoverEvent,
} from './groups/failover-agent.js';

/** One failover, and a planned switch of the primary. */
export {
  orderFailover,
  type FailoverOrder,
  type FailoverResult,
  type FailoverStep,
} from './groups/failover.js';
export {
  switchPrimary,
  type SwitchOrder,
  type SwitchResult,
  type WriteHold,
} from './groups/planned-switch.js';

/** The fleet: live VMs, documents passed between them, and the standing. */
export {
  Coordination,
  createCoordination,
  parseVmList,
  type CoordinationOptions,
} from './membership/coordination.js';
export {Members, type MembersOptions} from './membership/members.js';
export type {Member, MemberDelta, MemberStatus} from './membership/member.js';
export {
  DEFAULT_STANDING_LIMIT_MS,
  StandingMonitor,
  type Standing,
  type StandingOptions,
} from './membership/standing.js';
export {
  Documents,
  type DocumentDigest,
  type DocumentListener,
  type DocumentVersion,
} from './rollout/documents.js';
export type {PeerAddress, PeerCaller, PeerHandler} from './peers/types.js';

/** The outcome of a request, and whether it may have run. */
export {
  DONE,
  mayHaveRun,
  notRun,
  type Done,
  type MayHaveRun,
  type NotRun,
  type RefusalReason,
  type UncertainReason,
  type Verdict,
} from './verdict/verdict.js';
export {toErrorFields, type ErrorFields} from './verdict/sqlstate.js';
export {
  isRetryable,
  RetryBudget,
  retryNotRun,
  type RetryOptions,
} from './verdict/retry.js';

/** The operators' configuration; edits throw `DocumentError`, `TableError`. */
export {
  CONFIG_KEY,
  ConfigDocument,
  type ConfigState,
  type EditRecord,
  type RowEdit,
} from './rollout/config-document.js';
export {
  decodeDocument,
  DocumentError,
  encodeDocument,
} from './rollout/config-codec.js';
export {
  ConfigEditor,
  readConfig,
  type ConfigEditorOptions,
  type EditIdentity,
  type StoredConfig,
} from './rollout/editor.js';
export {
  describeEditResult,
  type EditConflict,
  type EditResult,
} from './rollout/edit-result.js';
export type {Change} from './rollout/changes.js';
export {TableError, type TableFault} from './rollout/faults.js';
export {
  createTable,
  type GroupRow,
  type RowRef,
  type Table,
  type TableRow,
  type TeamRow,
} from './rollout/table.js';
export {
  createKey,
  verifyKey,
  type KeyCheck,
  type KeyRecord,
  type NewKey,
} from './rollout/keys.js';

/** Service levels of several nodes from their merged histograms. */
export {
  collectBurnReport,
  type BurnReport,
  type BurnReportInput,
  type BurnRow,
  type BurnWindow,
  type VmStatements,
} from './telemetry/burn-report.js';
export type {ServiceObjective} from './telemetry/service-level.js';

/** Reads proved fresh by log positions, and where they are placed. */
export {PositionCertificates} from './routing/certificates.js';
export {
  placeRead,
  type PlacementCandidate,
  type PlacementInput,
} from './routing/read-placement.js';
export {
  chooseNearbyReader,
  type NearbyReaderInput,
  type ReaderCandidate,
} from './routing/nearby-reader.js';

/** Who leads a database group, from answers and announcements. */
export {Leadership} from './groups/leadership.js';

/** Team budgets by leased tokens, bounded over sliding windows. */
export {BudgetHolder, type BudgetHolderOptions} from './quota/budget-holder.js';
export {
  BudgetOwner,
  type BudgetOwnerOptions,
  type BudgetRole,
} from './quota/budget-owner.js';
export {WindowBudget, type WindowBudgetOptions} from './quota/window-budget.js';
export type {
  QuotaDecision,
  RateLimits,
  TokenReply,
  TokenRequest,
} from './quota/types.js';

/** Which nodes follow the store, and what they hand on. */
export {chooseWatchers, orderWatchers} from './fleet/watchers.js';
export {FeedRelay} from './fleet/feed-relay.js';
export {StoreFeed, type FeedChange} from './fleet/store-feed.js';
export type {FleetMember} from './fleet/member-record.js';

/** Whether a database or node answers, judged from the work itself. */
export {PassiveHealth} from './membership/passive-health.js';
