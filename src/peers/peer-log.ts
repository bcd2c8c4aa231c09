/** Log events of peer connections. */

import {FrameError} from './framing.js';
import {HandshakeError} from './handshake.js';
import {ProtocolError} from './messages.js';

/** Why a connection ended or was rejected. */
export type PeerLogEventName =
  | 'peer-connection-closed'
  | 'peer-connection-silent'
  | 'peer-frame-rejected'
  | 'peer-handshake-rejected';

/** A log event; its fields are printed as key=value pairs. */
export interface PeerLogEvent {
  readonly event: PeerLogEventName;
  /** Id of the other node, or its address until the handshake is done. */
  readonly peer: string;
  readonly detail: string;
}

/** Receives log events; must not throw. */
export type PeerLog = (event: PeerLogEvent) => void;

/** Discards every event. */
export const ignorePeerLog: PeerLog = () => {};

/** Returns the log event for an error that ended a connection. */
export function logEventNameFor(err: unknown): PeerLogEventName {
  if (err instanceof FrameError) return 'peer-frame-rejected';
  if (err instanceof ProtocolError) return 'peer-frame-rejected';
  if (err instanceof HandshakeError) return 'peer-handshake-rejected';
  return 'peer-connection-closed';
}
