/** Nodes with the budgets of a cold database, a store and cuts between them. */
import {EMPTY_CATALOG} from '../../src/catalog/types.js';
import {MemberList} from '../../src/fleet/member-list.js';
import type {FleetMember} from '../../src/fleet/member-record.js';
import {ColdBudgets} from '../../src/node/cold-budgets.js';
import {createLogger} from '../../src/telemetry/log.js';
import {createRandom} from '../admission/random.js';
import {createAnnouncement} from '../fakes/announced-database.js';
import {createFleetMember} from '../fakes/fleet-member.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

export const DATABASE = 'db-1';
const GROUP = 'claims';
const POLL_MS = 500;
const LEASE_MS = 2_000;
const LEASE_MARGIN_MS = 200;
const LAPSE_WINDOW_MS = 10_000;
const HOP_MS = 2;
/** Longest time from a request's admission until it reaches the database. */
const MAX_DELIVERY_MS = 200;

interface Node {
  readonly member: FleetMember;
  members: MemberList;
  budgets: ColdBudgets;
  stop: AbortController;
  /** When the store last confirmed its lease, and its copy. */
  leasedAt: number;
  confirmedAt: number;
  failedPollAt: number;
  cutFromStoreUntil: number;
  staleCopyUntil: number;
}

/** A fleet under virtual time; `arrivedAt` holds the requests at the database. */
export class ColdFleet {
  readonly clock = new VirtualClock();
  readonly arrivedAt: number[] = [];
  readonly #nodes: Node[];
  readonly #random;
  readonly #rate: number;
  /** Members by the store: the end of each one's lease. */
  readonly #leaseEnds = new Map<string, number>();
  readonly #cutUntil = new Map<string, number>();

  constructor(nodes: number, rate: number, seed: number) {
    this.#rate = rate;
    this.#random = createRandom(seed);
    this.#nodes = Array.from({length: nodes}, (_, n) =>
      this.#start(`node-${n}`),
    );
  }

  /** The nodes in the order in which they own the budget. */
  get order(): readonly number[] {
    const order = this.#nodes[0]!.members.stewardOrder(
      `budget cold ${DATABASE}`,
    );
    return order.map(({id}) => indexOf(id));
  }

  /** A node forgets everything; its record stays until its lease ends. */
  restart(n: number): void {
    this.#nodes[n]!.stop.abort();
    this.#nodes[n] = this.#start(`node-${n}`);
  }

  /** A node leaves, so that the owner changes at once for who learns of it. */
  leave(n: number, ms: number): void {
    const {id} = this.#nodes[n]!.member;
    this.cutFromStore(n, ms);
    this.#leaseEnds.delete(id);
  }

  cutFromStore(n: number, ms: number): void {
    this.#nodes[n]!.cutFromStoreUntil = this.clock.now() + ms;
  }

  /** The store renews a node's lease but tells it no changes. */
  staleCopy(n: number, ms: number): void {
    this.#nodes[n]!.staleCopyUntil = this.clock.now() + ms;
  }

  cut(a: number, b: number, ms: number): void {
    this.#cutUntil.set(pairOf(a, b), this.clock.now() + ms);
  }

  /** Each node offers requests at a multiple of the rate for `ms`. */
  async offer(load: number, ms: number): Promise<void> {
    const until = this.clock.now() + ms;
    const stepMs = Math.max(2, 1_000 / (this.#rate * load));
    while (this.clock.now() < until) {
      const at = Math.floor(this.#random.next() * this.#nodes.length);
      const count = this.#random.next() < 0.2 ? 2 : 1;
      void this.#admit(this.#nodes[at]!, count);
      await this.clock.advance(stepMs);
    }
  }

  stop(): void {
    for (const {stop} of this.#nodes) stop.abort();
  }

  /** The most requests that reached the database within any second. */
  get mostInSecond(): number {
    const times = this.arrivedAt.toSorted((a, b) => a - b);
    let first = 0;
    let most = 0;
    times.forEach((at, n) => {
      while (times[first]! <= at - 1_000) first++;
      most = Math.max(most, n - first + 1);
    });
    return most;
  }

  async #admit({budgets}: Node, count: number): Promise<void> {
    if (budgets.refusedForMs(DATABASE) > 0) return;
    const {kind} = await budgets.admit(DATABASE, count);
    if (kind !== 'admitted') return;
    await this.clock.sleep(this.#random.next() * MAX_DELIVERY_MS);
    for (let n = 0; n < count; n++) this.arrivedAt.push(this.clock.now());
  }

  #start(id: string): Node {
    const {clock} = this;
    const member = createFleetMember(id);
    const stop = new AbortController();
    const members = new MemberList({
      clock,
      mayHaveLapsed: () => clock.now() - node.failedPollAt < LAPSE_WINDOW_MS,
    });
    const node: Node = {
      member,
      members,
      stop,
      leasedAt: -Infinity,
      confirmedAt: -Infinity,
      failedPollAt: -Infinity,
      cutFromStoreUntil: 0,
      staleCopyUntil: 0,
      budgets: new ColdBudgets({
        clock,
        log: createLogger('silent'),
        self: id,
        clusterState: {
          catalog: {
            ...EMPTY_CATALOG,
            groups: new Map([
              [GROUP, {name: GROUP, maxConnections: 34, coldRate: this.#rate}],
            ]),
          },
          entries: [ENTRY],
          findDatabase: () => ENTRY,
          coldRemainingMs: () => 1,
        },
        copyAgeMs: () => clock.now() - node.confirmedAt,
        placement: {
          budgetOrder: name => members.stewardOrder(`budget ${name}`),
        },
        lease: {
          get isHeld() {
            const ageMs = clock.now() - node.leasedAt;
            return ageMs < LEASE_MS - LEASE_MARGIN_MS;
          },
        },
        peers: {
          call: async ({id: to}, _method, body) => {
            await clock.sleep(HOP_MS);
            const [a, b] = [indexOf(id), indexOf(to)];
            const until = this.#cutUntil.get(pairOf(a, b)) ?? 0;
            if (clock.now() < until) throw new Error('cut off');
            const other = this.#nodes[b]!;
            const reply = other.budgets.serve(id, body as never);
            await clock.sleep(HOP_MS);
            return reply;
          },
        },
        tolerance: {overage: 1.5, slack: 5},
      }),
    };
    void node.budgets.run(stop.signal);
    void this.#poll(node, stop.signal);
    return node;
  }

  /** Renews the lease and reads the members, as often as a node does. */
  async #poll(node: Node, signal: AbortSignal): Promise<void> {
    const {clock} = this;
    while (!signal.aborted) {
      const now = clock.now();
      if (now < node.cutFromStoreUntil) node.failedPollAt = now;
      else {
        this.#leaseEnds.set(node.member.id, now + LEASE_MS);
        node.leasedAt = now;
        for (const [id, end] of this.#leaseEnds) {
          if (end < now) this.#leaseEnds.delete(id);
        }
      }
      if (now >= Math.max(node.cutFromStoreUntil, node.staleCopyUntil)) {
        const known = new Set(node.members.live().map(({id}) => id));
        for (const id of this.#leaseEnds.keys()) {
          node.members.apply(id, {...node.member, id});
          known.delete(id);
        }
        for (const id of known) node.members.apply(id, undefined);
        node.confirmedAt = now;
      }
      await clock.sleep(POLL_MS * (0.5 + this.#random.next()), signal);
    }
  }
}

const ENTRY = createAnnouncement(DATABASE, {
  group: GROUP,
  role: 'replica',
  startedAt: 1,
});

function indexOf(id: string): number {
  return Number(id.split('-')[1]);
}

function pairOf(a: number, b: number): string {
  return [a, b].toSorted().join(' ');
}
