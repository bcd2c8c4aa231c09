/** The certified homes of the groups whose home is, or was, on this node. */
import type {Catalog, DatabaseEntry} from '../catalog/types.js';
import type {Clock} from '../infra/clock.js';
import {runAtTicks} from '../infra/timer.js';
import type {PeerHandler} from '../peers/types.js';
import {notRun} from '../verdict/verdict.js';
import {CertifiedHome, type CertifiedHomeOptions} from './certified-home.js';
import type {HomeRunner, Sink} from './home-forwarder.js';
import {hasStrings} from './messages.js';
import {decodeRequest, encodeResult} from './statement-codec.js';
import {
  failedStatement,
  STATEMENT_METHODS,
  type StatementRequest,
  type StatementResult,
} from './statement-request.js';

const REVIEW_PERIOD_MS = 500;
/** A home that nobody uses and that belongs elsewhere is closed after this. */
const RETIRE_IDLE_MS = 5_000;

/** What the homes need of the node. */
export interface StatementHomesOptions extends Omit<
  CertifiedHomeOptions,
  'group' | 'isFirstHome' | 'isResponsible' | 'readerIn'
> {
  readonly clock: Clock;
  readonly catalog: () => Catalog;
  readonly entries: () => Iterable<DatabaseEntry>;
  readonly isFirstHome: (group: string) => boolean;
  /** The node that serves a group's reads in a data centre, if any does. */
  readonly readerIn: (group: string, dataCentre: string) => string | undefined;
  /** Whether this node is the first choice of those that answer it. */
  readonly isResponsible: (group: string) => boolean;
}

/** Runs statements on the groups whose home is here. */
export class StatementHomes implements HomeRunner<
  StatementRequest,
  StatementResult,
  never
> {
  readonly #options: StatementHomesOptions;
  readonly #homes = new Map<string, CertifiedHome>();
  readonly #stopping = new AbortController();
  #refusesNew = false;

  constructor(options: StatementHomesOptions) {
    this.#options = options;
  }

  /** The peer methods that it serves. */
  get handlers(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [
        STATEMENT_METHODS.run,
        async (body, {signal}) => {
          const req = decodeRequest(body);
          const result =
            req === undefined
              ? malformed()
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

  /** Statements that run and transactions that are open. */
  get active(): number {
    return [...this.#homes.values()].reduce((sum, one) => sum + one.active, 0);
  }

  /** Begins to open homes where this node is the first choice. */
  start(): void {
    const {signal} = this.#stopping;
    void runAtTicks(this.#options.clock, REVIEW_PERIOD_MS, signal, () =>
      this.#review(),
    );
  }

  /** Takes no new work; open transactions go on. */
  refuseNew(): void {
    this.#refusesNew = true;
  }

  stop(): void {
    this.#stopping.abort();
    for (const home of this.#homes.values()) home.stop();
    this.#homes.clear();
  }

  /** Passes on what a database announced; undefined where it is gone. */
  applyEntry(id: string, entry: DatabaseEntry | undefined): void {
    for (const [group, home] of this.#homes) {
      // An id may have come back under another group.
      if (group === entry?.group) home.applyEntry(entry);
      else home.removeEntry(id);
    }
  }

  async execute(
    req: StatementRequest,
    _sink: Sink<never>,
    signal: AbortSignal,
  ): Promise<StatementResult> {
    if (this.#refusesNew && req.pin === undefined) {
      return failedStatement(notRun('shuttingDown', 'this home is closing', 0));
    }
    return this.#homeOf(req.group).execute(req, signal);
  }

  /** Rolls back a transaction whose caller is gone. */
  release(group: string, pin: string): void {
    this.#homes.get(group)?.release(pin);
  }

  #homeOf(group: string): CertifiedHome {
    const known = this.#homes.get(group);
    if (known !== undefined) return known;
    const {isFirstHome, isResponsible, readerIn, entries, ...common} =
      this.#options;
    const home = new CertifiedHome({
      ...common,
      group,
      isFirstHome: () => isFirstHome(group),
      readerIn: dataCentre => readerIn(group, dataCentre),
      isResponsible: () => isResponsible(group),
    });
    this.#homes.set(group, home);
    for (const entry of entries()) {
      if (entry.group === group) home.applyEntry(entry);
    }
    home.start();
    common.log.info('homeOpened', {group, isFirst: isFirstHome(group)});
    return home;
  }

  /** Whether this node is a group's home, or its reader in this data centre. */
  #isWanted(group: string): boolean {
    const {isFirstHome, readerIn, dataCentre, self} = this.#options;
    return isFirstHome(group) || readerIn(group, dataCentre) === self;
  }

  #review(): void {
    const {catalog, log} = this.#options;
    for (const group of catalog().groups.keys()) {
      if (this.#isWanted(group) && !this.#refusesNew) this.#homeOf(group);
    }
    for (const [group, home] of this.#homes) {
      const isOurs = catalog().groups.has(group) && this.#isWanted(group);
      if (isOurs || home.idleMs < RETIRE_IDLE_MS) continue;
      this.#homes.delete(group);
      home.stop();
      log.info('homeClosed', {group});
    }
  }
}

function malformed(): StatementResult {
  return failedStatement(
    notRun('badRequest', 'a peer sent a malformed statement'),
  );
}
