/** The record of a node's right to send work to a group's primary. */
import * as z from 'zod';
import type {PeerAddress} from '../peers/types.js';

/** Key prefix of the rights; the group's name and the node's id follow. */
const RIGHT_PREFIX = 'zinnia/rights/';

const holderSchema = z.object({
  id: z.string().min(1),
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
});

/** Key prefix of all rights to a group. */
export function rightsPrefix(group: string): string {
  return `${RIGHT_PREFIX}${group}/`;
}

/** The key of a node's right to a group. */
export function rightKey(group: string, node: string): string {
  return `${rightsPrefix(group)}${node}`;
}

/** Encodes where the holder of a right can be asked to hand it back. */
export function encodeHolder(holder: PeerAddress): string {
  const {id, host, port} = holder;
  return JSON.stringify({id, host, port});
}

/** Decodes the holder of a right; undefined if the record is malformed. */
export function decodeHolder(value: string): PeerAddress | undefined {
  try {
    const parsed = holderSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
