/** What databases of a group send one another, as JSON over HTTP. */
import type {EntryBatch} from './member.js';

/** The path at which a database tells its role and term. */
export const STATE_PATH = '/replication/state';
/** The path at which a primary gives its log entries. */
export const ENTRIES_PATH = '/replication/entries';

/** How long a primary waits for an entry before it answers with none. */
export const HEARTBEAT_MS = 50;

/** Entries sent in one answer. */
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
  /** The logs differ at the position asked for; ask for an earlier one. */
  | {readonly kind: 'mismatch'; readonly term: number}
  | {readonly kind: 'notPrimary'; readonly term: number};
