/** The answer to a probe and its encoding. */

import {isMemberIdentity, type MemberIdentity} from './member.js';

/** What a probed node says of itself. */
export interface ProbeAnswer extends MemberIdentity {
  /** Age of the answering node's proof of contact with the store. */
  readonly storeAgeMs?: number;
}

/**
 * Encodes an answer with its fields by position: their names would make up
 * half of the most frequent message.
 *
 * @example
 * encodeProbeAnswer({instance: 'i1', incarnation: 0, status: 'alive'});
 */
export function encodeProbeAnswer(answer: ProbeAnswer): readonly unknown[] {
  const {instance, incarnation, status, storeAgeMs} = answer;
  const identity = [instance, incarnation, status];
  return storeAgeMs === undefined ? identity : [...identity, storeAgeMs];
}

/** Decodes what another node sent; undefined if it is malformed. */
export function decodeProbeAnswer(value: unknown): ProbeAnswer | undefined {
  if (!Array.isArray(value)) return undefined;
  const [instance, incarnation, status, storeAgeMs] = value as unknown[];
  const identity = {instance, incarnation, status};
  if (!isMemberIdentity(identity)) return undefined;
  const isAge = typeof storeAgeMs === 'number' && storeAgeMs >= 0;
  return isAge ? {...identity, storeAgeMs} : identity;
}
