/** Assembles a node's cluster membership, document replication and standing. */

import {randomUUID} from 'node:crypto';
import type {PeerConnector} from '../peers/peer-pool.js';
import type {PeerHandler} from '../peers/types.js';
import type {Clock, Random} from '../infra/clock.js';
import type {Store} from '../infra/store.js';
import {VM_LIST_KEY, type VmRecord} from '../infra/vm-list.js';
import {Dissemination} from '../rollout/dissemination.js';
import {Documents, type DocumentVersion} from '../rollout/documents.js';
import {isWatcher, StoreWatcher} from '../rollout/store-watcher.js';
import {Exchange} from './exchange.js';
import {
  StoreContactSection,
  LastContactSection,
  MembersSection,
} from './exchange-sections.js';
import {isVmRecord, type Member} from './member.js';
import {Members} from './members.js';
import {Prober} from './prober.js';
import {StandingMonitor} from './standing.js';
import {StoreContact} from './store-contact.js';

/** Concurrent gossip exchanges that announce that this VM is leaving. */
const LEAVE_ANNOUNCEMENTS = 3;

/** Dependencies and settings of {@link Coordination}. */
export interface CoordinationOptions {
  /** This node's own VM. */
  readonly self: VmRecord;
  readonly store: Store;
  readonly caller: PeerConnector;
  readonly clock: Clock;
  readonly random: Random;
  /** Identifies this process; by default a random id for each start. */
  readonly instance?: string;
  /** Maximum age of the last store contact at which the standing is current. */
  readonly standingLimitMs?: number;
  readonly watchersPerDataCentre?: number;
  /** Called with each error while watching the store. */
  readonly onStoreFailure?: (err: unknown) => void;
  /** Called when the list of VMs is malformed; the last valid one stays in use. */
  readonly onInvalidList?: (detail: string) => void;
}

/** Runs a node's membership protocol, gossip exchange and store watch. */
export class Coordination {
  readonly documents = new Documents();
  readonly storeContact: StoreContact;
  readonly members: Members;
  readonly standing: StandingMonitor;
  /** Peer methods that this node's peer server must serve. */
  readonly handlers: ReadonlyMap<string, PeerHandler>;
  readonly #options: CoordinationOptions;
  readonly #exchange: Exchange;
  readonly #prober: Prober;
  readonly #watcher: StoreWatcher;
  readonly #stopped = new AbortController();
  #isWatcherComputedFor: readonly Member[] | undefined;
  #isWatcher = false;
  #tasks: Promise<unknown> = Promise.resolve();

  constructor(options: CoordinationOptions) {
    const {self, clock, standingLimitMs: limitMs} = options;
    this.#options = options;
    this.storeContact = new StoreContact(clock);
    const instance = options.instance ?? randomUUID().slice(0, 8);
    this.members = new Members({self, instance, clock});
    const {storeContact, documents, members} = this;
    this.standing = new StandingMonitor({
      contact: storeContact,
      members,
      limitMs,
    });
    // Registered before dissemination, so that the first push already has
    // the listed VMs as receivers.
    documents.onChange(version => this.#applyVmList(version));
    const common = {...options, contact: storeContact, documents, members};
    const dissemination = new Dissemination(common);
    this.#prober = new Prober(common);
    this.#exchange = new Exchange({
      ...common,
      sections: [
        dissemination.section,
        new StoreContactSection(storeContact),
        new MembersSection(members, options.random),
        new LastContactSection(members, storeContact),
      ],
    });
    this.#watcher = new StoreWatcher({
      ...common,
      shouldWatch: () => this.isWatcher,
      onFailure: options.onStoreFailure,
    });
    this.handlers = new Map(
      Object.entries({
        ...dissemination.handlers,
        ...this.#prober.handlers,
        ...this.#exchange.handlers,
      }),
    );
  }

  /** Whether this node is currently chosen to watch the store. */
  get isWatcher(): boolean {
    const live = this.members.live();
    if (this.#isWatcherComputedFor !== live) {
      const {self, watchersPerDataCentre} = this.#options;
      this.#isWatcherComputedFor = live;
      this.#isWatcher = isWatcher(self.id, live, watchersPerDataCentre);
    }
    return this.#isWatcher;
  }

  /** Starts the background tasks. */
  start(): void {
    const {signal} = this.#stopped;
    this.#tasks = Promise.all([
      this.#exchange.run(signal),
      this.#prober.run(signal),
      this.#watcher.run(signal),
    ]);
  }

  /** Announces to other nodes that this VM takes no new work. */
  async leave(): Promise<void> {
    this.members.announceLeaving();
    const exchanges = Array.from({length: LEAVE_ANNOUNCEMENTS}, () =>
      this.#exchange.runOnce().catch(() => {}),
    );
    await Promise.all(exchanges);
  }

  /** Stops the background tasks and waits for them. */
  async stop(): Promise<void> {
    this.#stopped.abort();
    await this.#tasks;
  }

  #applyVmList({name, revision, value}: DocumentVersion): void {
    if (name !== VM_LIST_KEY) return;
    const records = parseVmList(value);
    if (records !== undefined) {
      return this.members.applyList(records, revision);
    }
    this.#options.onInvalidList?.(
      `revision ${revision} of the VM list is malformed`,
    );
  }
}

/**
 * Creates a node's coordination. The node's peer server must serve its handlers.
 *
 * @example
 * const coordination = createCoordination({self, store, caller, clock, random});
 * const server = await createPeerServer({handlers: coordination.handlers, ...});
 * coordination.start();
 */
export function createCoordination(options: CoordinationOptions): Coordination {
  return new Coordination(options);
}

/** Parses the platform's list of VMs; undefined if it is malformed. */
export function parseVmList(
  value: string | null,
): readonly VmRecord[] | undefined {
  if (value === null) return undefined;
  try {
    const records: unknown = JSON.parse(value);
    if (!Array.isArray(records) || !records.every(isVmRecord)) return undefined;
    return records;
  } catch {
    return undefined;
  }
}
