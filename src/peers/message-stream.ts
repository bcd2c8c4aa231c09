/** Reads peer messages from a socket. */

import type {Socket} from 'node:net';
import type {FrameDecoder} from './framing.js';
import {parseMessage, ProtocolError, type PeerMessage} from './messages.js';

/** A message and its size on the wire. */
export interface ReceivedMessage {
  readonly message: PeerMessage;
  readonly bytes: number;
}

/**
 * Yields messages until the socket ends; throws on a malformed frame or
 * message. Calls `onData` for each chunk received.
 */
export async function* readMessages(
  socket: Socket,
  decoder: FrameDecoder,
  onData: () => void,
): AsyncGenerator<ReceivedMessage> {
  for await (const chunk of socket as AsyncIterable<Buffer>) {
    onData();
    for (const frame of decoder.push(chunk)) {
      yield {message: parseMessage(frame.value), bytes: frame.bytes};
    }
  }
  decoder.end();
}

/** Reads the next message; throws if it is not of the given kind. */
export async function expectMessage<K extends PeerMessage['kind']>(
  messages: AsyncGenerator<ReceivedMessage>,
  kind: K,
): Promise<Extract<PeerMessage, {kind: K}>> {
  const next = await messages.next();
  if (next.done) throw new ProtocolError(`connection ended before "${kind}"`);
  const {message} = next.value;
  if (message.kind === kind) {
    return message as Extract<PeerMessage, {kind: K}>;
  }
  throw new ProtocolError(`expected "${kind}", got "${message.kind}"`);
}
