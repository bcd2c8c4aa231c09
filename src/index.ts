/**
 * The library: the proxy's coordination components, for embedding in other
 * programs. All durations are in milliseconds. Components receive the clock, the
 * random source and the platform as ports, so that they run under virtual time.
 *
 * @module
 */

/** Ports for time and randomness, and their system implementations. */
export {
  SystemClock,
  SystemRandom,
  type Clock,
  type Random,
} from './infra/clock.js';

/** Port to the platform's key-value service; calls throw `StoreError`. */
export {
  StoreError,
  type Store,
  type StoredValue,
  type StoreFailureKind,
  type SwapResult,
  type WatchEvent,
  type WatchItem,
} from './infra/store.js';

/** Store adapter for the etcd v3 JSON gateway. */
export {EtcdStore, type EtcdStoreOptions} from './infra/etcd-store.js';
export {StoreRefusalError, WatchCompactedError} from './infra/etcd-errors.js';

/** The platform's list of VMs. */
export {VM_LIST_KEY, type VmRecord} from './infra/vm-list.js';

/** Team budgets across all VMs, in statements per second. */
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

/** Token bucket and fair queue, as budgets and homes use them. */
export {TokenBucket, type BucketSize} from './admission/token-bucket.js';
export {
  FairQueue,
  type FairQueueOptions,
  type OfferResult,
  type TakenItem,
  type SchedulingParams,
} from './admission/fair-queue.js';

/** Positions in a database group's log, ordered by term, then by offset. */
export {
  comparePositions,
  covers,
  formatPosition,
  laterPosition,
  parsePosition,
  START_POSITION,
  type Position,
} from './session/position.js';

/** Signed session tokens, for read-your-writes across proxies. */
export {
  decodeToken,
  MAX_TOKEN_CHARS,
  MAX_TOKEN_GROUPS,
  SessionToken,
  type DecodedToken,
} from './session/token.js';
export {TokenSigner} from './session/token-signer.js';

/** Choice of the database that serves a read. */
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

/** Database groups, and the port that controls one database. */
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

/** Acknowledgement of committed writes. */
export {
  AckTracker,
  ackVerdict,
  type AckMode,
  type AckResult,
  type AckTrackerOptions,
  type CommittedWrite,
} from './groups/acknowledgement.js';

/** Monitoring of a group's databases, and the decision to fail over. */
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

/** Failover, and the planned switch of the primary. */
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

/** Fleet membership, replicated documents, and the standing of a node. */
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

/** Verdict: the outcome of a request, and whether it may have run. */
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

/** Burn report: service levels from the merged histograms of several nodes. */
export {
  collectBurnReport,
  type BurnReport,
  type BurnReportInput,
  type BurnRow,
  type BurnWindow,
  type VmStatements,
} from './telemetry/burn-report.js';
export type {ServiceObjective} from './telemetry/service-level.js';

/** Freshness certificates by log position, and the placement of reads. */
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

/** Tracks a group's leader from database responses and announcements. */
export {Leadership} from './groups/leadership.js';

/** Team budgets by leased tokens, limited over sliding windows. */
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

/** Watchers: nodes that read the store's change feed and relay it to others. */
export {chooseWatchers, orderWatchers} from './fleet/watchers.js';
export {FeedRelay} from './fleet/feed-relay.js';
export {StoreFeed, type FeedChange} from './fleet/store-feed.js';
export type {FleetMember} from './fleet/member-record.js';

/** Passive health checks of databases and nodes, from their regular requests. */
export {PassiveHealth} from './membership/passive-health.js';
