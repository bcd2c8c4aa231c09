/** How nodes call one another. Bodies are plain data that cbor-x can carry. */

/** How a call ended without an answer. */
export type PeerFailureKind =
  /** The request never left this node. */
  | 'notSent'
  /** The request was sent; whether it ran is unknown. */
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

/** Where a node listens. */
export interface PeerAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** Limits of one call. */
export interface CallOptions {
  /** Milliseconds until the call fails with `lost`. */
  readonly timeoutMs: number;
  /** Tells the other node that the answer is no longer wanted. */
  readonly signal?: AbortSignal;
  /** Receives the parts of a streamed answer in order, one at a time. */
  readonly onPart?: (part: unknown) => void | Promise<void>;
}

/** Calls other nodes; one connection to each, made on demand. */
export interface PeerCaller {
  call(
    to: PeerAddress,
    method: string,
    body: unknown,
    options: CallOptions,
  ): Promise<unknown>;
}

/** What a handler knows of the call that it serves. */
export interface PeerCallContext {
  /** The calling node's VM id, as it introduced itself. */
  readonly from: string;
  /** Aborts when the caller gave up or its connection was lost. */
  readonly signal: AbortSignal;
  /** Sends one part of a streamed answer; waits while the caller is slow. */
  send(part: unknown): Promise<void>;
}

/** Serves one method. The resolved value ends the answer. */
export type PeerHandler = (
  body: unknown,
  ctx: PeerCallContext,
) => Promise<unknown>;
