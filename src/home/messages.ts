/** Peer methods of a group's home, and validation of their bodies. */
import type {ExecRequest} from './types.js';

/** Names of the peer methods. */
export const HOME_METHODS = {
  exec: 'home.exec',
  release: 'home.release',
  cancel: 'home.cancel',
  reach: 'home.reach',
  switchPrimary: 'home.switch',
} as const;

/** Body of a request to roll back an open transaction. */
export interface ReleaseMessage {
  readonly group: string;
  readonly pin: string;
}

/** Body of a request to cancel a session's statement. */
export interface CancelMessage {
  readonly group: string;
  readonly sessionId: string;
}

/** Body of a request about one database. */
export interface DatabaseMessage {
  readonly group: string;
  readonly databaseId: string;
}

/** Returns whether a peer's body is a batch to run. */
export function isExecRequest(body: unknown): body is ExecRequest {
  const req = body as Partial<ExecRequest> | null;
  return (
    typeof req === 'object' &&
    req !== null &&
    typeof req.group === 'string' &&
    typeof req.team === 'string' &&
    typeof req.sessionId === 'string' &&
    typeof req.deadlineMs === 'number' &&
    (req.kind === 'read' || req.kind === 'write') &&
    typeof req.priority === 'number' &&
    req.frames instanceof Uint8Array
  );
}

/** Returns whether a peer's body has all the given fields as strings. */
export function hasStrings<Field extends string>(
  body: unknown,
  ...fields: readonly Field[]
): body is Readonly<Record<Field, string>> {
  if (typeof body !== 'object' || body === null) return false;
  const record = body as Readonly<Record<string, unknown>>;
  return fields.every(field => typeof record[field] === 'string');
}
