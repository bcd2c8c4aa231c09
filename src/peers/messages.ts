/** The messages that two nodes exchange on a connection. */

/** Version of the protocol; nodes of different versions refuse one another. */
export const PROTOCOL_VERSION = 1;

/** First frame of the accepting node. */
export interface ChallengeMessage {
  readonly kind: 'challenge';
  readonly nonce: Uint8Array;
}

/** First frame of the connecting node. */
export interface HelloMessage {
  readonly kind: 'hello';
  readonly version: number;
  readonly from: string;
  readonly nonce: Uint8Array;
  readonly proof: Uint8Array;
}

/** Ends the handshake; calls may follow. */
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

/** Tells the server that nobody waits for this call any more. */
export interface CancelMessage {
  readonly kind: 'cancel';
  readonly id: number;
}

/** Allows the server to send more parts of this call. */
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

/** Ends a call well. */
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

/** Keeps an idle connection alive; answered by `pong`. */
export interface PingMessage {
  readonly kind: 'ping';
}

/** Answers `ping`. */
export interface PongMessage {
  readonly kind: 'pong';
}

/** Announces that the server takes no new call on this connection. */
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

/** A well-formed frame whose content is no message of this protocol. */
export class ProtocolError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'ProtocolError';
  }
}

type Fields = Readonly<Record<string, unknown>>;

const isId = (value: unknown): boolean =>
  Number.isSafeInteger(value) && (value as number) >= 0;
const isText = (value: unknown): boolean => typeof value === 'string';
const isBytes = (value: unknown): boolean => value instanceof Uint8Array;

const VALID_FIELDS: Readonly<
  Record<PeerMessage['kind'], (fields: Fields) => boolean>
> = {
  challenge: m => isBytes(m.nonce),
  hello: m =>
    isId(m.version) && isText(m.from) && isBytes(m.nonce) && isBytes(m.proof),
  welcome: m => isText(m.from) && isBytes(m.proof),
  req: m => isId(m.id) && isText(m.method),
  cancel: m => isId(m.id),
  credit: m => isId(m.id) && isId(m.bytes),
  part: m => isId(m.id),
  res: m => isId(m.id),
  err: m => isId(m.id) && isText(m.message),
  ping: () => true,
  pong: () => true,
  closing: () => true,
};

/**
 * Checks that a decoded frame is a message.
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
