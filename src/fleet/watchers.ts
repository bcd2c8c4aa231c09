/**
 * Chooses the watchers: the nodes that poll the store and relay its changes.
 *
 * Every node needs the latest configuration, but the store limits the number of
 * calls from all nodes together. If each node polled the store, the calls would
 * grow with the fleet; instead a few watchers poll it, and the other nodes
 * request the changes from them.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';
import {rankNodes} from './member-list.js';
import type {FleetMember} from './member-record.js';

/** Watchers of a small fleet; the loss of one causes no interruption. */
const MIN_WATCHERS = 2;
/** Nodes per additional watcher; each node sends it two requests a second. */
const NODES_PER_WATCHER = 50;

/**
 * The members that poll the store; every node chooses the same ones.
 *
 * @example
 * const isWatcher = chooseWatchers(members.live()).some(({id}) => id === self);
 */
export function chooseWatchers(
  members: readonly FleetMember[],
): readonly FleetMember[] {
  const count = MIN_WATCHERS + Math.floor(members.length / NODES_PER_WATCHER);
  return rankNodes('watch', members).slice(0, count);
}

/**
 * The watchers in the order in which a node tries them: those of its own data
 * centre first, and within each by rendezvous hashing, which spreads the load.
 *
 * @example
 * const [first, second] = orderWatchers(watchers, {id, dataCentre});
 */
export function orderWatchers(
  watchers: readonly FleetMember[],
  {id, dataCentre}: Pick<FleetMember, 'id' | 'dataCentre'>,
): readonly FleetMember[] {
  const distance = (watcher: FleetMember) =>
    watcher.dataCentre === dataCentre ? 0 : 1;
  return rankByRendezvous(id, watchers).toSorted(
    (a, b) => distance(a) - distance(b),
  );
}
