/** What the peer links report to the log. */

/** One event; fields are plain values for key=value lines. */
export interface PeerLogEvent {
  readonly event:
    | 'peer-connection-closed'
    | 'peer-connection-silent'
    | 'peer-frame-rejected'
    | 'peer-handshake-rejected'
    | 'peer-answer-unmatched';
  readonly peer: string;
  readonly detail: string;
}

/** Receives events. Must not throw. */
export type PeerLog = (event: PeerLogEvent) => void;

/** Drops every event. */
export const ignorePeerLog: PeerLog = () => {};
