/** Database groups as the platform lists them, and the port to one database. */
import type {Position} from '../session/position.js';

/** The provider that runs a database, in a migration from `old` to `new`. */
export type Provider = 'old' | 'new';

/** One database of a group. */
export interface DatabaseSpec {
  readonly id: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly provider: Provider;
  /** Statements that it executes concurrently. */
  readonly slots: number;
  /** Maximum number of connections from all VMs together. */
  readonly maxConnections: number;
}

/**
 * A database group: one primary and its replicas. Each promotion raises its
 * term.
 */
export interface GroupSpec {
  readonly name: string;
  readonly databases: readonly DatabaseSpec[];
}

/**
 * The store key that holds the platform's groups, a JSON array of GroupSpec.
 */
export const GROUPS_KEY = 'platform/groups';

/** The status that a database reports. */
export interface DatabaseStatus {
  readonly role: 'primary' | 'replica';
  /** The term (epoch) that this database follows or leads. */
  readonly term: number;
  /** The highest term that it was fenced at; it refuses work of older terms. */
  readonly fencedTerm: number;
  /** Id of the orderer that fenced it at `fencedTerm`. */
  readonly fencedBy: string;
  /** Position of the last log entry that it holds durably. */
  readonly received: Position;
  /** Position of the last log entry that its reads include. */
  readonly applied: Position;
  /** Milliseconds since it last received from its primary; 0 on a primary. */
  readonly upstreamSilentMs: number;
}

/** The answer to {@link DatabaseControl.fence}. */
export type FenceResult =
  | {readonly kind: 'fenced'; readonly status: DatabaseStatus}
  | {readonly kind: 'refused'; readonly fencedTerm: number};

/** The answer to {@link DatabaseControl.confirm}. */
export type ConfirmResult =
  | {readonly kind: 'confirmed'; readonly received: Position}
  | {readonly kind: 'fenced'; readonly fencedTerm: number}
  | {readonly kind: 'timeout'; readonly received: Position};

/**
 * Port to the control interface of one database. Calls reject with
 * `TargetError` if the database can't be reached or does not answer in time.
 */
export interface DatabaseControl {
  readonly spec: DatabaseSpec;
  status(timeoutMs: number): Promise<DatabaseStatus>;
  /**
   * Fences the database at `term` for `orderer`: it then refuses work and
   * confirmations of older terms. A term is granted to one orderer only, which
   * may repeat the call.
   */
  fence(term: number, orderer: string, timeoutMs: number): Promise<FenceResult>;
  /**
   * Makes the database primary of `term`. Returns false unless it is fenced at
   * exactly that term by the same orderer.
   */
  promote(term: number, orderer: string, timeoutMs: number): Promise<boolean>;
  /**
   * Waits until the database holds the log durably up to `position`, while it
   * follows `term` and is not fenced above it. Resolves with the reason if the
   * database is fenced or the timeout passes.
   */
  confirm(
    term: number,
    position: Position,
    timeoutMs: number,
  ): Promise<ConfirmResult>;
}
