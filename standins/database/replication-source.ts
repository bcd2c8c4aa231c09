/** Primary side of replication: serves its state and its log to peers. */
import type {Position} from '../../src/session/position.js';
import type {GroupMember} from './member.js';
import {
  HEARTBEAT_MS,
  MAX_BATCH_ENTRIES,
  type PeerState,
  type PullAnswer,
} from './replication-messages.js';

/** Returns the role and term of a database for its peers. */
export function readPeerState(member: GroupMember): PeerState {
  return {role: member.role, term: member.term, orderer: member.fencedBy};
}

/** Returns the entries after `previous`; waits up to a heartbeat for one. */
export async function servePull(
  member: GroupMember,
  previous: Position,
): Promise<PullAnswer> {
  const {term} = member;
  const deadlineMs = performance.now() + HEARTBEAT_MS;
  while (isCaughtUp(member, previous)) {
    const remainingMs = deadlineMs - performance.now();
    if (remainingMs <= 0) break;
    await member.changed.wait(remainingMs);
  }
  if (member.role !== 'primary') {
    return {kind: 'notPrimary', term: member.term};
  }
  if (term !== member.term || !member.log.contains(previous)) {
    return {kind: 'mismatch', term: member.term};
  }
  const nowMs = performance.now();
  const entries = member.log.after(previous.offset, MAX_BATCH_ENTRIES);
  return {
    kind: 'entries',
    term,
    orderer: member.fencedBy,
    previous,
    entries: entries.map(({committedMs, ...entry}) => ({
      ...entry,
      ageMs: nowMs - committedMs,
    })),
  };
}

function isCaughtUp(member: GroupMember, previous: Position): boolean {
  return (
    member.role === 'primary' &&
    member.log.length === previous.offset &&
    member.log.contains(previous)
  );
}
