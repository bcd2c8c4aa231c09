/**
 * Ends the use of databases in evacuated data centres: rolls back their open
 * transactions in time and closes their idle connections.
 */
import {LRUCache} from 'lru-cache';
import type {EvacuationView} from '../catalog/evacuations.js';
import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import type {Logger} from '../telemetry/log.js';
import type {GroupMember} from './group-member.js';
import type {OpenTransactions} from './open-transactions.js';
import type {TeamConnection} from './team-connection.js';
import type {OpenTransaction} from './transaction-statements.js';

const CHECK_PERIOD_MS = 100;
/**
 * Transactions are rolled back this long before the data centre is closed, as
 * the rollback is a request as well.
 */
const ROLLBACK_LEAD_MS = 400;
/** Transactions whose next statement may still ask what became of them. */
const MAX_REMEMBERED = 1_000;

/** Options of {@link EvacuatedDatabases}. */
export interface EvacuatedDatabasesOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  readonly evacuations: EvacuationView;
  readonly members: ReadonlyMap<string, GroupMember>;
  readonly transactions: OpenTransactions<TeamConnection, OpenTransaction>;
}

/**
 * Watches one group's databases.
 *
 * @example
 * void evacuated.run(signal);
 * evacuated.dataCentreOf(pin); // 'burnie', if the transaction ended for that
 */
export class EvacuatedDatabases {
  readonly #options: EvacuatedDatabasesOptions;
  /** Data centres of the transactions that were rolled back, by pin. */
  readonly #ended = new LRUCache<string, string>({max: MAX_REMEMBERED});
  readonly #closed = new Set<string>();

  constructor(options: EvacuatedDatabasesOptions) {
    this.#options = options;
  }

  /** The evacuated data centre for which a transaction was rolled back. */
  dataCentreOf(pin: string): string | undefined {
    return this.#ended.get(pin);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.check();
      await sleepToTick(this.#options.clock, CHECK_PERIOD_MS, signal);
    }
  }

  /** Ends what may not outlast the evacuations in force. */
  check(): void {
    const {evacuations, members} = this.#options;
    for (const member of members.values()) {
      const evacuation = evacuations.find(member.entry.dataCentre);
      if (evacuation === undefined) {
        this.#closed.delete(member.id);
        continue;
      }
      if (evacuation.closesInMs > ROLLBACK_LEAD_MS) continue;
      const ended = this.#rollBack(member);
      if (evacuation.closesInMs > 0) continue;
      member.connections.closeAll();
      const isFirst = !this.#closed.has(member.id);
      this.#closed.add(member.id);
      if (isFirst) this.#logClosed(member, evacuation.learntMsAgo, ended);
    }
  }

  #rollBack(member: GroupMember): number {
    const {transactions, log, group} = this.#options;
    const {dataCentre} = member.entry;
    const idle = transactions.idleAt(member.id);
    for (const {pin, transaction} of idle) {
      this.#ended.set(pin, dataCentre);
      transactions.release(pin);
      log.info('evacuatedTransactionEnded', {
        group,
        database: member.id,
        dataCentre,
        session: transaction.sessionId,
      });
    }
    return idle.length;
  }

  #logClosed(
    {id, entry, pool}: GroupMember,
    learntMsAgo: number,
    rolledBack: number,
  ): void {
    const {log, group} = this.#options;
    log.info('evacuatedDatabaseClosed', {
      group,
      database: id,
      dataCentre: entry.dataCentre,
      learntMsAgo: Math.round(learntMsAgo),
      outstanding: pool.outstanding,
      rolledBack,
    });
  }
}
