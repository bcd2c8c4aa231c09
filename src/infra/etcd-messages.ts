/** The messages of the etcd v3 JSON gateway, checked as they come in. */
import * as z from 'zod';
import type {StoredValue, WatchEvent} from './store.js';

const int64Schema = z.coerce.number().int().min(0);
const textSchema = z
  .string()
  .default('')
  .transform(text => Buffer.from(text, 'base64').toString());

const entrySchema = z.object({
  key: textSchema,
  value: textSchema,
  mod_revision: int64Schema.default(0),
});

const headerSchema = z.object({revision: int64Schema.default(0)});

/** The answer to `/v3/kv/range`. */
export const rangeAnswerSchema = z.object({
  kvs: z.array(entrySchema).default([]),
});

/** The answer to the transaction of a compare-and-swap. */
export const swapAnswerSchema = z.object({
  header: headerSchema,
  succeeded: z.boolean().default(false),
  responses: z
    .array(z.object({response_range: rangeAnswerSchema.optional()}))
    .default([]),
});

/** The answer to `/v3/lease/grant`. */
export const grantAnswerSchema = z.object({ID: z.string()});

/** The answer to `/v3/lease/keepalive`; a lapsed lease has no time to live. */
export const keepAliveAnswerSchema = z.object({
  result: z.object({TTL: int64Schema.default(0)}),
});

/** One line of a watch. */
export const watchLineSchema = z.object({
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
          kv: entrySchema,
        }),
      )
      .default([]),
  }),
});

/** One line of a watch, decoded. */
export type WatchLine = z.infer<typeof watchLineSchema>['result'];

/** A text as a base64 field. */
export function encodeText(text: string): string {
  return Buffer.from(text).toString('base64');
}

/** The end of the range of keys that start with `prefix`, as a base64 field. */
export function encodePrefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.findLastIndex(byte => byte < 0xff);
  if (last < 0) return Buffer.from([0]).toString('base64');
  const end = Buffer.from(bytes.subarray(0, last + 1));
  end[last] = (end[last] ?? 0) + 1;
  return end.toString('base64');
}

/** A decoded key as the port names it. */
export function createStoredValue(
  entry: z.infer<typeof entrySchema>,
): StoredValue {
  const {key, value, mod_revision: revision} = entry;
  return {key, value, revision};
}

/** The changes of one line as the port names them. */
export function createWatchEvents(line: WatchLine): readonly WatchEvent[] {
  return line.events.map(event => ({
    key: event.kv.key,
    value: event.type === 'DELETE' ? undefined : event.kv.value,
    revision: event.kv.mod_revision,
  }));
}
