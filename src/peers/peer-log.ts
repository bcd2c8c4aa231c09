/** What the peer connections report to the log. */

import {FrameError} from './framing.js';
import {HandshakeError} from './handshake.js';
import {ProtocolError} from './messages.js';

/** Why a connection ended, or could not be used. */
export type PeerLogEventName =
  | 'peer-connection-closed'
  | 'peer-connection-silent'
  | 'peer-frame-rejected'
  | 'peer-handshake-rejected';

/** One event; fields are plain values for key=value lines. */
export interface PeerLogEvent {
  readonly event: PeerLogEventName;
  /** The other node's id, or its address before it introduced itself. */
  readonly peer: string;
  readonly detail: string;
}

/** Receives events. Must not throw. */
export type PeerLog = (event: PeerLogEvent) => void;

/** Drops every event. */
export const ignorePeerLog: PeerLog = () => {};

/** Chooses the event for an error that ended a connection. */
export function resolveLogEvent(err: unknown): PeerLogEventName {
  if (err instanceof FrameError) return 'peer-frame-rejected';
  if (err instanceof ProtocolError) return 'peer-frame-rejected';
  if (err instanceof HandshakeError) return 'peer-handshake-rejected';
  return 'peer-connection-closed';
}
