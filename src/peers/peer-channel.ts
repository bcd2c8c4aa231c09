/** Messages, silence detection and closing, for both ends of a connection. */

import type {Socket} from 'node:net';
import type {Clock} from '../infra/clock.js';
import {FrameDecoder} from './framing.js';
import {FrameWriter} from './frame-writer.js';
import {HANDSHAKE_MAX_FRAME_BYTES} from './handshake.js';
import {readMessages, type ReceivedMessage} from './message-stream.js';
import {logEventNameFor, type PeerLog} from './peer-log.js';
import type {PeerTraffic} from './peer-traffic.js';
import {SilenceMonitor} from './silence-monitor.js';

/** Options of a {@link PeerChannel}. */
export interface PeerChannelOptions {
  readonly clock: Clock;
  readonly maxFrameBytes: number;
  readonly log: PeerLog;
  readonly traffic: PeerTraffic;
  /** Id of the other node, or its address until the handshake is done. */
  readonly peer: string;
  readonly sendsHeartbeats: boolean;
  /** How a silent connection is replaced after it is closed, for the log. */
  readonly recoveryHint: string;
  /** Called once, when the channel closes. */
  readonly onClose: (reason: string) => void;
}

/** Time limit of a handshake. */
export interface HandshakeLimit {
  readonly timeoutMs: number;
  /** Reason for closing the connection when the limit is exceeded. */
  readonly reason: string;
}

/** A socket between two nodes that closes on failure or silence. */
export class PeerChannel {
  readonly writer: FrameWriter;
  /** Messages received from the other end. */
  readonly messages: AsyncGenerator<ReceivedMessage>;
  /** Name of the other end in the log. */
  peer: string;
  readonly #socket: Socket;
  readonly #options: PeerChannelOptions;
  readonly #decoder = new FrameDecoder(HANDSHAKE_MAX_FRAME_BYTES);
  readonly #monitor: SilenceMonitor;
  readonly #closed = new AbortController();

  constructor(socket: Socket, options: PeerChannelOptions) {
    const {clock, maxFrameBytes, peer, sendsHeartbeats} = options;
    this.#socket = socket;
    this.#options = options;
    this.peer = peer;
    socket.on('error', () => {});
    const writer = new FrameWriter(socket, maxFrameBytes, (method, bytes) =>
      options.traffic.recordSent(this.peer, method, bytes),
    );
    const onSilent = () => this.#onSilent();
    this.writer = writer;
    this.#monitor = new SilenceMonitor({
      clock,
      writer,
      sendsHeartbeats,
      onSilent,
    });
    this.messages = readMessages(socket, this.#decoder, () =>
      this.#monitor.recordReceived(),
    );
  }

  get isClosed(): boolean {
    return this.#closed.signal.aborted;
  }

  /**
   * Runs `handshake` within the limit, then accepts frames of full size and
   * starts silence detection. Rejects with the error of `handshake`.
   */
  async open(
    limit: HandshakeLimit,
    handshake: () => Promise<void>,
  ): Promise<void> {
    const done = new AbortController();
    void this.#options.clock.sleep(limit.timeoutMs, done.signal).then(() => {
      if (!done.signal.aborted) this.close(limit.reason);
    });
    try {
      await handshake();
    } finally {
      done.abort();
    }
    this.#decoder.setMaxFrameBytes(this.#options.maxFrameBytes);
    void this.#monitor.run(this.#closed.signal);
  }

  /** Ends the connection once all written data is sent. */
  end(): void {
    this.#socket.end();
  }

  /** Closes the connection immediately. */
  close(reason: string): void {
    if (this.isClosed) return;
    this.#closed.abort();
    this.#socket.destroy();
    this.#options.onClose(reason);
  }

  /** Logs the error that ended the connection, unless this node closed it. */
  logFailure(err: unknown): void {
    if (this.isClosed) return;
    const event = logEventNameFor(err);
    this.#options.log({event, peer: this.peer, detail: String(err)});
  }

  #onSilent(): void {
    this.#options.log({
      event: 'peer-connection-silent',
      peer: this.peer,
      detail: `closed; ${this.#options.recoveryHint}`,
    });
    this.close('connection went silent');
  }
}
