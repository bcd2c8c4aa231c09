/**
 * The latest order to promote a database, as it stands in the store.
 *
 * Whoever may have to act while an order is under way reads it there: whether
 * the node that gave it lives or not, the order names the only database that may
 * serve as primary from then on.
 */
import * as z from 'zod';
import type {LeasedStore} from '../infra/leased-store.js';

/** Key prefix of the orders; the group's name follows. */
export const ORDER_PREFIX = 'zinnia/primaries/';

/** An order to promote a database. */
export interface PrimaryOrder {
  readonly databaseId: string;
  /** The lowest term that the database leads once the order took effect. */
  readonly term: number;
  /**
   * Whether it was a replica when the order was given, so that it leads by the
   * order once it reports that it is the primary. A new primary reports the old
   * term until its first commit.
   */
  readonly wasReplica: boolean;
  /** Fencing token of the order; that of a later order is higher. */
  readonly token: number;
  /** Id of the node that gave the order. */
  readonly orderer: string;
}

/** The shape of an order, in the store and between nodes. */
export const orderSchema = z.object({
  databaseId: z.string().min(1),
  term: z.int().min(0),
  wasReplica: z.boolean(),
  token: z.int().min(1),
  orderer: z.string(),
});

/** The key of a group's order. */
export function orderKey(group: string): string {
  return `${ORDER_PREFIX}${group}`;
}

/**
 * Encodes an order as the value of its key.
 *
 * @example
 * await store.swap(orderKey('claims'), 0, encodeOrder(order));
 */
export function encodeOrder(order: PrimaryOrder): string {
  return JSON.stringify(order);
}

/** Decodes the value of an order's key; undefined if it is malformed. */
export function decodeOrder(
  value: string | undefined,
): PrimaryOrder | undefined {
  if (value === undefined) return undefined;
  try {
    const parsed = orderSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** A group's order in the store. */
export interface StoredOrder {
  /** Undefined if there is none or it is malformed. */
  readonly order: PrimaryOrder | undefined;
  /** Revision of the key; 0 if it is missing. */
  readonly revision: number;
  /** The store's era when it was read. */
  readonly era: number;
}

/**
 * Reads a group's order from the store.
 *
 * @example
 * const {order, revision} = await readOrder(store, 'claims');
 *
 * @throws StoreError if the store fails
 */
export async function readOrder(
  store: Pick<LeasedStore, 'list'>,
  group: string,
): Promise<StoredOrder> {
  const key = orderKey(group);
  const {values, asOf} = await store.list(key);
  const stored = values.find(value => value.key === key);
  return {
    order: decodeOrder(stored?.value),
    revision: stored?.revision ?? 0,
    era: asOf.era,
  };
}
