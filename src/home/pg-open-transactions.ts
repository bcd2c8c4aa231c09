/** Open transactions on PostgreSQL databases. */
import {serialize} from 'pg-protocol';
import type {Clock} from '../infra/clock.js';
import type {TargetConnection} from '../targets/types.js';
import {OpenTransactions} from './open-transactions.js';

/** How long a transaction may be idle before it is rolled back. */
const MAX_IDLE_MS = 60_000;
const IGNORE_ANSWER = {onFrames: () => {}};

/** The open transactions of one group of PostgreSQL databases. */
export class PgOpenTransactions extends OpenTransactions<TargetConnection> {
  constructor(clock: Clock) {
    super({
      clock,
      maxIdleMs: () => MAX_IDLE_MS,
      rollBack: connection =>
        connection.run(serialize.query('ROLLBACK'), IGNORE_ANSWER),
    });
  }
}
