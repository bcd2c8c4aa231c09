/** Messages of the protocol between nodes. */

/** Protocol version; a server rejects a client of another version. */
export const PROTOCOL_VERSION = 1;

/** First message of the accepting node: the nonce for the client's proof. */
export interface ChallengeMessage {
  readonly kind: 'challenge';
  readonly nonce: Uint8Array;
}

/** First message of the connecting node: its id and proof of the secret. */
export interface HelloMessage {
  readonly kind: 'hello';
  readonly version: number;
  readonly from: string;
  readonly nonce: Uint8Array;
  readonly proof: Uint8Array;
}

/** Completes the handshake with the accepting node's proof; calls may follow. */
export interface WelcomeMessage {
  readonly kind: 'welcome';
  readonly from: string;
  readonly proof: Uint8Array;
}

/** Starts a call. */
export interface RequestMessage {
  readonly kind: 'req';
  readonly id: number;
  readonly method: string;
  readonly body: unknown;
}

/** Tells the server that the client no longer waits for this call. */
export interface CancelMessage {
  readonly kind: 'cancel';
  readonly id: number;
}

/** Flow control: lets the server send more parts of this call. */
export interface CreditMessage {
  readonly kind: 'credit';
  readonly id: number;
  readonly bytes: number;
}

/** One part of a streamed answer. */
export interface PartMessage {
  readonly kind: 'part';
  readonly id: number;
  readonly body: unknown;
}

/** Ends a call with its result. */
export interface ResultMessage {
  readonly kind: 'res';
  readonly id: number;
  readonly body: unknown;
}

/** Ends a call with an error. */
export interface ErrorMessage {
  readonly kind: 'err';
  readonly id: number;
  readonly message: string;
}

/** Heartbeat of the client on an idle connection; answered by `pong`. */
export interface PingMessage {
  readonly kind: 'ping';
}

/** Answers `ping`. */
export interface PongMessage {
  readonly kind: 'pong';
}

/** Asks the client to start no calls and to close after its pending ones. */
export interface ClosingMessage {
  readonly kind: 'closing';
}

/** Every message of the protocol. */
export type PeerMessage =
  | ChallengeMessage
  | HelloMessage
  | WelcomeMessage
  | RequestMessage
  | CancelMessage
  | CreditMessage
  | PartMessage
  | ResultMessage
  | ErrorMessage
  | PingMessage
  | PongMessage
  | ClosingMessage;

/** Thrown for an invalid or unexpected message, or a call that can't be run. */
export class ProtocolError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'ProtocolError';
  }
}

type Fields = Readonly<Record<string, unknown>>;

const isNonNegativeInteger = (value: unknown): boolean =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isString = (value: unknown): boolean => typeof value === 'string';
const isBytes = (value: unknown): boolean => value instanceof Uint8Array;

const VALID_FIELDS: Readonly<
  Record<PeerMessage['kind'], (fields: Fields) => boolean>
> = {
  challenge: m => isBytes(m.nonce),
  hello: m =>
    isNonNegativeInteger(m.version) &&
    isString(m.from) &&
    isBytes(m.nonce) &&
    isBytes(m.proof),
  welcome: m => isString(m.from) && isBytes(m.proof),
  req: m => isNonNegativeInteger(m.id) && isString(m.method),
  cancel: m => isNonNegativeInteger(m.id),
  credit: m => isNonNegativeInteger(m.id) && isNonNegativeInteger(m.bytes),
  part: m => isNonNegativeInteger(m.id),
  res: m => isNonNegativeInteger(m.id),
  err: m => isNonNegativeInteger(m.id) && isString(m.message),
  ping: () => true,
  pong: () => true,
  closing: () => true,
};

/**
 * Checks that a decoded frame is a valid message.
 *
 * @example
 * const msg = parseMessage(frame.value);
 * if (msg.kind === 'ping') writer.write({kind: 'pong'});
 */
export function parseMessage(value: unknown): PeerMessage {
  if (typeof value !== 'object' || value === null) {
    throw new ProtocolError(`expected a message, got ${typeof value}`);
  }
  const fields = value as Fields;
  const kind = String(fields.kind);
  if (!Object.hasOwn(VALID_FIELDS, kind)) {
    throw new ProtocolError(`unknown message kind "${kind.slice(0, 40)}"`);
  }
  if (!VALID_FIELDS[kind as PeerMessage['kind']](fields)) {
    throw new ProtocolError(`malformed "${kind}" message`);
  }
  return value as PeerMessage;
}
