/** Ports and peer messages of the team budgets. Messages are plain data. */

import type {Clock, Random} from '../infra/clock.js';
import type {Store} from '../infra/store.js';

/** A team's rate limit over all VMs together. */
export interface BudgetLimits {
  /** Statements a second. */
  readonly rate: number;
  /** Statements admitted at once; the capacity of the token bucket. */
  readonly burst: number;
}

/**
 * The escrowed part of a budget that one node holds, in units. A whole budget
 * has `WHOLE_UNITS` of rate and of burst.
 */
export interface Share {
  readonly rate: number;
  readonly burst: number;
}

/** A running process on a VM. A restarted process has a new instance id. */
export interface NodeRef {
  readonly vm: string;
  readonly instance: string;
}

/**
 * Whether this node's copy of the configuration may be trusted.
 *
 * - `current`: the store was reached within the standing limit.
 * - `outage`: it was not, but most VMs are in contact: the store is down.
 * - `cutOff`: neither; this node may be missing configuration changes.
 */
export type Standing = 'current' | 'outage' | 'cutOff';

/** Provides the standing of this node's configuration. */
export interface StandingPort {
  standing(): Standing;
}

/** The configuration document in the version that this node has received. */
export interface BudgetConfigPort {
  /** Returns a team's limits; undefined if the table has no row for it. */
  limits(team: string): BudgetLimits | undefined;
  /**
   * Instances that may never spend again. An edit reaches every node within
   * the standing limit, or that node's standing is `cutOff`.
   */
  retired(): ReadonlySet<string>;
  /** Adds an instance to `retired` through the store; may throw. */
  retire(instance: string): Promise<void>;
}

/** Calls the peer method `budget` of other nodes. */
export interface BudgetPeers {
  /** Rejects if no answer comes within `timeoutMs`. */
  call(
    instanceOrVm: string,
    message: BudgetMessage,
    timeoutMs: number,
  ): Promise<BudgetReply>;
  /** Returns the nodes that membership considers live. */
  live(): readonly NodeRef[];
  /**
   * True if an instance has certainly ended: its VM is dead, or runs another
   * instance. An instance that merely does not answer may still run.
   */
  isGone(instance: string): boolean;
  /** Ranks the live nodes by rendezvous hashing of `key`, best first. */
  homeOrder(key: string): readonly NodeRef[];
}

/**
 * A holder reports its share and its demand to the owner.
 *
 * After sending this message the holder ignores replies to earlier ones, so
 * the owner may return whatever it granted beyond `held` to its pool.
 */
export interface SyncMessage {
  readonly kind: 'sync';
  readonly team: string;
  readonly holder: string;
  /** Rises with each message of this holder about this team. */
  readonly seq: number;
  /** The epoch of the owner that granted `held`; 0 when nothing is held. */
  readonly heldEpoch: number;
  /** The highest ownership epoch that the holder knows. */
  readonly knownEpoch: number;
  readonly held: Share;
  /** Tokens that the holder keeps. */
  readonly tokens: number;
  /** Tokens returned with the part of the share that the holder gave up. */
  readonly tokensBack: number;
  /** Statements a second that callers send to this node. */
  readonly demand: number;
  /** Statements blocked until the reply arrives. */
  readonly waiting: number;
  /** True if the holder keeps a standby reserve even without demand. */
  readonly isStandby: boolean;
}

/**
 * The owner requests tokens from a holder and a share of at most `target`.
 * This is a hint: the holder decides and replies with what it still holds.
 */
export interface RecallMessage {
  readonly kind: 'recall';
  readonly team: string;
  readonly epoch: number;
  readonly owner: string;
  readonly target: Share;
  /** Tokens that other nodes need. */
  readonly tokens: number;
}

/** An owner that shuts down announces its successor. */
export interface MovedMessage {
  readonly kind: 'moved';
  readonly team: string;
  readonly epoch: number;
  readonly owner: string;
}

/**
 * A node that can't reach the owner requests that another holder spend tokens
 * of its own share for statements blocked at the sender. The reply is valid for
 * `SPEND_VALID_MS`.
 */
export interface SpendMessage {
  readonly kind: 'spend';
  readonly team: string;
  /** Statements blocked at the sender. */
  readonly count: number;
}

/** A request of the peer method `budget`. */
export type BudgetMessage =
  SyncMessage | RecallMessage | MovedMessage | SpendMessage;

/** The owner's reply to a sync. */
export interface GrantReply {
  readonly kind: 'granted';
  readonly epoch: number;
  readonly owner: string;
  readonly seq: number;
  /** The holder's share from now on. */
  readonly share: Share;
  /** Tokens granted together with the added part of the share. */
  readonly tokens: number;
  /** The share that the holder should shrink to as it spends its tokens. */
  readonly target: Share;
  /** Minimum time until the holder may request tokens again. */
  readonly askAgainMs: number;
  /** Expected time until the owner has a token. */
  readonly retryAfterMs: number;
  /** Whether a holder that may have tokens did not answer the owner in time. */
  readonly isUncertain?: boolean;
}

/** A reply of the peer method `budget`. */
export type BudgetReply =
  | GrantReply
  /** This node does not own the budget; `owner` is the owner it knows of. */
  | {
      readonly kind: 'notOwner';
      readonly epoch: number;
      readonly owner: string | undefined;
    }
  /** The ledger does not cover the holder's claim; the holder must drop it. */
  | {readonly kind: 'void'; readonly epoch: number; readonly owner: string}
  /** The message is older than one already processed. */
  | {readonly kind: 'stale'}
  /** The reply to a recall: what the holder holds now. */
  | {readonly kind: 'returned'; readonly sync: SyncMessage}
  /** This node can't serve the message now, e.g. its own sync is pending. */
  | {readonly kind: 'busy'}
  | {readonly kind: 'accepted'}
  /** The reply to a spend: the number of tokens spent for the sender. */
  | {readonly kind: 'spent'; readonly count: number};

/** The admission decision for one statement. */
export type Admission =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'refused';
      /** `unavailable`: no owner could confirm that the team is over its rate. */
      readonly reason: 'overRate' | 'unavailable';
      readonly retryAfterMs: number;
    };

/** The state of one budget at this node, for operators. */
export interface BudgetStatus {
  readonly team: string;
  readonly epoch: number;
  readonly owner: string | undefined;
  readonly share: Share;
  readonly tokens: number;
}

/** Settings of the team budgets. */
export interface BudgetOptions {
  /** Time without contact after which a node's standing is `cutOff`. */
  readonly standingLimitMs: number;
  /** Maximum relative rate error of a node's monotonic clock. */
  readonly clockErrorRatio: number;
}

/** Dependencies of a node's budgets. */
export interface BudgetDeps {
  readonly self: NodeRef;
  readonly clock: Clock;
  readonly random: Random;
  readonly store: Store;
  readonly peers: BudgetPeers;
  readonly standing: StandingPort;
  readonly config: BudgetConfigPort;
  readonly options?: Partial<BudgetOptions>;
}
