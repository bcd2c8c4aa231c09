/**
 * Backend key data, with which a caller cancels its own statements. The load
 * balancer may send a cancel request to any VM, so the process id of a key
 * includes a hash of the VM that issued it.
 */
import {createHash, randomInt} from 'node:crypto';
import type {CancelKey} from './startup.js';

const VM_HASH_BITS = 12;
const SESSION_NUMBER_BITS = 31 - VM_HASH_BITS;
const SECRET_KEY_LIMIT = 2 ** 31;

/**
 * The hash in the keys that a VM issues; several VMs may have the same hash.
 *
 * @example
 * if (vmHash('vm3') === vmHashOf(key)) forwardTo('vm3');
 */
export function vmHash(vm: string): number {
  const digest = createHash('sha256').update(vm).digest();
  return digest.readUInt16BE(0) >>> (16 - VM_HASH_BITS);
}

/** The hash of the VM that issued a key. */
export function vmHashOf(key: CancelKey): number {
  return key.processId >>> SESSION_NUMBER_BITS;
}

/** The backend keys of the sessions at this VM. */
export class CancelKeys<Session> {
  readonly #hash: number;
  readonly #sessions = new Map<number, {secret: number; session: Session}>();

  constructor(vm: string) {
    this.#hash = vmHash(vm);
  }

  /** Issues an unused random key for a session. */
  issue(session: Session): CancelKey {
    let processId: number;
    do {
      processId =
        (this.#hash << SESSION_NUMBER_BITS) |
        randomInt(2 ** SESSION_NUMBER_BITS);
    } while (this.#sessions.has(processId));
    const secret = randomInt(SECRET_KEY_LIMIT);
    this.#sessions.set(processId, {secret, session});
    return {processId, secret};
  }

  /** The session of a key; undefined if the id or the secret is wrong. */
  find(key: CancelKey): Session | undefined {
    const entry = this.#sessions.get(key.processId);
    return entry?.secret === key.secret ? entry.session : undefined;
  }

  revoke(key: CancelKey): void {
    this.#sessions.delete(key.processId);
  }
}
