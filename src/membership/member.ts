/** Member types, their precedence rules and checks of received values. */

import type {VmRecord} from '../infra/vm-list.js';

/** Status that a node holds of a VM. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** Identity and status of one process on a VM. */
export interface MemberIdentity {
  /** Random for each start of the process. */
  readonly instance: string;
  /** Incremented by the process itself to refute reports about it. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** Read-only view of one VM. */
export interface Member extends Omit<VmRecord, 'state'> {
  readonly status: MemberStatus;
  /** Whether the platform's list contains the VM. */
  readonly listed: boolean;
}

/** A change of one VM as sent between nodes. */
export interface MemberDelta extends MemberIdentity {
  readonly id: string;
  /** Present if the VM is not listed, so that the receiver may not know it. */
  readonly record?: VmRecord;
  /** Set if the sender had no recent contact to a majority: it may be at fault. */
  readonly doubtful?: true;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  // Final for the process that announced it, even once it has ended.
  leaving: 3,
};

/** Whether `next` has precedence over `current`: by incarnation, then by status. */
export function supersedes(
  next: MemberIdentity,
  current: MemberIdentity,
): boolean {
  if (next.incarnation !== current.incarnation) {
    return next.incarnation > current.incarnation;
  }
  return STATUS_RANK[next.status] > STATUS_RANK[current.status];
}

/** Whether a value received from a peer is a well-formed delta. */
export function isMemberDelta(value: unknown): value is MemberDelta {
  if (typeof value !== 'object' || value === null) return false;
  const delta = value as Partial<MemberDelta>;
  return typeof delta.id === 'string' && isMemberIdentity(value);
}

/** Whether a value received from a peer is a well-formed identity. */
export function isMemberIdentity(value: unknown): value is MemberIdentity {
  if (typeof value !== 'object' || value === null) return false;
  const identity = value as Partial<MemberIdentity>;
  return (
    typeof identity.instance === 'string' &&
    Number.isSafeInteger(identity.incarnation) &&
    Object.hasOwn(STATUS_RANK, String(identity.status))
  );
}

/** Whether a value is a well-formed record of the platform's list. */
export function isVmRecord(value: unknown): value is VmRecord {
  if (typeof value !== 'object' || value === null) return false;
  const record = value as Partial<VmRecord>;
  return (
    typeof record.id === 'string' &&
    typeof record.host === 'string' &&
    typeof record.dataCentre === 'string' &&
    Number.isInteger(record.peerPort) &&
    Number.isInteger(record.adminPort) &&
    (record.state === 'live' || record.state === 'leaving')
  );
}
