/** Messages by which a node has a peer call the store. */
import * as z from 'zod';
import {LeaseGoneError, type LeasedStore} from '../infra/leased-store.js';
import {StoreError} from '../infra/store.js';

/** Peer method that calls the store for another node. */
export const STORE_CALL_METHOD = 'store.call';

const callSchema = z.discriminatedUnion('op', [
  z.object({op: z.literal('list'), prefix: z.string().min(1)}),
  z.object({
    op: z.literal('swap'),
    key: z.string().min(1),
    expected: z.int().nonnegative(),
    value: z.string().optional(),
    lease: z.string().optional(),
  }),
  z.object({op: z.literal('grant'), ttlMs: z.number().positive()}),
  z.object({op: z.literal('renew'), lease: z.string()}),
]);

const eraSchema = z.int().nonnegative();
const positionSchema = z.object({era: eraSchema, revision: z.int()});
const valueSchema = z.object({
  key: z.string(),
  value: z.string(),
  revision: z.int(),
});
const snapshotSchema = z.object({
  values: z.array(valueSchema),
  asOf: positionSchema,
});
const swapSchema = z.union([
  z.object({kind: z.literal('swapped'), at: positionSchema}),
  z.object({
    kind: z.literal('conflict'),
    current: valueSchema.optional(),
    era: eraSchema,
  }),
]);
const leaseSchema = z.object({
  id: z.string(),
  ttlMs: z.number(),
  era: eraSchema,
});
const renewalSchema = z.object({isAlive: z.boolean(), era: eraSchema});

/** Results by operation. */
const RESULT_SCHEMAS = {
  list: snapshotSchema,
  swap: swapSchema,
  grant: leaseSchema,
  renew: renewalSchema,
};

const replySchema = z.union([
  z.object({kind: z.literal('done'), result: z.unknown().optional()}),
  z.object({kind: z.literal('leaseGone')}),
  z.object({
    kind: z.literal('failed'),
    failure: z.enum(['notSent', 'unknown']),
    message: z.string(),
  }),
]);

/** The part of the store that peers call for one another. */
export type CallableStore = Pick<
  LeasedStore,
  'list' | 'swap' | 'grant' | 'renew'
>;
/** A call of the store. */
export type StoreCall = z.infer<typeof callSchema>;
/** What a peer replies to a {@link StoreCall}. */
export type StoreCallReply = z.infer<typeof replySchema>;
/** The result of an operation. */
export type StoreCallResult<Op extends StoreCall['op']> = z.infer<
  (typeof RESULT_SCHEMAS)[Op]
>;

/** Decodes a reply; throws if it is malformed. */
export function decodeStoreCallReply(body: unknown): StoreCallReply {
  return replySchema.parse(body);
}

/** Decodes the result of an operation; throws if it is malformed. */
export function decodeStoreCallResult<Op extends StoreCall['op']>(
  op: Op,
  result: unknown,
): StoreCallResult<Op> {
  return RESULT_SCHEMAS[op].parse(result) as StoreCallResult<Op>;
}

/** Runs a call at the store. */
export function runStoreCall(
  store: CallableStore,
  call: StoreCall,
): Promise<unknown> {
  switch (call.op) {
    case 'list':
      return store.list(call.prefix);
    case 'swap':
      return store.swap(call.key, call.expected, call.value, call.lease);
    case 'grant':
      return store.grant(call.ttlMs);
    case 'renew':
      return store.renew(call.lease);
  }
}

/**
 * Calls the store for another node.
 *
 * @throws Error if the call is malformed
 */
export async function serveStoreCall(
  store: CallableStore,
  body: unknown,
): Promise<StoreCallReply> {
  const call = callSchema.parse(body);
  try {
    return {kind: 'done', result: await runStoreCall(store, call)};
  } catch (err) {
    if (err instanceof LeaseGoneError) return {kind: 'leaseGone'};
    if (!(err instanceof StoreError)) throw err;
    return {kind: 'failed', failure: err.kind, message: err.message};
  }
}
