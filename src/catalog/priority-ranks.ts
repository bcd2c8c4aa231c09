/** The rank of each configured priority; routes may leave numbers out. */
import type {Route} from './types.js';

/**
 * Returns the rank of each priority that a route has, 0 for the most urgent.
 *
 * @example
 * rankPriorities([{priority: 4}, {priority: 1}]).get(4); // 1
 */
export function rankPriorities(
  routes: Iterable<Pick<Route, 'priority'>>,
): ReadonlyMap<number, number> {
  const configured = new Set([...routes].map(({priority}) => priority));
  const ascending = [...configured].toSorted((a, b) => a - b);
  return new Map(ascending.map((priority, rank) => [priority, rank]));
}
