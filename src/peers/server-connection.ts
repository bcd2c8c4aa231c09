/** One incoming connection from one node. */

import type {Socket} from 'node:net';
import type {Clock} from '../platform/clock.js';
import {FrameDecoder} from './framing.js';
import {FrameWriter} from './frame-writer.js';
import {
  createNonce,
  createProof,
  HANDSHAKE_MAX_FRAME_BYTES,
  HandshakeError,
  isValidProof,
} from './handshake.js';
import {
  expectMessage,
  readMessages,
  type ReceivedMessage,
} from './message-stream.js';
import {
  PROTOCOL_VERSION,
  ProtocolError,
  type PeerMessage,
  type RequestMessage,
} from './messages.js';
import {resolveLogEvent, type PeerLog} from './peer-log.js';
import {RunningCall} from './running-call.js';
import {SilenceMonitor} from './silence-monitor.js';
import type {PeerHandler} from './types.js';

/** How long a stranger may take to prove itself. */
const HANDSHAKE_TIMEOUT_MS = 2_000;

/** Unread answers of a connection beyond which its requests wait. */
const MAX_QUEUED_BYTES = 8 * 1024 * 1024;

/** Calls that one connection may run at once. */
const MAX_RUNNING_CALLS = 4_096;

/** What a connection needs. */
export interface ServerConnectionOptions {
  /** Id of this node. */
  readonly self: string;
  readonly handlers: ReadonlyMap<string, PeerHandler>;
  readonly clock: Clock;
  readonly maxFrameBytes: number;
  readonly peerSecret?: string;
  readonly log: PeerLog;
}

/** Serves the calls of one connection, concurrently. */
export class ServerConnection {
  readonly #socket: Socket;
  readonly #options: ServerConnectionOptions;
  readonly #decoder = new FrameDecoder(HANDSHAKE_MAX_FRAME_BYTES);
  readonly #writer: FrameWriter;
  readonly #monitor: SilenceMonitor;
  readonly #running = new Map<number, RunningCall>();
  readonly #closed = new AbortController();
  #from: string;
  #ready = false;

  constructor(socket: Socket, options: ServerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#from = `${socket.remoteAddress}:${socket.remotePort}`;
    this.#writer = new FrameWriter(socket, options.maxFrameBytes);
    this.#monitor = new SilenceMonitor({
      clock: options.clock,
      writer: this.#writer,
      sendsHeartbeats: false,
      onSilent: () => this.#onSilent(),
    });
  }

  /** Serves until the connection ends; never rejects. */
  async run(): Promise<void> {
    this.#socket.on('error', () => {});
    const messages = readMessages(this.#socket, this.#decoder, () =>
      this.#monitor.noteReceived(),
    );
    try {
      await this.#shakeHands(messages);
      void this.#monitor.run(this.#closed.signal);
      for await (const {message} of messages) {
        this.#onMessage(message);
        if (this.#writer.queuedBytes > MAX_QUEUED_BYTES) {
          await this.#writer.drained();
        }
      }
    } catch (err) {
      this.#logEnd(err);
    } finally {
      this.close('connection of the caller was lost');
    }
  }

  /** Asks the caller to end the connection behind its last call. */
  drain(): void {
    if (this.#ready) this.#writer.write({kind: 'closing'});
    else this.close('this node is closing');
  }

  /** Closes the connection and aborts its calls. */
  close(reason: string): void {
    if (this.#closed.signal.aborted) return;
    this.#closed.abort();
    this.#socket.destroy();
    for (const call of this.#running.values()) call.abort(reason);
  }

  async #shakeHands(messages: AsyncGenerator<ReceivedMessage>): Promise<void> {
    const {clock, self, peerSecret} = this.#options;
    const proved = new AbortController();
    void clock.sleep(HANDSHAKE_TIMEOUT_MS, proved.signal).then(() => {
      if (!proved.signal.aborted) this.close('handshake timed out');
    });
    try {
      const serverNonce = createNonce();
      this.#writer.write({kind: 'challenge', nonce: serverNonce});
      const hello = await expectMessage(messages, 'hello');
      if (hello.version !== PROTOCOL_VERSION) {
        throw new HandshakeError(`protocol version ${hello.version}`);
      }
      const nonces = {serverNonce, clientNonce: hello.nonce};
      const input = {role: 'client', id: hello.from, ...nonces} as const;
      if (!isValidProof(peerSecret, input, hello.proof)) {
        throw new HandshakeError(`${hello.from} does not know the peer secret`);
      }
      this.#from = hello.from;
      this.#writer.write({
        kind: 'welcome',
        from: self,
        proof: createProof(peerSecret, {role: 'server', id: self, ...nonces}),
      });
      this.#decoder.setMaxFrameBytes(this.#options.maxFrameBytes);
      this.#ready = true;
    } finally {
      proved.abort();
    }
  }

  #onMessage(message: PeerMessage): void {
    switch (message.kind) {
      case 'req':
        return void this.#serve(message);
      case 'cancel':
        return this.#running.get(message.id)?.abort('caller gave up');
      case 'credit':
        return this.#running.get(message.id)?.addCredit(message.bytes);
      case 'ping':
        return void this.#writer.write({kind: 'pong'});
      default:
        throw new ProtocolError(`unexpected "${message.kind}" from a client`);
    }
  }

  async #serve({id, method, body}: RequestMessage): Promise<void> {
    if (this.#running.has(id)) {
      return this.close(`caller used the call id ${id} twice`);
    }
    const call = new RunningCall(this.#from, part =>
      this.#writer.write({kind: 'part', id, body: part}),
    );
    this.#running.set(id, call);
    try {
      const result = await this.#run(method, body, call);
      if (call.signal.aborted) return;
      this.#writer.write({kind: 'res', id, body: result});
    } catch (err) {
      if (call.signal.aborted) return;
      this.#writer.write({kind: 'err', id, message: toMessage(err)});
    } finally {
      this.#running.delete(id);
    }
  }

  #run(method: string, body: unknown, call: RunningCall): Promise<unknown> {
    const handler = this.#options.handlers.get(method);
    if (handler === undefined) {
      throw new ProtocolError(`${this.#options.self} has no method ${method}`);
    }
    if (this.#running.size > MAX_RUNNING_CALLS) {
      throw new ProtocolError(`more than ${MAX_RUNNING_CALLS} calls at once`);
    }
    return handler(body, call);
  }

  #onSilent(): void {
    this.#options.log({
      event: 'peer-connection-silent',
      peer: this.#from,
      detail: 'closed; the caller connects again',
    });
    this.close('connection of the caller went silent');
  }

  #logEnd(err: unknown): void {
    if (this.#closed.signal.aborted) return;
    const event = resolveLogEvent(err);
    this.#options.log({event, peer: this.#from, detail: String(err)});
  }
}

/** Longest error text sent to a caller, in characters. */
const MAX_ERROR_CHARACTERS = 1_024;

function toMessage(err: unknown): string {
  const text = err instanceof Error ? err.message : String(err);
  return text.slice(0, MAX_ERROR_CHARACTERS);
}
