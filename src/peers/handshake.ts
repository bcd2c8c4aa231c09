/** Mutual challenge-response authentication with the nodes' shared secret. */

import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';

/** Frame size limit until the other end is authenticated. */
export const HANDSHAKE_MAX_FRAME_BYTES = 4 * 1024;

const NONCE_BYTES = 16;
const MIN_NONCE_BYTES = 8;

/** The end that makes a proof; covered by it to prevent reflection attacks. */
export type HandshakeRole = 'client' | 'server';

/** Values that a proof covers. */
export interface ProofInput {
  readonly role: HandshakeRole;
  readonly id: string;
  readonly serverNonce: Uint8Array;
  readonly clientNonce: Uint8Array;
}

/** Creates a random nonce for one handshake. */
export function createNonce(): Uint8Array {
  return new Uint8Array(randomBytes(NONCE_BYTES));
}

/**
 * Creates the HMAC proof of one end; empty if no secret is configured.
 *
 * @example
 * const proof = createProof(secret, {role: 'client', id, serverNonce, clientNonce});
 */
export function createProof(
  secret: string | undefined,
  input: ProofInput,
): Uint8Array {
  if (secret === undefined) return new Uint8Array(0);
  const hmac = createHmac('sha256', secret);
  for (const part of [
    Buffer.from(input.role),
    Buffer.from(input.id),
    input.serverNonce,
    input.clientNonce,
  ]) {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(part.length);
    hmac.update(length).update(part);
  }
  return new Uint8Array(hmac.digest());
}

/** Verifies the proof of the other end; always true without a secret. */
export function isValidProof(
  secret: string | undefined,
  input: ProofInput,
  proof: Uint8Array,
): boolean {
  if (secret === undefined) return true;
  if (input.serverNonce.length < MIN_NONCE_BYTES) return false;
  if (input.clientNonce.length < MIN_NONCE_BYTES) return false;
  const expected = createProof(secret, input);
  return expected.length === proof.length && timingSafeEqual(expected, proof);
}

/** Thrown when the other end has a wrong id, secret or protocol version. */
export class HandshakeError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'HandshakeError';
  }
}
