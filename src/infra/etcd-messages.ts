/** Encoding and validation of the etcd v3 JSON gateway's messages. */
import * as z from 'zod';
import type {StoredValue, WatchEvent} from './store.js';

const int64Schema = z.coerce.number().int().min(0);
const base64TextSchema = z
  .string()
  .default('')
  .transform(text => Buffer.from(text, 'base64').toString());

const keyValueSchema = z.object({
  key: base64TextSchema,
  value: base64TextSchema,
  mod_revision: int64Schema.default(0),
});

const headerSchema = z.object({revision: int64Schema.default(0)});

/** Response of `/v3/kv/range`. */
export const rangeResponseSchema = z.object({
  kvs: z.array(keyValueSchema).default([]),
});

/** Response of the `/v3/kv/txn` request of a compare-and-swap. */
export const swapResponseSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: rangeResponseSchema.optional()}))
    .default([]),
});

/** Response of `/v3/lease/grant`. */
export const leaseGrantResponseSchema = z.object({ID: z.string()});

/** Response of `/v3/lease/keepalive`; an expired lease has no TTL. */
export const keepAliveResponseSchema = z.object({
  result: z.object({TTL: int64Schema.default(0)}),
});

/** One line of a `/v3/watch` stream. */
export const watchResponseSchema = z.object({
  result: z.object({
    header: headerSchema,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    cancel_reason: z.string().optional(),
    compact_revision: int64Schema.default(0),
    events: z
      .array(
        z.object({
          type: z.enum(['PUT', 'DELETE']).default('PUT'),
          kv: keyValueSchema,
        }),
      )
      .default([]),
  }),
});

/** The decoded content of one line of a watch stream. */
export type WatchResponse = z.infer<typeof watchResponseSchema>['result'];

/** Encodes a text as a base64 field. */
export function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

/**
 * Returns the exclusive end of the range of keys that start with `prefix`, as a
 * base64 field.
 */
export function encodePrefixRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.findLastIndex(byte => byte < 0xff);
  if (last < 0) return Buffer.from([0]).toString('base64');
  const end = Buffer.from(bytes.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end.toString('base64');
}

/** Converts a decoded key-value pair to the type of the store port. */
export function toStoredValue(
  entry: z.infer<typeof keyValueSchema>,
): StoredValue {
  const {key, value, mod_revision: revision} = entry;
  return {key, value, revision};
}

/** Converts the events of a watch response to the type of the store port. */
export function toWatchEvents(response: WatchResponse): readonly WatchEvent[] {
  return response.events.map(event => ({
    key: event.kv.key,
    value: event.type === 'DELETE' ? undefined : event.kv.value,
    revision: event.kv.mod_revision,
  }));
}
