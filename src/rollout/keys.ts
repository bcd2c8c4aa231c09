/**
 * Creates and verifies callers' API keys.
 *
 * A key's secret has 256 random bits, which can't be guessed, so a salted
 * SHA-256 is enough; a slow hash would only delay each connection.
 */
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

const ID_BYTES = 8;
const SECRET_BYTES = 32;
const SALT_BYTES = 16;
const KEY_PATTERN = /^zk_([0-9a-f]{16})_([A-Za-z0-9_-]{43})$/;

/** The stored record of a key, which doesn't contain the secret. */
export interface KeyRecord {
  readonly id: string;
  readonly team: string;
  /** Base64url of 16 random bytes. */
  readonly salt: string;
  /** Base64url of SHA-256 over the salt and the secret. */
  readonly hash: string;
  /** Milliseconds since the Unix epoch. */
  readonly grantedAt: number;
}

/** A withdrawn key, stored so that its use is refused with a clear message. */
export interface WithdrawnKey {
  readonly id: string;
  readonly team: string;
  readonly atVersion: number;
}

/** Finds keys by id. */
export interface KeyIndex {
  findKey(id: string): KeyRecord | undefined;
  findWithdrawnKey(id: string): WithdrawnKey | undefined;
}

/** A new key: the text is shown to its owner once, the record is stored. */
export interface NewKey {
  readonly text: string;
  readonly record: KeyRecord;
}

/** The result of verifying a presented key. */
export type KeyCheck =
  | {readonly kind: 'valid'; readonly team: string; readonly keyId: string}
  | {readonly kind: 'unknown'}
  | {
      readonly kind: 'withdrawn';
      readonly keyId: string;
      readonly atVersion: number;
    };

/**
 * Creates a key for a team.
 *
 * @example
 * const {text, record} = createKey('assessors', Date.now());
 */
export function createKey(team: string, grantedAt: number): NewKey {
  const id = randomBytes(ID_BYTES).toString('hex');
  const secret = randomBytes(SECRET_BYTES).toString('base64url');
  const salt = randomBytes(SALT_BYTES).toString('base64url');
  const hash = hashSecret(salt, secret).toString('base64url');
  return {
    text: `zk_${id}_${secret}`,
    record: {id, team, salt, hash, grantedAt},
  };
}

/**
 * Verifies a presented key; compares the secret's hash in constant time.
 *
 * @example
 * const check = verifyKey(document, text);
 * if (check.kind === 'valid') admit(check.team);
 */
export function verifyKey(keys: KeyIndex, text: string): KeyCheck {
  const match = KEY_PATTERN.exec(text);
  if (match === null) return {kind: 'unknown'};
  const [, id = '', secret = ''] = match;
  const withdrawn = keys.findWithdrawnKey(id);
  if (withdrawn !== undefined) {
    return {kind: 'withdrawn', keyId: id, atVersion: withdrawn.atVersion};
  }
  const record = keys.findKey(id);
  if (record === undefined) return {kind: 'unknown'};
  const stored = Buffer.from(record.hash, 'base64url');
  const presented = hashSecret(record.salt, secret);
  if (stored.length !== presented.length) return {kind: 'unknown'};
  if (!timingSafeEqual(stored, presented)) return {kind: 'unknown'};
  return {kind: 'valid', team: record.team, keyId: id};
}

function hashSecret(salt: string, secret: string): Buffer {
  return createHash('sha256')
    .update(Buffer.from(salt, 'base64url'))
    .update(secret)
    .digest();
}
