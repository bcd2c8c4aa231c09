/** An in-memory group of databases in virtual time, with fault injection. */
import type {
  DatabaseControl,
  DatabaseSpec,
  GroupSpec,
} from '../../src/groups/types.js';
import type {Position} from '../../src/session/position.js';
import {TargetError} from '../../src/targets/types.js';
import {createDatabaseSpec} from './database-spec.js';
import {FakeControl} from './fake-control.js';
import {FakeDatabase} from './fake-database.js';
import {FakeLinks} from './fake-link.js';
import type {NodeClock, VirtualClock} from './virtual-clock.js';

const REPLICATION_PERIOD_MS = 20;
const INITIAL_ORDERER = 'initial';

/** The result of a read. */
export interface FakeRead {
  readonly position: Position;
  readonly writes: ReadonlySet<string>;
}

/** Called before an order is sent to its database; may change the network. */
export type OrderObserver = (
  nodeId: string,
  order: 'fence' | 'promote',
  databaseId: string,
) => void;

/**
 * Databases with asynchronous replication, three by default; the first starts
 * as the primary of term 1.
 *
 * @example
 * const group = new FakeGroup(clock);
 * const controls = group.controlsFor('vm-1', clock.forNode());
 * group.links.cut(['db-1'], ['db-2', 'db-3']);
 */
export class FakeGroup {
  readonly spec: GroupSpec;
  readonly databases: readonly FakeDatabase[];
  readonly links = new FakeLinks();
  onOrder: OrderObserver = () => {};
  readonly #clock: VirtualClock;

  constructor(clock: VirtualClock, size = 3) {
    this.#clock = clock;
    const specs = Array.from({length: size}, (_, i) => createSpec(i + 1));
    this.spec = {name: 'claims', databases: specs};
    this.databases = specs.map(spec => new FakeDatabase(spec, clock));
    const first = this.database('db-1');
    first.fence(1, INITIAL_ORDERER);
    first.promote(1, INITIAL_ORDERER);
    this.#replicate();
  }

  database(id: string): FakeDatabase {
    const database = this.databases.find(({spec}) => spec.id === id);
    if (database === undefined) throw new Error(`no database ${id}`);
    return database;
  }

  /** The primary with the highest term. */
  get primary(): FakeDatabase | undefined {
    return this.databases
      .filter(({role}) => role === 'primary')
      .toSorted((a, b) => b.term - a.term)[0];
  }

  /** Returns the control interfaces of all databases for one node. */
  controlsFor(nodeId: string, clock: NodeClock): readonly DatabaseControl[] {
    return this.databases.map(
      database => new FakeControl(this, database, nodeId, clock),
    );
  }

  /** Commits a write at a database over a node's link. */
  commit(
    nodeId: string,
    clock: NodeClock,
    databaseId: string,
    write: string,
    timeoutMs = 1_000,
  ): Promise<Position> {
    const database = this.database(databaseId);
    return this.call(nodeId, clock, database, timeoutMs, settle =>
      settle(database.commit(write)),
    );
  }

  /** Reads all visible writes of a database over a node's link. */
  read(
    nodeId: string,
    clock: NodeClock,
    databaseId: string,
    timeoutMs = 1_000,
  ): Promise<FakeRead> {
    const database = this.database(databaseId);
    return this.call(nodeId, clock, database, timeoutMs, settle =>
      settle({position: database.applied, writes: database.visibleWrites()}),
    );
  }

  /** Calls a database over a node's link, subject to the link's faults. */
  call<T>(
    nodeId: string,
    clock: NodeClock,
    database: FakeDatabase,
    timeoutMs: number,
    run: (settle: (value: T) => void) => void,
  ): Promise<T> {
    const link = this.links.between(nodeId, database.spec.id);
    return new Promise<T>((resolve, reject) => {
      let isSettled = false;
      const fail = (err: unknown) => {
        isSettled = true;
        clock.whenRunning(() => reject(err));
      };
      const answer = (value: T) => {
        if (link.answersToLose > 0) link.answersToLose -= 1;
        else if (!link.cut && database.up) {
          this.#after(link.delayMs, () => {
            isSettled = true;
            clock.whenRunning(() => resolve(value));
          });
        }
      };
      const deliver = () => {
        if (link.cut) return;
        if (!database.up) {
          fail(new TargetError('notSent', `${database.spec.id} is down`));
          return;
        }
        database.whenRunning(() => {
          try {
            run(answer);
          } catch (err) {
            this.#after(link.delayMs, () => fail(err));
          }
        });
      };
      this.#after(link.delayMs, deliver);
      if (isSettled) return;
      this.#clock.schedule(timeoutMs, () =>
        fail(new TargetError('lost', `${database.spec.id} does not answer`)),
      );
    });
  }

  #after(delayMs: number, run: () => void): void {
    if (delayMs > 0) this.#clock.schedule(delayMs, run);
    else run();
  }

  #replicate(): void {
    for (const source of this.databases) {
      if (source.role !== 'primary' || !source.up || source.frozen) continue;
      for (const target of this.databases) this.#replicateTo(source, target);
    }
    this.#clock.schedule(REPLICATION_PERIOD_MS, () => this.#replicate());
  }

  #replicateTo(source: FakeDatabase, target: FakeDatabase): void {
    const link = this.links.between(source.spec.id, target.spec.id);
    if (source === target || link.cut) return;
    const {term} = source;
    const log = [...source.log];
    this.#after(link.delayMs, () => {
      if (link.cut || !target.up || target.frozen) return;
      target.accept(term, log);
    });
  }
}

function createSpec(number: number): DatabaseSpec {
  return createDatabaseSpec(`db-${number}`, {
    port: 5_430 + number,
    dataCentre: `dc-${number}`,
    provider: number === 3 ? 'new' : 'old',
  });
}
