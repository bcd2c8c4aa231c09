/** The mutable membership entry of one VM. */

import type {PeerAddress} from '../peers/types.js';
import type {VmRecord} from '../infra/vm-list.js';
import type {
  Member,
  MemberDelta,
  MemberIdentity,
  MemberStatus,
} from './member.js';

/** Whether a VM is, never was or no longer is on the platform's list. */
export type Listing = 'unlisted' | 'listed' | 'removed';

/** State that `Members` keeps of one VM. */
export interface MemberEntry {
  record: VmRecord;
  identity: MemberIdentity;
  listing: Listing;
  /**
   * Whether the status was set without recent contact to a majority of the
   * VMs, so that the fault may lie with the node that reported it.
   */
  isDoubtful: boolean;
  /**
   * Time since the last change of status or removal from the list, without
   * pauses of this node.
   */
  statusAgeMs: number;
}

/** Creates the entry of a VM that no node has reported on yet. */
export function createMemberEntry(
  record: VmRecord,
  listing: Listing,
): MemberEntry {
  const identity = {instance: '', incarnation: 0, status: 'alive'} as const;
  return {record, identity, listing, isDoubtful: false, statusAgeMs: 0};
}

/** Whether a VM may receive work. */
export function isLive({status}: {readonly status: MemberStatus}): boolean {
  return status === 'alive' || status === 'suspect';
}

/** The address at which a VM's node accepts peer connections. */
export function toPeerAddress(vm: Member): PeerAddress {
  return {id: vm.id, host: vm.host, port: vm.peerPort};
}

/**
 * The read-only view of a VM. A VM that the platform's list marks as leaving,
 * or no longer contains, counts as leaving unless it is dead.
 */
export function toMember({record, identity, listing}: MemberEntry): Member {
  const {state, ...fields} = record;
  const isRemovedByPlatform = state === 'leaving' || listing === 'removed';
  const status =
    isRemovedByPlatform && identity.status !== 'dead'
      ? 'leaving'
      : identity.status;
  return {...fields, status, listed: listing === 'listed'};
}

/** The membership change of a VM as sent to other nodes. */
export function toDelta(vm: MemberEntry): MemberDelta {
  const {record, identity, listing, isDoubtful} = vm;
  return {
    id: record.id,
    ...identity,
    ...(listing === 'unlisted' ? {record} : {}),
    ...(isDoubtful ? {doubtful: true} : {}),
  };
}
