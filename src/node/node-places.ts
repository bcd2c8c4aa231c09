/** Where the work of a group, a team's budget or the store's changes is. */
import type {Consistency} from '../catalog/types.js';
import {peerAddressOf} from '../fleet/member-list.js';
import type {FleetMember} from '../fleet/member-record.js';
import {chooseWatchers, orderWatchers} from '../fleet/watchers.js';
import type {HomeMonitor} from '../home/home-monitor.js';
import type {PeerAddress} from '../peers/types.js';
import {chooseNearbyReader} from '../routing/nearby-reader.js';
import type {NodePicture} from './node-picture.js';

/** What the places are told from. */
export interface NodePlacesOptions {
  readonly self: string;
  readonly dataCentre: string;
  readonly picture: Pick<NodePicture, 'members' | 'entries'>;
  /** Tells which nodes are silent. */
  readonly watch: Pick<HomeMonitor, 'isSilent'>;
}

/**
 * @example
 * const [home] = places.homeOrder('claims');
 */
export class NodePlaces {
  readonly #options: NodePlacesOptions;

  constructor(options: NodePlacesOptions) {
    this.#options = options;
  }

  /** Homes lie near the primary: every write and most bytes go there. */
  homeOrder(group: string): readonly FleetMember[] {
    const {members} = this.#options.picture;
    return members.homeOrder(`home ${group}`, this.#primaryPlace(group));
  }

  isFirstHome(group: string): boolean {
    return this.homeOrder(group)[0]?.id === this.#options.self;
  }

  /** Whether this node is the first of a group's homes that answers it. */
  isResponsible(group: string): boolean {
    return (
      this.firstAnswering(this.homeOrder(group))?.id === this.#options.self
    );
  }

  /** The node that serves a group's reads in a data centre, if one does. */
  readerIn(group: string, dataCentre: string): FleetMember | undefined {
    return this.#readerFor(group, dataCentre, true, 'session');
  }

  /** The reader to ask before the home of a statement's group. */
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

  /** Nodes in order of preference as the owner of a team's budget. */
  budgetOrder(team: string): readonly FleetMember[] {
    return this.#options.picture.members.homeOrder(`budget ${team}`);
  }

  /** The watchers that this node asks; none where it is one itself. */
  watchersToAsk(): readonly PeerAddress[] {
    const {self: id, dataCentre, picture, watch} = this.#options;
    const watchers = chooseWatchers(picture.members.live());
    if (watchers.some(one => one.id === id)) return [];
    return orderWatchers(watchers, {id, dataCentre})
      .filter(one => !watch.isSilent(one.id))
      .map(peerAddressOf);
  }

  /** The first of an order that gives signs of life to this node. */
  firstAnswering(order: readonly FleetMember[]): FleetMember | undefined {
    return order.find(({id}) => !this.#options.watch.isSilent(id));
  }

  #readerFor(
    group: string,
    dataCentre: string,
    isRead: boolean,
    consistency: Consistency,
  ): FleetMember | undefined {
    const {members} = this.#options.picture;
    return chooseNearbyReader({
      isRead,
      consistency,
      dataCentre,
      home: this.homeOrder(group)[0],
      readers: members.homeOrder(`home ${group}`, dataCentre),
      hasReplica: this.#hasReplica(group, dataCentre),
    });
  }

  #primaryPlace(group: string): string | undefined {
    for (const entry of this.#options.picture.entries) {
      if (entry.group === group && entry.role === 'primary') {
        return entry.dataCentre;
      }
    }
    return undefined;
  }

  #hasReplica(group: string, dataCentre: string): boolean {
    for (const entry of this.#options.picture.entries) {
      const isHere = entry.group === group && entry.dataCentre === dataCentre;
      if (isHere && entry.role === 'replica' && !entry.isDraining) return true;
    }
    return false;
  }
}
