/** A primary's side of replication. */
import type {Position} from '../../src/session/position.js';
import type {GroupMember} from './member.js';
import {
  HEARTBEAT_MS,
  MAX_BATCH_ENTRIES,
  type PeerState,
  type PullAnswer,
} from './replication-messages.js';

/** A database's role and term, for its peers. */
export function peerState(member: GroupMember): PeerState {
  return {role: member.role, term: member.term, orderer: member.fencedBy};
}

/** The entries after `previous`, waiting up to a heartbeat for one. */
export async function answerPull(
  member: GroupMember,
  previous: Position,
): Promise<PullAnswer> {
  const {term} = member;
  const deadlineMs = performance.now() + HEARTBEAT_MS;
  while (hasNothingNew(member, previous)) {
    const remainingMs = deadlineMs - performance.now();
    if (remainingMs <= 0) break;
    await member.changed.wait(remainingMs);
  }
  if (member.role !== 'primary') {
    return {kind: 'notPrimary', term: member.term};
  }
  if (term !== member.term || !member.log.holds(previous)) {
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

function hasNothingNew(member: GroupMember, previous: Position): boolean {
  return (
    member.role === 'primary' &&
    member.log.length === previous.offset &&
    member.log.holds(previous)
  );
}
