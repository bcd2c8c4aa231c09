/** Client side of a connection to another node. */

import {connect} from 'node:net';
import type {Clock} from '../infra/clock.js';
import {
  createNonce,
  createProof,
  HandshakeError,
  isValidProof,
} from './handshake.js';
import {expectMessage, type ReceivedMessage} from './message-stream.js';
import {PROTOCOL_VERSION, ProtocolError} from './messages.js';
import {PeerChannel} from './peer-channel.js';
import {PendingCall} from './pending-call.js';
import type {PeerLog} from './peer-log.js';
import type {PeerTraffic} from './peer-traffic.js';
import {PeerError, type CallOptions, type PeerAddress} from './types.js';

/** Options of a {@link ClientConnection}. */
export interface ClientConnectionOptions {
  /** VM id of the calling node. */
  readonly self: string;
  readonly peer: PeerAddress;
  readonly clock: Clock;
  readonly connectTimeoutMs: number;
  readonly maxFrameBytes: number;
  /** Secret that all nodes share. */
  readonly peerSecret?: string;
  readonly log: PeerLog;
  readonly traffic: PeerTraffic;
}

/** A connection that multiplexes concurrent calls. */
export class ClientConnection {
  readonly #options: ClientConnectionOptions;
  readonly #channel: PeerChannel;
  readonly #calls = new Map<number, PendingCall>();
  #nextId = 1;
  #draining = false;
  #lastUsedMs: number;
  #unmatchedAnswers = 0;

  private constructor(options: ClientConnectionOptions) {
    this.#options = options;
    this.#lastUsedMs = options.clock.now();
    const {host, port, id} = options.peer;
    this.#channel = new PeerChannel(connect({host, port, noDelay: true}), {
      clock: options.clock,
      maxFrameBytes: options.maxFrameBytes,
      log: options.log,
      traffic: options.traffic,
      peer: id,
      sendsHeartbeats: true,
      recoveryHint: 'the next call reconnects',
      onClose: reason => this.#failPendingCalls(reason),
    });
  }

  /**
   * Connects and performs the handshake; rejects with a `notSent` error.
   *
   * @example
   * const connection = await ClientConnection.open(options);
   * const answer = await connection.call('ping', {}, {timeoutMs: 500});
   */
  static async open(
    options: ClientConnectionOptions,
  ): Promise<ClientConnection> {
    const connection = new ClientConnection(options);
    await connection.#open();
    return connection;
  }

  /** True if new calls may be sent. */
  get usable(): boolean {
    return !this.#channel.isClosed && !this.#draining;
  }

  /** Number of calls that wait for an answer. */
  get pendingCalls(): number {
    return this.#calls.size;
  }

  /** Number of answers that matched no pending call. */
  get unmatchedAnswers(): number {
    return this.#unmatchedAnswers;
  }

  /** Monotonic time at which the last call started. */
  get lastUsedMs(): number {
    return this.#lastUsedMs;
  }

  /** The node at the other end. */
  get peer(): PeerAddress {
    return this.#options.peer;
  }

  /** Calls a method of the other node. */
  async call(
    method: string,
    body: unknown,
    options: CallOptions,
  ): Promise<unknown> {
    if (options.signal?.aborted) {
      throw new PeerError('notSent', 'call was cancelled before it was sent');
    }
    if (!this.usable) {
      throw new PeerError('notSent', `connection to ${this.peer.id} is closed`);
    }
    const id = this.#nextId++;
    this.#lastUsedMs = this.#options.clock.now();
    this.#sendRequest(id, method, body);
    const call = new PendingCall(id, options, this.#options.clock, message =>
      this.#channel.writer.write(message, method),
    );
    this.#calls.set(id, call);
    try {
      return await call.answer;
    } finally {
      this.#calls.delete(id);
      this.#endIfDrained();
    }
  }

  /** Accepts no new calls and closes after the last pending one. */
  drain(): void {
    this.#draining = true;
    this.#endIfDrained();
  }

  /** Closes the connection; pending calls fail with `lost`. */
  close(reason = 'connection closed by this node'): void {
    this.#channel.close(reason);
  }

  #failPendingCalls(reason: string): void {
    const err = new PeerError('lost', `${this.peer.id}: ${reason}`);
    for (const call of this.#calls.values()) call.fail(err);
  }

  #sendRequest(id: number, method: string, body: unknown): void {
    let sentBytes = 0;
    try {
      const request = {kind: 'req', id, method, body};
      sentBytes = this.#channel.writer.write(request, method);
    } catch (err) {
      throw new PeerError('notSent', `can't encode ${method}: ${String(err)}`);
    }
    if (sentBytes > 0) return;
    throw new PeerError('notSent', `connection to ${this.peer.id} is closed`);
  }

  async #open(): Promise<void> {
    const {connectTimeoutMs, peer} = this.#options;
    const limit = {timeoutMs: connectTimeoutMs, reason: 'connect timed out'};
    try {
      await this.#channel.open(limit, () => this.#performHandshake());
    } catch (err) {
      this.#channel.logFailure(err);
      this.close('connect failed');
      throw new PeerError(
        'notSent',
        `can't connect to ${peer.id} at ${peer.host}:${peer.port}: ${String(err)}`,
      );
    }
    void this.#receiveMessages();
  }

  async #performHandshake(): Promise<void> {
    const {messages, writer} = this.#channel;
    const {self, peer, peerSecret} = this.#options;
    const {nonce: serverNonce} = await expectMessage(messages, 'challenge');
    const clientNonce = createNonce();
    const nonces = {serverNonce, clientNonce};
    writer.write({
      kind: 'hello',
      version: PROTOCOL_VERSION,
      from: self,
      nonce: clientNonce,
      proof: createProof(peerSecret, {role: 'client', id: self, ...nonces}),
    });
    const welcome = await expectMessage(messages, 'welcome');
    if (welcome.from !== peer.id) {
      throw new HandshakeError(`expected ${peer.id}, found ${welcome.from}`);
    }
    const input = {role: 'server', id: welcome.from, ...nonces} as const;
    if (!isValidProof(peerSecret, input, welcome.proof)) {
      throw new HandshakeError(`${peer.id} does not know the peer secret`);
    }
  }

  async #receiveMessages(): Promise<void> {
    const {messages} = this.#channel;
    try {
      for await (const received of messages) this.#onMessage(received);
      this.close('connection ended by the other node');
    } catch (err) {
      this.#channel.logFailure(err);
      this.close(`connection lost: ${String(err)}`);
    }
  }

  #onMessage({message, bytes}: ReceivedMessage): void {
    switch (message.kind) {
      case 'part':
        return this.#findCall(message.id)?.onPart(message.body, bytes);
      case 'res':
        return this.#findCall(message.id)?.onResult(message.body);
      case 'err':
        return this.#findCall(message.id)?.fail(
          new PeerError('failed', message.message),
        );
      case 'pong':
        return;
      case 'closing':
        return this.drain();
      default:
        throw new ProtocolError(`unexpected "${message.kind}" from a server`);
    }
  }

  #findCall(id: number): PendingCall | undefined {
    const call = this.#calls.get(id);
    if (call === undefined) this.#unmatchedAnswers++;
    return call;
  }

  #endIfDrained(): void {
    if (this.#draining && this.#calls.size === 0) this.#channel.end();
  }
}
