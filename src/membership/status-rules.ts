/** Rules by which the status of a VM changes over time. */

import type {MemberEntry} from './member-entry.js';
import type {MemberIdentity, MemberStatus} from './member.js';

/** Inputs of {@link resolveStatus}. */
export interface StatusInputs {
  /** Whether the node had recent contact with a majority of the VMs. */
  readonly hasMajorityContact: boolean;
  /** Time since the VM last answered any node. */
  readonly lastContactAgeMs: number;
  /** Time that a suspected VM has to refute before it counts as dead. */
  readonly suspicionMs: number;
}

/** The status of a VM after time has passed. */
export function resolveStatus(
  {identity, isDoubtful, statusAgeMs}: MemberEntry,
  inputs: StatusInputs,
): MemberStatus {
  const {status} = identity;
  if (status !== 'suspect' && status !== 'dead') return status;
  // Detected without a majority, which this node has again: discard it, and
  // let new probes decide.
  if (inputs.hasMajorityContact && isDoubtful) return 'alive';
  // It answered some node after the status was set, so it needn't refute it.
  if (inputs.lastContactAgeMs < statusAgeMs) return 'alive';
  return statusAgeMs >= inputs.suspicionMs ? 'dead' : status;
}

/** Whether a death report concerns an incarnation that is already suspected. */
export function isRedundantDeath(
  next: MemberIdentity,
  current: MemberIdentity,
): boolean {
  return (
    next.status === 'dead' &&
    current.status === 'suspect' &&
    next.incarnation === current.incarnation
  );
}
