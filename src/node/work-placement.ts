/** Chooses the nodes for a group's work, a team's budget and the change feed. */
import {turnDelayMs, type EvacuationView} from '../catalog/evacuations.js';
import type {Catalog, Consistency} from '../catalog/types.js';
import {peerAddressOf} from '../fleet/member-list.js';
import type {FleetMember} from '../fleet/member-record.js';
import type {StoreAccess} from '../fleet/store-access.js';
import {chooseWatchers, orderWatchers} from '../fleet/watchers.js';
import type {HomeMonitor} from '../home/home-monitor.js';
import type {PeerAddress} from '../peers/types.js';
import {chooseNearbyReader} from '../routing/nearby-reader.js';
import type {Responsibility} from '../groups/failover-coordinator.js';
import type {ClusterState} from './cluster-state.js';

/** Watchers to try before the store is read directly. */
const MAX_WATCHERS_TRIED = 2;
/** Nodes that a node asks to call the store for it. */
const MAX_HELPERS = 4;

/** Dependencies of {@link WorkPlacement}. */
export interface WorkPlacementOptions {
  readonly self: string;
  readonly dataCentre: string;
  readonly clusterState: Pick<ClusterState, 'members' | 'entries'>;
  readonly evacuations: EvacuationView;
  /** Reports which nodes have stopped answering. */
  readonly homeMonitor: Pick<HomeMonitor, 'isSilent'>;
  /** Reports whether this node reaches the store. */
  readonly storeAccess: Pick<StoreAccess, 'isFailing'>;
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

  /**
   * Whether it is a group's turn to change its primary, which is in an evacuated
   * data centre. Groups take turns by name, and move up as others are done.
   */
  isEvacuationDue(group: string): boolean {
    const {clusterState, evacuations} = this.#options;
    const primaries = [...clusterState.entries].filter(
      ({role}) => role === 'primary',
    );
    const dataCentres = new Map(
      primaries.map(({group, dataCentre}) => [group, dataCentre]),
    );
    const evacuation = evacuations.find(dataCentres.get(group) ?? '');
    // Its primary is not announced as one: there is no turn to wait for.
    if (evacuation === undefined) return true;
    const groups = [...dataCentres]
      .filter(([, dataCentre]) => evacuations.useOf(dataCentre) !== 'open')
      .map(([name]) => name)
      .toSorted();
    const turn = {before: groups.indexOf(group), groups: groups.length};
    return evacuation.learntMsAgo >= turnDelayMs(turn);
  }

  /**
   * Returns the other nodes that send to a group's databases: its home, the node
   * that stands in for a silent one, and the readers.
   */
  otherSenders(group: string): readonly FleetMember[] {
    const {self, clusterState, homeMonitor} = this.#options;
    const homes = this.homeOrder(group);
    const dataCentres = new Set<string>();
    for (const entry of clusterState.entries) {
      if (entry.group === group) dataCentres.add(entry.dataCentre);
    }
    const readers = [...dataCentres].map(dataCentre =>
      this.readerIn(group, dataCentre),
    );
    const senders = new Set([
      homes[0],
      this.firstResponsive(homes),
      ...readers,
    ]);
    return [...senders].filter(
      member =>
        member !== undefined &&
        member.id !== self &&
        !homeMonitor.isSilent(member.id),
    ) as readonly FleetMember[];
  }

  /** Whether a node is a member that answers, and this is its current process. */
  isCurrent(node: string, instance: string): boolean {
    const {clusterState, homeMonitor} = this.#options;
    const member = clusterState.members.find(node);
    if (member === undefined || member.isLeaving) return false;
    return member.instance === instance && !homeMonitor.isSilent(node);
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

  /**
   * Returns the nodes to read the store's changes from, the first to try first;
   * none for a watcher that reaches the store itself.
   */
  feedSources(): readonly PeerAddress[] {
    const {self, clusterState, storeAccess} = this.#options;
    if (storeAccess.isFailing) return this.storeHelpers();
    const watchers = chooseWatchers(clusterState.members.live());
    if (watchers.some(({id}) => id === self)) return [];
    const others = this.#orderOthers(watchers).slice(0, MAX_WATCHERS_TRIED);
    return others.map(peerAddressOf);
  }

  /**
   * Returns the nodes that may call the store for this one: the watchers, which
   * call it most often, then any others.
   */
  storeHelpers(): readonly PeerAddress[] {
    const live = this.#options.clusterState.members.live();
    const watchers = chooseWatchers(live);
    const rest = live.filter(member => !watchers.includes(member));
    const helpers = [
      ...this.#orderOthers(watchers),
      ...this.#orderOthers(rest),
    ];
    return helpers.slice(0, MAX_HELPERS).map(peerAddressOf);
  }

  /** The other, responsive nodes of a list, the nearest first. */
  #orderOthers(members: readonly FleetMember[]): readonly FleetMember[] {
    const {self: id, dataCentre, homeMonitor} = this.#options;
    return orderWatchers(members, {id, dataCentre}).filter(
      member => member.id !== id && !homeMonitor.isSilent(member.id),
    );
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
    const {clusterState, evacuations} = this.#options;
    if (evacuations.useOf(dataCentre) !== 'open') return false;
    for (const database of clusterState.entries) {
      const isCandidate =
        database.group === group && database.dataCentre === dataCentre;
      if (isCandidate && database.role === 'replica' && !database.isDraining)
        return true;
    }
    return false;
  }
}
