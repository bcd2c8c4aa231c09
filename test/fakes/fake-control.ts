/** Control interface of a fake database, used by one node. */
import type {
  ConfirmResult,
  DatabaseControl,
  DatabaseSpec,
  DatabaseStatus,
  FenceResult,
} from '../../src/groups/types.js';
import type {Position} from '../../src/session/position.js';
import type {FakeDatabase} from './fake-database.js';
import type {FakeGroup} from './fake-group.js';
import type {NodeClock} from './virtual-clock.js';

/** Sends calls over the node's link to the database, subject to its faults. */
export class FakeControl implements DatabaseControl {
  readonly spec: DatabaseSpec;
  readonly #group: FakeGroup;
  readonly #database: FakeDatabase;
  readonly #nodeId: string;
  readonly #clock: NodeClock;

  constructor(
    group: FakeGroup,
    database: FakeDatabase,
    nodeId: string,
    clock: NodeClock,
  ) {
    this.spec = database.spec;
    this.#group = group;
    this.#database = database;
    this.#nodeId = nodeId;
    this.#clock = clock;
  }

  status(timeoutMs: number): Promise<DatabaseStatus> {
    return this.#call(timeoutMs, settle => settle(this.#database.status()));
  }

  fence(
    term: number,
    orderer: string,
    timeoutMs: number,
  ): Promise<FenceResult> {
    const fence = () => this.#database.fence(term, orderer);
    return this.#order('fence', timeoutMs, fence);
  }

  promote(term: number, orderer: string, timeoutMs: number): Promise<boolean> {
    const promote = () => this.#database.promote(term, orderer);
    return this.#order('promote', timeoutMs, promote);
  }

  confirm(
    term: number,
    position: Position,
    timeoutMs: number,
  ): Promise<ConfirmResult> {
    const waitMs = timeoutMs * 0.8;
    return this.#call(timeoutMs, settle =>
      this.#database.confirm(term, position, waitMs, settle),
    );
  }

  async #order<T>(
    name: 'fence' | 'promote',
    timeoutMs: number,
    run: () => T,
  ): Promise<T> {
    this.#group.onOrder(this.#nodeId, name, this.spec.id);
    // A paused process sends its order only after it resumes.
    await new Promise<void>(resolve => this.#clock.whenRunning(resolve));
    const link = this.#group.links.between(this.#nodeId, this.spec.id);
    if (link.duplicateAfterMs > 0) {
      const sendDuplicate = () =>
        this.#call(timeoutMs, settle => settle(run()));
      void this.#clock
        .sleep(link.duplicateAfterMs)
        .then(sendDuplicate)
        .catch(() => {});
    }
    return this.#call(timeoutMs, settle => settle(run()));
  }

  #call<T>(
    timeoutMs: number,
    run: (settle: (value: T) => void) => void,
  ): Promise<T> {
    return this.#group.call(
      this.#nodeId,
      this.#clock,
      this.#database,
      timeoutMs,
      run,
    );
  }
}
