/** Messages by which a node requests the store's changes from another node. */
import {deflateSync, inflateSync} from 'node:zlib';
import * as z from 'zod';
import type {ChangeSet} from '../infra/leased-store.js';
import type {StorePosition} from '../infra/store-position.js';

/** Peer method by which nodes request changes from a watcher. */
export const RELAY_METHOD = 'feed.changes';
/** Shorter values gain less from compression than it costs. */
const MIN_COMPRESSED_CHARACTERS = 1_024;
/** Upper bound of a decompressed value, so that a peer can't exhaust the memory. */
const MAX_VALUE_BYTES = 16 * 1024 * 1024;

const requestSchema = z.object({
  after: z.int().optional(),
  /** Era of `after` and `known`; a store without eras is in era 0. */
  era: z.int().default(0),
  /** The requester has been sent the changes up to here. */
  known: z.int().optional(),
  /** Requests the latest changes of these keys only. */
  keys: z.array(z.string()).optional(),
  /** Whether the requester accepts values compressed by zlib. */
  deflate: z.boolean().default(false),
});
const valueSchema = z.union([z.string(), z.null(), z.instanceof(Uint8Array)]);
const changesSchema = z.object({
  /** Key, value and revision; a value in bytes is compressed. */
  changes: z.array(z.tuple([z.string(), valueSchema, z.int()])),
  /** Key and revision of changes that the requester should have. */
  held: z.array(z.tuple([z.string(), z.int()])).default([]),
  asOf: z.int(),
  /** Revision up to which changes may be included; `asOf` if absent. */
  upTo: z.int().optional(),
  era: z.int().default(0),
  ageMs: z.number(),
  interruptedMsAgo: z.union([z.number(), z.null()]),
});
const replySchema = z.union([
  z.object({isGone: z.literal(true)}),
  changesSchema,
]);

/** A decoded request for changes. */
export type RelayRequest = z.infer<typeof requestSchema>;
/** A watcher's reply. */
export type RelayReply = z.input<typeof replySchema>;
/** The changes of a reply. */
export type SentChanges = Pick<
  z.input<typeof changesSchema>,
  'changes' | 'held'
>;
/** A change's value as it is sent: text, removed, or compressed. */
export type SentValue = z.infer<typeof valueSchema>;
/** A value that was compressed by zlib. */
export type CompressedValue = Exclude<SentValue, string | null>;

/** A change that a reply names without its value. */
export interface HeldChange {
  readonly key: string;
  readonly at: StorePosition;
}

/** A watcher's decoded reply. */
export interface RelayedChanges extends ChangeSet {
  /** Changes that the requester should have; it requests those it lacks. */
  readonly held: readonly HeldChange[];
}

/**
 * Encodes a request for the changes after a position, or for all values. For
 * changes up to `known`, the reply may name key and revision only.
 *
 * @example
 * encodeRelayRequest({era: 0, revision: 1207}, {era: 0, revision: 1230});
 */
export function encodeRelayRequest(
  after?: StorePosition,
  known?: StorePosition,
): unknown {
  if (after === undefined) return {deflate: true};
  const {era, revision} = after;
  const isSameEra = known !== undefined && known.era === era;
  return {
    after: revision,
    era,
    deflate: true,
    ...(isSameEra ? {known: known.revision} : {}),
  };
}

/** Encodes a request for the latest changes of some keys in full. */
export function encodeKeysRequest(
  after: StorePosition,
  keys: readonly string[],
): unknown {
  return {after: after.revision, era: after.era, deflate: true, keys};
}

/** Decodes a request; throws if it is malformed. */
export function decodeRelayRequest(body: unknown): RelayRequest {
  return requestSchema.parse(body);
}

/**
 * Decodes a watcher's reply; undefined if the watcher no longer has the
 * requested history. Throws if the reply is malformed.
 */
export function decodeRelayReply(body: unknown): RelayedChanges | undefined {
  const reply = replySchema.parse(body);
  if ('isGone' in reply) return undefined;
  const {changes, held, asOf, upTo = asOf, era, ageMs} = reply;
  return {
    events: changes.map(([key, value, revision]) => ({
      key,
      value: decompressValue(value),
      revision,
    })),
    held: held.map(([key, revision]) => ({key, at: {era, revision}})),
    asOf: {era, revision: asOf},
    upTo: {era, revision: upTo},
    ageMs,
    interruptedMsAgo: reply.interruptedMsAgo ?? undefined,
  };
}

/** Compresses a value; undefined if it is too short to gain from it. */
export function compressValue(value: string): CompressedValue | undefined {
  if (value.length < MIN_COMPRESSED_CHARACTERS) return undefined;
  return deflateSync(value);
}

function decompressValue(value: SentValue): string | undefined {
  if (value === null || typeof value === 'string') return value ?? undefined;
  const options = {maxOutputLength: MAX_VALUE_BYTES};
  return inflateSync(value, options).toString('utf8');
}
