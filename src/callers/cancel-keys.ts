/**
 * Keys by which a caller cancels its own statements. The balancer may take a
 * cancel request to any VM, so a key tells which VM made it.
 */
import {createHash, randomInt} from 'node:crypto';
import type {CancelKey} from './startup.js';

const VM_HASH_BITS = 12;
const SERIAL_BITS = 31 - VM_HASH_BITS;
const SECRET_LIMIT = 2 ** 31;

/**
 * The part of a key that a VM recognises as its own; VMs may share one.
 *
 * @example
 * if (vmHash('vm3') === vmHashOf(key)) askVm('vm3');
 */
export function vmHash(vm: string): number {
  const digest = createHash('sha256').update(vm).digest();
  return digest.readUInt16BE(0) >>> (16 - VM_HASH_BITS);
}

/** The hash of the VM that made a key. */
export function vmHashOf(key: CancelKey): number {
  return key.processId >>> SERIAL_BITS;
}

/** The cancel keys of one VM's sessions. */
export class CancelKeys<Session> {
  readonly #hash: number;
  readonly #sessions = new Map<number, {secret: number; session: Session}>();

  constructor(vm: string) {
    this.#hash = vmHash(vm);
  }

  /** Makes a key for a session. */
  issue(session: Session): CancelKey {
    let processId: number;
    do {
      processId = (this.#hash << SERIAL_BITS) | randomInt(2 ** SERIAL_BITS);
    } while (this.#sessions.has(processId));
    const secret = randomInt(SECRET_LIMIT);
    this.#sessions.set(processId, {secret, session});
    return {processId, secret};
  }

  /** The session that a key names, if the key is right. */
  find(key: CancelKey): Session | undefined {
    const entry = this.#sessions.get(key.processId);
    return entry?.secret === key.secret ? entry.session : undefined;
  }

  forget(key: CancelKey): void {
    this.#sessions.delete(key.processId);
  }
}
