/** The record by which a node registers itself in the store. */
import * as z from 'zod';

/** A node of the fleet. */
export interface FleetMember {
  readonly id: string;
  readonly host: string;
  /** Port for peer connections. */
  readonly port: number;
  readonly dataCentre: string;
  /** Random for each start of the process. */
  readonly instance: string;
  /** CPU limit of the node, in cores. */
  readonly cores: number;
  /** Link of the node, in Mbit/s; a record without it counts as large enough. */
  readonly linkMbps?: number | undefined;
  /** Memory of the node, in MB; a record without it counts as large enough. */
  readonly memoryMb?: number | undefined;
  /** Whether the node finds itself slow. */
  readonly isSlow?: boolean | undefined;
  /** Whether the node is handing over its work and takes no more. */
  readonly isLeaving: boolean;
}

/** Key prefix of the member records. */
export const MEMBER_PREFIX = 'zinnia/members/';

const memberSchema = z.object({
  id: z.string().min(1),
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
  dataCentre: z.string(),
  instance: z.string(),
  cores: z.number().positive(),
  linkMbps: z.number().positive().optional(),
  memoryMb: z.number().positive().optional(),
  isSlow: z.boolean().optional(),
  isLeaving: z.boolean(),
});

/** The key of a node's member record. */
export function memberKey(id: string): string {
  return `${MEMBER_PREFIX}${id}`;
}

/** Encodes a member record. */
export function encodeMember(member: FleetMember): string {
  return JSON.stringify(member);
}

/** Decodes a member record; undefined if it is malformed. */
export function decodeMember(value: string): FleetMember | undefined {
  try {
    const parsed = memberSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
