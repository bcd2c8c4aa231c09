/** The messages of the etcd v3 JSON gateway that the stand-in speaks. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Change, KeyEntry, KeyRange} from './revisions.js';

const MAX_REQUEST_BYTES = 4 * 1024 * 1024;

/** A decoded request body. */
export type Body = Readonly<Record<string, unknown>>;

/** A request that the store refuses, with its gRPC status code. */
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

/** Builds the error for a request that makes no sense. */
export function createInvalidArgument(message: string): GatewayError {
  return new GatewayError(400, 3, message);
}

/** The header that every answer carries. */
export function createHeader(revision: number): Body {
  return {
    cluster_id: '1',
    member_id: '1',
    revision: String(revision),
    raft_term: '1',
  };
}

/** A base64 field as a binary string; undefined when absent or empty. */
export function readBytes(body: Body, field: string): string | undefined {
  const value = body[field];
  if (typeof value !== 'string' || value === '') return undefined;
  return Buffer.from(value, 'base64').toString('latin1');
}

/** A 64-bit integer field, which the gateway takes as a string or a number. */
export function readInt(body: Body, field: string): number {
  const value = Number(body[field] ?? 0);
  if (Number.isSafeInteger(value)) return value;
  throw createInvalidArgument(`${field} is not an integer`);
}

/** An object field; empty when absent. */
export function readObject(body: Body, field: string): Body {
  const value = body[field];
  return typeof value === 'object' && value !== null ? (value as Body) : {};
}

/** An array field; empty when absent. */
export function readArray(body: Body, field: string): readonly Body[] {
  const value = body[field];
  return Array.isArray(value) ? (value as Body[]) : [];
}

/** The range that a request names. */
export function readRange(body: Body): KeyRange {
  const start = readBytes(body, 'key');
  if (start === undefined) throw createInvalidArgument('key is not provided');
  return {start, end: readBytes(body, 'range_end')};
}

/** A key as the gateway writes it; zero fields are left out. */
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

/** A change as a watch delivers it; `PUT` is the type's default. */
export function formatChange(change: Change): Body {
  if (change.entry !== undefined) return {kv: formatEntry(change.entry)};
  const key = formatBytes(change.key);
  return {type: 'DELETE', kv: {key, mod_revision: String(change.revision)}};
}

/** Reads a request's JSON. */
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

/** Sends a JSON answer. */
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
