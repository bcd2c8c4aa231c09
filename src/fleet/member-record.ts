/** What a node writes of itself into the store. */
import * as z from 'zod';

/** A node of the fleet. */
export interface FleetMember {
  readonly id: string;
  readonly host: string;
  /** Port on which nodes talk to one another. */
  readonly port: number;
  readonly dataCentre: string;
  /** Random for each start of the process. */
  readonly instance: string;
  /** Processor time that the node may use, in cores. */
  readonly cores: number;
  /** Whether it hands its work over and takes no more. */
  readonly isLeaving: boolean;
}

/** Keys of members start with this. */
export const MEMBER_PREFIX = 'zinnia/members/';

const memberSchema = z.object({
  id: z.string().min(1),
  host: z.string().min(1),
  port: z.int().min(1).max(65_535),
  dataCentre: z.string(),
  instance: z.string(),
  cores: z.number().positive(),
  isLeaving: z.boolean(),
});

/** The key under which a node announces itself. */
export function memberKey(id: string): string {
  return `${MEMBER_PREFIX}${id}`;
}

/** Writes a member as its key's value. */
export function encodeMember(member: FleetMember): string {
  return JSON.stringify(member);
}

/** Reads a member; undefined if the value is malformed. */
export function decodeMember(value: string): FleetMember | undefined {
  try {
    const parsed = memberSchema.safeParse(JSON.parse(value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
