/** Types of calls between nodes. Bodies are plain data that CBOR can encode. */

/** Why a call failed. */
export type PeerFailureKind =
  /** The request never left this node. */
  | 'notSent'
  /** The request was sent but not answered; whether it ran is unknown. */
  | 'lost'
  /** The other node answered with an error. */
  | 'failed';

/** A failed call. */
export class PeerError extends Error {
  constructor(
    readonly kind: PeerFailureKind,
    message: string,
  ) {
    super(message);
    this.name = 'PeerError';
  }
}

/** Id of a node and the address on which it listens for calls. */
export interface PeerAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** Time limit, cancellation and streaming of one call. */
export interface CallOptions {
  /**
   * Milliseconds until the call fails: with `notSent` before its request is
   * sent, with `lost` after.
   */
  readonly timeoutMs: number;
  /** Cancels the call; the other node aborts its handler. */
  readonly signal?: AbortSignal;
  /** Called with the parts of a streamed answer, in order, one at a time. */
  readonly onPart?: (part: unknown) => void | Promise<void>;
}

/** Calls other nodes over one connection per node, opened on demand. */
export interface PeerCaller {
  call(
    to: PeerAddress,
    method: string,
    body: unknown,
    options: CallOptions,
  ): Promise<unknown>;
}

/** Context that a handler receives with a call. */
export interface PeerCallContext {
  /** VM id that the calling node sent in its handshake. */
  readonly from: string;
  /** Aborts when the caller cancels the call or the connection closes. */
  readonly signal: AbortSignal;
  /** Sends one part of a streamed answer; waits while the caller reads slowly. */
  send(part: unknown): Promise<void>;
}

/** Handles the calls of one method; resolves to the result. */
export type PeerHandler = (
  body: unknown,
  ctx: PeerCallContext,
) => Promise<unknown>;
