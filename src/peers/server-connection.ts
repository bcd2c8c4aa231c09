/** Server side of a connection from another node. */

import type {Socket} from 'node:net';
import type {Clock} from '../infra/clock.js';
import {
  createNonce,
  createProof,
  HandshakeError,
  isValidProof,
} from './handshake.js';
import {expectMessage} from './message-stream.js';
import {
  PROTOCOL_VERSION,
  ProtocolError,
  type PeerMessage,
  type RequestMessage,
} from './messages.js';
import {PeerChannel} from './peer-channel.js';
import type {PeerLog} from './peer-log.js';
import type {PeerTraffic} from './peer-traffic.js';
import {RunningCall} from './running-call.js';
import type {PeerHandler} from './types.js';

/** Time limit for an unauthenticated peer to complete the handshake. */
const HANDSHAKE_LIMIT = {timeoutMs: 2_000, reason: 'handshake timed out'};

/** Backpressure: write buffer size beyond which no requests are read. */
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;

/** Maximum number of concurrent calls per connection. */
const MAX_RUNNING_CALLS = 4_096;

/** Options of a {@link ServerConnection}. */
export interface ServerConnectionOptions {
  /** VM id of this node. */
  readonly self: string;
  readonly handlers: ReadonlyMap<string, PeerHandler>;
  readonly clock: Clock;
  readonly maxFrameBytes: number;
  readonly peerSecret?: string;
  readonly log: PeerLog;
  readonly traffic: PeerTraffic;
}

/** Serves the calls of one connection, concurrently. */
export class ServerConnection {
  readonly #options: ServerConnectionOptions;
  readonly #channel: PeerChannel;
  readonly #runningCalls = new Map<number, RunningCall>();
  #ready = false;

  constructor(socket: Socket, options: ServerConnectionOptions) {
    this.#options = options;
    this.#channel = new PeerChannel(socket, {
      clock: options.clock,
      maxFrameBytes: options.maxFrameBytes,
      log: options.log,
      traffic: options.traffic,
      peer: `${socket.remoteAddress}:${socket.remotePort}`,
      sendsHeartbeats: false,
      recoveryHint: 'the other node reconnects',
      onClose: reason => this.#abortRunningCalls(reason),
    });
  }

  /** Serves until the connection ends; never rejects. */
  async run(): Promise<void> {
    const {messages, writer} = this.#channel;
    try {
      await this.#channel.open(HANDSHAKE_LIMIT, () => this.#performHandshake());
      for await (const {message} of messages) {
        this.#onMessage(message);
        if (writer.queuedBytes > MAX_QUEUED_BYTES) await writer.waitForDrain();
      }
    } catch (err) {
      this.#channel.logFailure(err);
    } finally {
      this.close('connection of the caller was lost');
    }
  }

  /** Asks the client to close the connection after its last pending call. */
  drain(): void {
    if (this.#ready) this.#channel.writer.write({kind: 'closing'});
    else this.close('this node is closing');
  }

  /** Closes the connection and aborts its running calls. */
  close(reason: string): void {
    this.#channel.close(reason);
  }

  #abortRunningCalls(reason: string): void {
    for (const call of this.#runningCalls.values()) call.abort(reason);
  }

  async #performHandshake(): Promise<void> {
    const {self, peerSecret} = this.#options;
    const {messages, writer} = this.#channel;
    const serverNonce = createNonce();
    writer.write({kind: 'challenge', nonce: serverNonce});
    const hello = await expectMessage(messages, 'hello');
    if (hello.version !== PROTOCOL_VERSION) {
      throw new HandshakeError(`protocol version ${hello.version}`);
    }
    const nonces = {serverNonce, clientNonce: hello.nonce};
    const input = {role: 'client', id: hello.from, ...nonces} as const;
    if (!isValidProof(peerSecret, input, hello.proof)) {
      throw new HandshakeError(`${hello.from} does not know the peer secret`);
    }
    this.#channel.peer = hello.from;
    writer.write({
      kind: 'welcome',
      from: self,
      proof: createProof(peerSecret, {role: 'server', id: self, ...nonces}),
    });
    this.#ready = true;
  }

  #onMessage(message: PeerMessage): void {
    switch (message.kind) {
      case 'req':
        return void this.#serve(message);
      case 'cancel':
        return this.#runningCalls.get(message.id)?.abort('caller gave up');
      case 'credit':
        return this.#runningCalls.get(message.id)?.addCredit(message.bytes);
      case 'ping':
        return void this.#channel.writer.write({kind: 'pong'});
      default:
        throw new ProtocolError(`unexpected "${message.kind}" from a client`);
    }
  }

  async #serve({id, method, body}: RequestMessage): Promise<void> {
    if (this.#runningCalls.has(id)) {
      return this.close(`caller used the call id ${id} twice`);
    }
    const {writer, peer} = this.#channel;
    const call = new RunningCall(peer, part =>
      writer.write({kind: 'part', id, body: part}, method),
    );
    this.#runningCalls.set(id, call);
    try {
      const result = await this.#callHandler(method, body, call);
      if (call.signal.aborted) return;
      writer.write({kind: 'res', id, body: result}, method);
    } catch (err) {
      if (call.signal.aborted) return;
      // The name of an unknown method is not used as a label of a metric.
      const label = this.#options.handlers.has(method) ? method : undefined;
      writer.write({kind: 'err', id, message: errorMessageOf(err)}, label);
    } finally {
      this.#runningCalls.delete(id);
    }
  }

  #callHandler(
    method: string,
    body: unknown,
    call: RunningCall,
  ): Promise<unknown> {
    const handler = this.#options.handlers.get(method);
    if (handler === undefined) {
      throw new ProtocolError(`${this.#options.self} has no method ${method}`);
    }
    if (this.#runningCalls.size > MAX_RUNNING_CALLS) {
      throw new ProtocolError(`more than ${MAX_RUNNING_CALLS} calls at once`);
    }
    return handler(body, call);
  }
}

/** Maximum length of an error message sent to a client. */
const MAX_ERROR_CHARACTERS = 1_024;

function errorMessageOf(err: unknown): string {
  const text = err instanceof Error ? err.message : String(err);
  return text.slice(0, MAX_ERROR_CHARACTERS);
}
