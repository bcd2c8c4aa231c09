/** Opens, serves and closes the certified homes on this node. */
import type {Catalog, AnnouncedDatabase} from '../catalog/types.js';
import type {Responsibility} from '../groups/failover-coordinator.js';
import type {PrimaryOrder} from '../groups/primary-order.js';
import type {Clock} from '../infra/clock.js';
import {runAtTicks} from '../infra/timer.js';
import type {GroupWork} from '../load/load-sharing.js';
import type {GroupSharing} from '../load/types.js';
import type {PeerHandler} from '../peers/types.js';
import {notRun} from '../verdict/verdict.js';
import {CertifiedHome, type CertifiedHomeOptions} from './certified-home.js';
import type {HomeRunner, Sink} from './home-forwarder.js';
import {hasStrings} from './messages.js';
import {rolledBackVerdict} from './statement-attempt.js';
import {decodeRequest, encodeResult} from './statement-codec.js';
import {
  failedStatement,
  STATEMENT_METHODS,
  type StatementRequest,
  type StatementResult,
} from './statement-request.js';

const CLOSING = notRun('shuttingDown', 'this home is closing', 0);
const UPDATE_PERIOD_MS = 500;
/** An idle home that another node should serve is closed after this. */
const CLOSE_IDLE_MS = 5_000;

/** Options of the statement homes. */
export interface StatementHomesOptions extends Omit<
  CertifiedHomeOptions,
  | 'group'
  | 'isFirstHome'
  | 'responsibility'
  | 'readerIn'
  | 'isEvacuationDue'
  | 'sharing'
> {
  readonly clock: Clock;
  readonly catalog: () => Catalog;
  readonly entries: () => Iterable<AnnouncedDatabase>;
  readonly isFirstHome: (group: string) => boolean;
  /** Returns the node that serves a group's reads in a data centre. */
  readonly readerIn: (group: string, dataCentre: string) => string | undefined;
  /** Returns which node should replace a group's primary. */
  readonly responsibility: (group: string) => Responsibility;
  /** Returns whether a group's primary is to leave an evacuated data centre. */
  readonly isEvacuationDue: (group: string) => boolean;
  /** Returns the load information of a group; none if nodes share none. */
  readonly sharingOf?: (group: string) => GroupSharing | undefined;
}

/** Runs statements on the groups whose home is on this node. */
export class StatementHomes implements HomeRunner<
  StatementRequest,
  StatementResult,
  never
> {
  readonly #options: StatementHomesOptions;
  readonly #homes = new Map<string, CertifiedHome>();
  readonly #stopping = new AbortController();
  #refusesNew = false;
  #refusesTransactions = false;

  constructor(options: StatementHomesOptions) {
    this.#options = options;
  }

  /** Handlers of the peer methods. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [
        STATEMENT_METHODS.run,
        async (body, {signal}) => {
          const req = decodeRequest(body);
          const result =
            req === undefined
              ? malformedResult()
              : await this.execute(req, () => {}, signal);
          return encodeResult(result);
        },
      ],
      [
        STATEMENT_METHODS.release,
        async body => {
          if (hasStrings(body, 'group', 'pin')) {
            this.release(body.group, body.pin);
          }
        },
      ],
    ]);
  }

  /** Number of running statements and open transactions. */
  get active(): number {
    return [...this.#homes.values()].reduce(
      (sum, home) => sum + home.active,
      0,
    );
  }

  /** This node's work at the databases of each group that it serves. */
  get work(): readonly GroupWork[] {
    return Array.from(this.#homes, ([group, home]) => ({
      group,
      loads: home.loads,
    }));
  }

  /** Starts opening homes of the groups that this node should serve. */
  start(): void {
    const {signal} = this.#stopping;
    void runAtTicks(this.#options.clock, UPDATE_PERIOD_MS, signal, () =>
      this.#updateHomes(),
    );
  }

  /** Refuses new work; open transactions continue. */
  refuseNew(): void {
    this.#refusesNew = true;
  }

  /** Rolls back open transactions, and refuses their further statements. */
  endTransactions(): void {
    this.#refusesTransactions = true;
    for (const home of this.#homes.values()) home.rollBackTransactions();
  }

  stop(): void {
    this.#stopping.abort();
    for (const home of this.#homes.values()) home.stop();
    this.#homes.clear();
  }

  /** Applies a database's announcement; undefined if it is gone. */
  applyDatabase(id: string, entry: AnnouncedDatabase | undefined): void {
    for (const [group, home] of this.#homes) {
      // The database may have moved to another group under the same id.
      if (group === entry?.group) home.applyDatabase(entry);
      else home.removeDatabase(id);
    }
  }

  async execute(
    req: StatementRequest,
    _sink: Sink<never>,
    signal: AbortSignal,
  ): Promise<StatementResult> {
    if (this.#refusesNew && req.pin === undefined) {
      return failedStatement(CLOSING);
    }
    if (this.#refusesTransactions && req.pin !== undefined) {
      this.release(req.group, req.pin);
      return failedStatement(rolledBackVerdict(CLOSING), 'failed');
    }
    return this.#ensureHome(req.group).execute(req, signal);
  }

  /** Applies an order to promote a database of a group. */
  applyOrder(group: string, order: PrimaryOrder): void {
    this.#homes.get(group)?.applyOrder(order);
  }

  /** Rolls back a transaction whose caller has disconnected. */
  release(group: string, pin: string): void {
    this.#homes.get(group)?.release(pin);
  }

  #ensureHome(group: string): CertifiedHome {
    const known = this.#homes.get(group);
    if (known !== undefined) return known;
    const {
      isFirstHome,
      responsibility,
      readerIn,
      isEvacuationDue,
      entries,
      sharingOf,
      ...common
    } = this.#options;
    const home = new CertifiedHome({
      ...common,
      group,
      isFirstHome: () => isFirstHome(group),
      readerIn: dataCentre => readerIn(group, dataCentre),
      responsibility: () => responsibility(group),
      isEvacuationDue: () => isEvacuationDue(group),
      sharing: sharingOf?.(group),
    });
    this.#homes.set(group, home);
    for (const entry of entries()) {
      if (entry.group === group) home.applyDatabase(entry);
    }
    home.start();
    common.log.info('homeOpened', {group, isFirst: isFirstHome(group)});
    return home;
  }

  /** True if this node is a group's home, or its reader in this data centre. */
  #isServedHere(group: string): boolean {
    const {isFirstHome, readerIn, dataCentre, self} = this.#options;
    return isFirstHome(group) || readerIn(group, dataCentre) === self;
  }

  #updateHomes(): void {
    const {catalog, log} = this.#options;
    for (const group of catalog().groups.keys()) {
      if (this.#isServedHere(group) && !this.#refusesNew)
        this.#ensureHome(group);
    }
    for (const [group, home] of this.#homes) {
      const isOurs = catalog().groups.has(group) && this.#isServedHere(group);
      if (isOurs || home.idleMs < CLOSE_IDLE_MS) continue;
      this.#homes.delete(group);
      home.stop();
      log.info('homeClosed', {group});
    }
  }
}

function malformedResult(): StatementResult {
  return failedStatement(
    notRun('badRequest', 'a peer sent a malformed statement'),
  );
}
