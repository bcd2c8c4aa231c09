/** Replication messages between the databases of a group, JSON over HTTP. */
import type {EntryBatch} from './member.js';

/** Path that returns the role and term of a database. */
export const STATE_PATH = '/replication/state';
/** Path that returns the log entries of a primary. */
export const ENTRIES_PATH = '/replication/entries';

/** Maximum time a pull waits for an entry before it returns an empty batch. */
export const HEARTBEAT_MS = 50;

/** Maximum number of entries in one answer. */
export const MAX_BATCH_ENTRIES = 1000;

/** A database's role and term. */
export interface PeerState {
  readonly role: 'primary' | 'replica';
  readonly term: number;
  readonly orderer: string;
}

/** A primary's answer to a pull. */
export type PullAnswer =
  | ({readonly kind: 'entries'} & EntryBatch)
  /** The logs differ at the requested position; retry with an earlier one. */
  | {readonly kind: 'mismatch'; readonly term: number}
  | {readonly kind: 'notPrimary'; readonly term: number};
