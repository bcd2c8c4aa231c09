/** The two priority classes of PostgreSQL callers. */
import type {Priority} from '../home/types.js';

/** A caller's choice; urgent statements go first. */
export type PriorityClass = 'urgent' | 'ordinary';

/** The priority of each class in the queues of a home. */
export const PRIORITIES: Readonly<Record<PriorityClass, Priority>> = {
  urgent: 0,
  ordinary: 1,
};
