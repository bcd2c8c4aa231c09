/** Database groups as the platform describes them, and the port to a database. */
import type {Position} from '../session/position.js';

/** Which side of a move a database belongs to. */
export type Provider = 'old' | 'new';

/** One database of a group. */
export interface DatabaseSpec {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly provider: Provider;
  /** Statements it executes at the same time. */
  readonly slots: number;
  /** Connections it accepts from all VMs together. */
  readonly maxConnections: number;
}

/** A database group: one primary and its replicas under a rising term. */
export interface GroupSpec {
  readonly name: string;
  readonly databases: readonly DatabaseSpec[];
}

/** The store key that holds the platform's groups, a JSON array of GroupSpec. */
export const GROUPS_KEY = 'platform/groups';

/** What a database says of itself. */
export interface DatabaseStatus {
  readonly role: 'primary' | 'replica';
  /** The term this database follows or leads. */
  readonly term: number;
  /** The highest term it was fenced at; work of older terms is refused. */
  readonly fencedTerm: number;
  /** Who fenced it at `fencedTerm`. */
  readonly fencedBy: string;
  /** The last log entry that it holds durably. */
  readonly received: Position;
  /** The last log entry that reads on it see. */
  readonly applied: Position;
  /** Milliseconds since it last heard from its primary; 0 on a primary. */
  readonly upstreamSilentMs: number;
}

/** The answer to a fence order. */
export type FenceResult =
  | {readonly kind: 'fenced'; readonly status: DatabaseStatus}
  | {readonly kind: 'refused'; readonly fencedTerm: number};

/** The answer to a confirmation. */
export type ConfirmResult =
  | {readonly kind: 'confirmed'; readonly received: Position}
  | {readonly kind: 'fenced'; readonly fencedTerm: number}
  | {readonly kind: 'timeout'; readonly received: Position};

/**
 * The control side of one database. Calls reject with `TargetError` when the
 * database can't be reached or does not answer within the timeout.
 */
export interface DatabaseControl {
  readonly spec: DatabaseSpec;
  status(timeoutMs: number): Promise<DatabaseStatus>;
  /**
   * Fences the database at `term` for `orderer`: from then on it refuses work
   * and confirmations of older terms. A term is granted to one orderer only;
   * the same orderer may repeat itself.
   */
  fence(term: number, orderer: string, timeoutMs: number): Promise<FenceResult>;
  /**
   * Makes the database primary of `term`. Refused unless it is fenced at
   * exactly that term by the same orderer.
   */
  promote(term: number, orderer: string, timeoutMs: number): Promise<boolean>;
  /**
   * Resolves when this database still follows `term`, unfenced above it, and
   * holds the log durably up to `position`; or says why it can't.
   */
  confirm(
    term: number,
    position: Position,
    timeoutMs: number,
  ): Promise<ConfirmResult>;
}
