/** How the status of a VM changes without a message from it. */

import type {KnownVm} from './known-vm.js';
import type {MemberIdentity, MemberStatus} from './member.js';

/** What a node knows when it looks at a VM again. */
export interface StatusEvidence {
  /** Whether the node hears a majority of the VMs. */
  readonly isCredible: boolean;
  /** How long ago the VM answered any node. */
  readonly heardAgeMs: number;
  /** How long a suspicion waits for its refutation. */
  readonly suspicionMs: number;
}

/** What has become of a VM by the passing of time. */
export function resolveStatus(
  {identity, isDoubtful, statusForMs}: KnownVm,
  evidence: StatusEvidence,
): MemberStatus {
  const {status} = identity;
  if (status !== 'suspect' && status !== 'dead') return status;
  // Back among the majority: probe anew what failed while this node was not.
  if (evidence.isCredible && isDoubtful) return 'alive';
  // It has answered some node since: no need for it to refute this.
  if (evidence.heardAgeMs < statusForMs) return 'alive';
  return statusForMs >= evidence.suspicionMs ? 'dead' : status;
}

/** Whether a death adds nothing to a suspicion whose time is running. */
export function isOldSuspicion(
  next: MemberIdentity,
  current: MemberIdentity,
): boolean {
  return (
    next.status === 'dead' &&
    current.status === 'suspect' &&
    next.incarnation === current.incarnation
  );
}
