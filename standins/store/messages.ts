/** Reads and builds messages of the etcd v3 JSON gateway. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Change, KeyEntry, KeyRange} from './revisions.js';

const MAX_REQUEST_BYTES = 4 * 1024 * 1024;

/** A decoded JSON object. */
export type Body = Readonly<Record<string, unknown>>;

/** Error of a request, with its HTTP status and gRPC code. */
export class GatewayError extends Error {
  constructor(
    readonly status: number,
    readonly code: number,
    message: string,
  ) {
    super(message);
    this.name = 'GatewayError';
  }
}

/** Creates the error for an invalid request. */
export function createInvalidArgument(message: string): GatewayError {
  return new GatewayError(400, 3, message);
}

/** Creates the header of a response. */
export function createHeader(revision: number): Body {
  return {
    cluster_id: '1',
    member_id: '1',
    revision: String(revision),
    raft_term: '1',
  };
}

/** Decodes a base64 field to a binary string; undefined if absent or empty. */
export function readBytes(body: Body, field: string): string | undefined {
  const value = body[field];
  if (typeof value !== 'string' || value === '') return undefined;
  return Buffer.from(value, 'base64').toString('latin1');
}

/** Reads a 64-bit integer field, given as a string or a number; 0 if absent. */
export function readInt(body: Body, field: string): number {
  const value = Number(body[field] ?? 0);
  if (Number.isSafeInteger(value)) return value;
  throw createInvalidArgument(`${field} is not an integer`);
}

/** Returns an object field; empty if absent. */
export function readObject(body: Body, field: string): Body {
  const value = body[field];
  return typeof value === 'object' && value !== null ? (value as Body) : {};
}

/** Returns an array field; empty if absent. */
export function readArray(body: Body, field: string): readonly Body[] {
  const value = body[field];
  return Array.isArray(value) ? (value as Body[]) : [];
}

/** Reads the key range of a request. */
export function readRange(body: Body): KeyRange {
  const start = readBytes(body, 'key');
  if (start === undefined) throw createInvalidArgument('key is not provided');
  return {start, end: readBytes(body, 'range_end')};
}

/** Formats a key as the gateway does, without fields of the default value. */
export function formatEntry(entry: KeyEntry): Body {
  return {
    key: formatBytes(entry.key),
    create_revision: String(entry.createRevision),
    mod_revision: String(entry.modRevision),
    version: String(entry.version),
    ...(entry.value === '' ? {} : {value: formatBytes(entry.value)}),
    ...(entry.lease === undefined ? {} : {lease: entry.lease}),
  };
}

/** Formats a change for a watch; the default type `PUT` is left out. */
export function formatChange(change: Change): Body {
  if (change.entry !== undefined) return {kv: formatEntry(change.entry)};
  const key = formatBytes(change.key);
  return {type: 'DELETE', kv: {key, mod_revision: String(change.revision)}};
}

/** Reads and parses the JSON body of a request. */
export async function readBody(req: IncomingMessage): Promise<Body> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_REQUEST_BYTES) throw new Error('the request is too large');
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : (JSON.parse(text) as Body);
}

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, status: number, body: Body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

function formatBytes(bytes: string): string {
  return Buffer.from(bytes, 'latin1').toString('base64');
}
