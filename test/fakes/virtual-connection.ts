/** A connection between two nodes of a virtual network. */

import type {PeerMessage, RequestMessage} from '../../src/peers/messages.js';
import {PendingCall} from '../../src/peers/pending-call.js';
import type {DedicatedConnection} from '../../src/peers/peer-pool.js';
import {RunningCall} from '../../src/peers/running-call.js';
import {PeerError, type CallOptions} from '../../src/peers/types.js';
import type {VirtualNetwork} from './virtual-network.js';
import type {VirtualNode} from './virtual-node.js';

/** Time without delivery after which a connection is closed. */
const SILENCE_TIMEOUT_MS = 3_000;

/** Sends calls from a client node to a server node and returns the answers. */
export class VirtualConnection implements DedicatedConnection {
  readonly #network: VirtualNetwork;
  readonly #client: VirtualNode;
  readonly #server: VirtualNode;
  readonly #pending = new Map<number, PendingCall>();
  readonly #running = new Map<number, RunningCall>();
  #nextId = 1;
  #closed = false;
  #silent = false;
  #lastUsedMs: number;
  #lastToClientMs = 0;
  #lastToServerMs = 0;

  constructor(
    network: VirtualNetwork,
    client: VirtualNode,
    server: VirtualNode,
  ) {
    this.#network = network;
    this.#client = client;
    this.#server = server;
    this.#lastUsedMs = client.clock.now();
    server.incoming.add(this);
  }

  /** True if the connection is open and in use, or used since `idleSinceMs`. */
  isUsable(idleSinceMs: number): boolean {
    if (this.#closed) return false;
    return this.#pending.size > 0 || this.#lastUsedMs > idleSinceMs;
  }

  /** True if no call is waiting for its answer. */
  get isIdle(): boolean {
    return this.#pending.size === 0;
  }

  async call(
    method: string,
    body: unknown,
    options: CallOptions,
  ): Promise<unknown> {
    if (this.#closed || options.signal?.aborted) {
      throw new PeerError('notSent', 'connection is closed');
    }
    const id = this.#nextId++;
    this.#lastUsedMs = this.#client.clock.now();
    const {faults} = this.#network;
    const copies = this.#network.next() < faults.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.#network.next() < faults.loss) continue;
      this.#sendToServer({kind: 'req', id, method, body});
    }
    const call = new PendingCall(id, options, this.#client.clock, message =>
      this.#sendToServer(message),
    );
    this.#pending.set(id, call);
    if (this.#silent || !this.#isReachable()) this.#scheduleSilenceClose();
    try {
      return await call.answer;
    } finally {
      this.#pending.delete(id);
    }
  }

  /** Closes the connection at both ends; pending calls fail with `lost`. */
  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#server.incoming.delete(this);
    const err = new PeerError('lost', `connection to ${this.#server.id} lost`);
    for (const call of this.#pending.values()) call.fail(err);
    for (const call of this.#running.values()) call.abort(err.message);
  }

  /** Drops all further messages, without closing the connection yet. */
  silence(): void {
    this.#silent = true;
    this.#scheduleSilenceClose();
  }

  #isReachable(): boolean {
    return this.#network.reaches(this.#client.id, this.#server.id);
  }

  #scheduleSilenceClose(): void {
    this.#network.time.schedule(SILENCE_TIMEOUT_MS, () => {
      if (this.#silent || !this.#isReachable()) this.close();
    });
  }

  #sendToServer(message: PeerMessage): void {
    const {value, bytes} = this.#network.transcode(message);
    const copy = value as PeerMessage;
    this.#client.countFrame(bytes, 0);
    const extraMs = message.kind === 'req' ? this.#network.drawReorderMs() : 0;
    const dueMs = this.#nextDueMs(this.#lastToServerMs);
    this.#lastToServerMs = dueMs;
    this.#deliver(this.#server, dueMs + extraMs, () => {
      this.#server.countFrame(0, bytes);
      if (copy.kind === 'req') void this.#serve(copy);
      if (copy.kind === 'cancel')
        this.#running.get(copy.id)?.abort('cancelled');
      if (copy.kind === 'credit') {
        this.#running.get(copy.id)?.addCredit(copy.bytes);
      }
    });
  }

  #sendToClient(message: PeerMessage): number {
    const {value, bytes} = this.#network.transcode(message);
    const copy = value as PeerMessage;
    this.#server.countFrame(bytes, 0);
    const dueMs = this.#nextDueMs(this.#lastToClientMs);
    this.#lastToClientMs = dueMs;
    this.#deliver(this.#client, dueMs, () => {
      this.#client.countFrame(0, bytes);
      this.#onResponse(copy, bytes);
    });
    return bytes;
  }

  #onResponse(message: PeerMessage, bytes: number): void {
    if (message.kind === 'part') {
      this.#pending.get(message.id)?.onPart(message.body, bytes);
    }
    if (message.kind === 'res') {
      this.#pending.get(message.id)?.onResult(message.body);
    }
    if (message.kind === 'err') {
      const err = new PeerError('failed', message.message);
      this.#pending.get(message.id)?.fail(err);
    }
  }

  /** Draws the delivery time of a message, not before the previous message. */
  #nextDueMs(previousMs: number): number {
    const nowMs = this.#network.time.now();
    return Math.max(previousMs, nowMs + this.#network.drawLatencyMs());
  }

  #deliver(to: VirtualNode, dueMs: number, receive: () => void): void {
    const {time} = this.#network;
    const deliver = () => {
      if (this.#closed || this.#silent || !this.#isReachable()) return;
      to.clock.whenRunning(() => {
        if (!this.#closed) receive();
      });
    };
    time.schedule(dueMs - time.now(), deliver);
  }

  async #serve({id, method, body}: RequestMessage): Promise<void> {
    const loseAnswer = this.#network.next() < this.#network.faults.loss;
    const answer = (message: PeerMessage): number =>
      loseAnswer ? 0 : this.#sendToClient(message);
    const call = new RunningCall(this.#client.id, part =>
      answer({kind: 'part', id, body: part}),
    );
    this.#running.set(id, call);
    try {
      const handler = this.#server.handlers.get(method);
      if (handler === undefined) throw new Error(`no method ${method}`);
      const result = await handler(body, call);
      if (!call.signal.aborted) answer({kind: 'res', id, body: result});
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      if (!call.signal.aborted) answer({kind: 'err', id, message});
    } finally {
      this.#running.delete(id);
    }
  }
}
