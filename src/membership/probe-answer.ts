/** Answer to a health probe and its encoding. */

import {isMemberIdentity, type MemberIdentity} from './member.js';

/** Identity and store contact that a probed node reports. */
export interface ProbeAnswer extends MemberIdentity {
  /** Age of the probed node's last contact with the store, if there was any. */
  readonly storeAgeMs?: number;
}

/**
 * Encodes an answer as an array: field names would make up half of the most
 * frequent message.
 *
 * @example
 * encodeProbeAnswer({instance: 'i1', incarnation: 0, status: 'alive'});
 */
export function encodeProbeAnswer(answer: ProbeAnswer): readonly unknown[] {
  const {instance, incarnation, status, storeAgeMs} = answer;
  const identity = [instance, incarnation, status];
  return storeAgeMs === undefined ? identity : [...identity, storeAgeMs];
}

/** Decodes a received answer; undefined if it is malformed. */
export function decodeProbeAnswer(value: unknown): ProbeAnswer | undefined {
  if (!Array.isArray(value)) return undefined;
  const [instance, incarnation, status, storeAgeMs] = value as unknown[];
  const identity = {instance, incarnation, status};
  if (!isMemberIdentity(identity)) return undefined;
  const isAge = typeof storeAgeMs === 'number' && storeAgeMs >= 0;
  return isAge ? {...identity, storeAgeMs} : identity;
}
