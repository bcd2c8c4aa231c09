/**
 * Chooses the nodes that follow the store and hand its changes on.
 *
 * Load pattern: every node needs the newest configuration all the time, while
 * the store takes a limited number of calls from all of them together. A watch
 * on each node costs calls in proportion to the fleet; a few watchers cost the
 * same however large it is, and the others ask them.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';
import {rankHomes} from './member-list.js';
import type {FleetMember} from './member-record.js';

/** Watchers of a small fleet: one may be lost without a gap. */
const MIN_WATCHERS = 2;
/** Nodes that one watcher serves; each asks it twice a second. */
const NODES_A_WATCHER = 50;

/**
 * The members that follow the store, the same on every node.
 *
 * @example
 * const isWatcher = chooseWatchers(members.live()).some(({id}) => id === self);
 */
export function chooseWatchers(
  members: readonly FleetMember[],
): readonly FleetMember[] {
  const count = MIN_WATCHERS + Math.floor(members.length / NODES_A_WATCHER);
  return rankHomes('watch', members).slice(0, count);
}

/**
 * The watchers in the order in which a node asks them: those of its own data
 * centre first, and different ones first for different nodes.
 *
 * @example
 * const [first, second] = orderWatchers(watchers, {id, dataCentre});
 */
export function orderWatchers(
  watchers: readonly FleetMember[],
  {id, dataCentre}: Pick<FleetMember, 'id' | 'dataCentre'>,
): readonly FleetMember[] {
  const distance = (one: FleetMember) =>
    one.dataCentre === dataCentre ? 0 : 1;
  return rankByRendezvous(id, watchers).toSorted(
    (a, b) => distance(a) - distance(b),
  );
}
