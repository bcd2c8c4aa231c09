/** Chooses the nodes for a group's work, a team's budget and the change feed. */
import type {Catalog, Consistency} from '../catalog/types.js';
import {peerAddressOf} from '../fleet/member-list.js';
import type {FleetMember} from '../fleet/member-record.js';
import {chooseWatchers, orderWatchers} from '../fleet/watchers.js';
import type {HomeMonitor} from '../home/home-monitor.js';
import type {PeerAddress} from '../peers/types.js';
import {chooseNearbyReader} from '../routing/nearby-reader.js';
import type {Responsibility} from '../groups/failover-coordinator.js';
import type {ClusterState} from './cluster-state.js';

/** Dependencies of {@link WorkPlacement}. */
export interface WorkPlacementOptions {
  readonly self: string;
  readonly dataCentre: string;
  readonly clusterState: Pick<ClusterState, 'members' | 'entries'>;
  /** Reports which nodes have stopped answering. */
  readonly homeMonitor: Pick<HomeMonitor, 'isSilent'>;
}

/**
 * Ranks the members for each kind of work. Only the methods that say so skip
 * silent nodes.
 *
 * @example
 * const [home] = placement.homeOrder('claims');
 */
export class WorkPlacement {
  readonly #options: WorkPlacementOptions;

  constructor(options: WorkPlacementOptions) {
    this.#options = options;
  }

  /**
   * Returns the nodes in order of preference as a group's home. Prefers the
   * primary's data centre: every write and most bytes go there.
   */
  homeOrder(group: string): readonly FleetMember[] {
    const {members} = this.#options.clusterState;
    return members.homeOrder(`home ${group}`, this.#primaryDataCentre(group));
  }

  isFirstHome(group: string): boolean {
    return this.homeOrder(group)[0]?.id === this.#options.self;
  }

  /**
   * Returns the node that should replace a group's primary: the first of its
   * homes that is not silent.
   */
  responsibility(group: string): Responsibility {
    const order = this.homeOrder(group);
    const node = this.firstResponsive(order)?.id;
    return {
      node,
      isSelf: node === this.#options.self,
      firstHome: order[0]?.id,
      primaryDataCentre: this.#primaryDataCentre(group),
      members: order.length,
    };
  }

  /** Returns the node that serves a group's reads in a data centre, if any. */
  readerIn(group: string, dataCentre: string): FleetMember | undefined {
    return this.#readerFor(group, dataCentre, true, 'session');
  }

  /** Returns the reader that is tried before the home of the statement's group. */
  readerOf(req: {
    readonly group: string;
    readonly kind: 'read' | 'write';
    readonly opens: 'readOnly' | 'readWrite' | undefined;
    readonly consistency: Consistency;
  }): PeerAddress | undefined {
    const {group, kind, opens, consistency} = req;
    const isRead = kind === 'read' || opens === 'readOnly';
    const {dataCentre} = this.#options;
    const reader = this.#readerFor(group, dataCentre, isRead, consistency);
    return reader && peerAddressOf(reader);
  }

  /** Returns the nodes in order of preference as the owner of a team's budget. */
  budgetOrder(team: string): readonly FleetMember[] {
    return this.#options.clusterState.members.stewardOrder(`budget ${team}`);
  }

  /**
   * Whether this node does work that other nodes wait to take over: a home, a
   * team's budget or the change feed.
   */
  hasWork({groups, teams}: Pick<Catalog, 'groups' | 'teams'>): boolean {
    const {self, clusterState} = this.#options;
    const isWatcher = chooseWatchers(clusterState.members.live()).some(
      ({id}) => id === self,
    );
    if (isWatcher) return true;
    for (const group of groups.keys()) {
      if (this.isFirstHome(group)) return true;
    }
    for (const team of teams.keys()) {
      if (this.budgetOrder(team)[0]?.id === self) return true;
    }
    return false;
  }

  /** Returns the watchers to query, without silent ones; none for a watcher itself. */
  watchersToQuery(): readonly PeerAddress[] {
    const {self: id, dataCentre, clusterState, homeMonitor} = this.#options;
    const watchers = chooseWatchers(clusterState.members.live());
    if (watchers.some(watcher => watcher.id === id)) return [];
    return orderWatchers(watchers, {id, dataCentre})
      .filter(watcher => !homeMonitor.isSilent(watcher.id))
      .map(peerAddressOf);
  }

  /** Returns the first node of an order that this node does not find silent. */
  firstResponsive(order: readonly FleetMember[]): FleetMember | undefined {
    return order.find(({id}) => !this.#options.homeMonitor.isSilent(id));
  }

  #readerFor(
    group: string,
    dataCentre: string,
    isRead: boolean,
    consistency: Consistency,
  ): FleetMember | undefined {
    const {members} = this.#options.clusterState;
    return chooseNearbyReader({
      isRead,
      consistency,
      dataCentre,
      home: this.homeOrder(group)[0],
      readers: members.homeOrder(`home ${group}`, dataCentre),
      hasReplica: this.#hasReplica(group, dataCentre),
    });
  }

  #primaryDataCentre(group: string): string | undefined {
    for (const database of this.#options.clusterState.entries) {
      if (database.group === group && database.role === 'primary') {
        return database.dataCentre;
      }
    }
    return undefined;
  }

  #hasReplica(group: string, dataCentre: string): boolean {
    for (const database of this.#options.clusterState.entries) {
      const isCandidate =
        database.group === group && database.dataCentre === dataCentre;
      if (isCandidate && database.role === 'replica' && !database.isDraining)
        return true;
    }
    return false;
  }
}
