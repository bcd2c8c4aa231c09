/** Implements the calls of the etcd v3 gateway, independent of HTTP. */
import type {CallKind} from './faults.js';
import type {Leases} from './leases.js';
import {
  GatewayError,
  createHeader,
  createInvalidArgument,
  formatEntry,
  readArray,
  readBytes,
  readInt,
  readObject,
  readRange,
  type Body,
} from './messages.js';
import type {PutRequest, Revisions} from './revisions.js';

/** Maximum size of a value. */
export const MAX_VALUE_BYTES = 1024 * 1024;

/** The keys and leases that calls read and change. */
export interface StoreData {
  readonly revisions: Revisions;
  readonly leases: Leases;
}

/** The response to a call. */
export interface CallAnswer {
  readonly body: Body;
  /** True if the call changed a key or a lease; its response may be lost. */
  readonly wrote: boolean;
}

/**
 * Handles one call; throws a {@link GatewayError} if the request is invalid.
 */
export type CallHandler = (data: StoreData, body: Body) => CallAnswer;

/** A path of the gateway with a single response. */
export interface Route {
  readonly kind: CallKind;
  readonly handle: CallHandler;
}

/** Paths with a single response; `/v3/watch` streams instead. */
export const ROUTES: ReadonlyMap<string, Route> = new Map([
  ['/v3/kv/range', {kind: 'range', handle: handleRange}],
  ['/v3/kv/put', {kind: 'put', handle: handlePut}],
  ['/v3/kv/txn', {kind: 'txn', handle: handleTxn}],
  ['/v3/kv/compaction', {kind: 'compaction', handle: handleCompaction}],
  ['/v3/lease/grant', {kind: 'leaseGrant', handle: handleGrant}],
  ['/v3/lease/keepalive', {kind: 'leaseKeepAlive', handle: handleKeepAlive}],
  ['/v3/lease/revoke', {kind: 'leaseRevoke', handle: handleRevoke}],
  ['/v3/kv/lease/revoke', {kind: 'leaseRevoke', handle: handleRevoke}],
]);

function handleRange(data: StoreData, body: Body): CallAnswer {
  return {body: createRangeAnswer(data, body), wrote: false};
}

function createRangeAnswer({revisions}: StoreData, body: Body): Body {
  const entries = revisions.range(readRange(body));
  const header = createHeader(revisions.revision);
  if (entries.length === 0) return {header};
  const kvs = entries.map(formatEntry);
  return {header, kvs, count: String(kvs.length)};
}

function handlePut(data: StoreData, body: Body): CallAnswer {
  data.revisions.put([readPut(data, body)]);
  return {
    body: {header: createHeader(data.revisions.revision)},
    wrote: true,
  };
}

function handleTxn(data: StoreData, body: Body): CallAnswer {
  const succeeded = readArray(body, 'compare').every(compare =>
    isComparisonTrue(data, compare),
  );
  const operations = readArray(body, succeeded ? 'success' : 'failure');
  const puts = operations
    .map(operation => operation.request_put)
    .filter(put => put !== undefined)
    .map(put => readPut(data, put as Body));
  data.revisions.put(puts);
  const header = createHeader(data.revisions.revision);
  const responses = operations.map(operation =>
    operation.request_put === undefined
      ? {
          response_range: createRangeAnswer(
            data,
            readObject(operation, 'request_range'),
          ),
        }
      : {response_put: {header}},
  );
  return {
    body: {header, ...(succeeded ? {succeeded} : {}), responses},
    wrote: puts.length > 0,
  };
}

function isComparisonTrue({revisions}: StoreData, compare: Body): boolean {
  const {start} = readRange(compare);
  const result = compare.result ?? 'EQUAL';
  if (result !== 'EQUAL') {
    throw createInvalidArgument('the stand-in compares for EQUAL only');
  }
  const entry = revisions.get(start);
  if (compare.target === 'MOD') {
    return (entry?.modRevision ?? 0) === readInt(compare, 'mod_revision');
  }
  if (compare.target === 'CREATE') {
    return (entry?.createRevision ?? 0) === readInt(compare, 'create_revision');
  }
  throw createInvalidArgument('the stand-in compares MOD and CREATE only');
}

function readPut({leases}: StoreData, body: Body): PutRequest {
  const {start: key} = readRange(body);
  const value = readBytes(body, 'value') ?? '';
  if (value.length > MAX_VALUE_BYTES) {
    throw createInvalidArgument('etcdserver: request is too large');
  }
  const leaseId = String(body.lease ?? '0');
  if (leaseId === '0') return {key, value, lease: undefined};
  if (!leases.has(leaseId)) throw createLeaseNotFound();
  return {key, value, lease: leaseId};
}

function handleCompaction({revisions}: StoreData, body: Body): CallAnswer {
  revisions.compact(readInt(body, 'revision'));
  return {body: {header: createHeader(revisions.revision)}, wrote: false};
}

function handleGrant({revisions, leases}: StoreData, body: Body): CallAnswer {
  const ttl = readInt(body, 'TTL');
  if (ttl < 1) throw createInvalidArgument('TTL must be at least 1 second');
  const header = createHeader(revisions.revision);
  const answer = {header, ID: leases.grant(ttl), TTL: String(ttl)};
  return {body: answer, wrote: true};
}

function handleKeepAlive(data: StoreData, body: Body): CallAnswer {
  const id = String(body.ID);
  const ttl = data.leases.keepAlive(id);
  const header = createHeader(data.revisions.revision);
  const expired = {header, ID: id};
  const result = ttl === undefined ? expired : {...expired, TTL: String(ttl)};
  return {body: {result}, wrote: false};
}

function handleRevoke(data: StoreData, body: Body): CallAnswer {
  if (!data.leases.revoke(String(body.ID))) throw createLeaseNotFound();
  const header = createHeader(data.revisions.revision);
  return {body: {header}, wrote: true};
}

function createLeaseNotFound(): GatewayError {
  return new GatewayError(404, 5, 'etcdserver: requested lease not found');
}
