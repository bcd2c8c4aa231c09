/** Control client of a database: calls its `platform.*` SQL functions. */
import type {
  ConfirmResult,
  DatabaseControl,
  DatabaseSpec,
  DatabaseStatus,
  FenceResult,
} from '../groups/types.js';
import {
  formatPosition,
  parsePosition,
  type Position,
} from '../session/position.js';
import {ControlConnectionPool} from './control-connection-pool.js';
import {PgTargetConnection} from './pg-connection.js';
import {queryRows, type TextRow} from './query-rows.js';
import {TargetError} from './types.js';

/** Database name that gives a connection access to the control functions. */
const CONTROL_DATABASE = 'platform';

/** Status, fence and promote share one connection. */
const COMMAND_CONNECTIONS = 1;

/** A confirmation blocks its connection while the database waits. */
const DEFAULT_CONFIRM_CONNECTIONS = 2;

/** Part of a timeout that the database may wait; the rest is for the reply. */
const DATABASE_WAIT_SHARE = 0.8;

/** Credentials with which the node logs in to the databases. */
export interface ControlCredentials {
  readonly user: string;
  readonly password: string;
}

/** Settings of a control client. */
export interface PgDatabaseControlOptions extends ControlCredentials {
  /** Maximum number of concurrent confirmations; further ones queue. */
  readonly confirmConnections?: number;
}

/**
 * Queries, fences and promotes one database over the PostgreSQL protocol.
 *
 * @example
 * const control = new PgDatabaseControl(spec, {user, password});
 * const {role, term} = await control.status(500);
 */
export class PgDatabaseControl implements DatabaseControl {
  readonly spec: DatabaseSpec;
  readonly #commandConnections: ControlConnectionPool;
  readonly #confirmConnections: ControlConnectionPool;

  constructor(spec: DatabaseSpec, options: PgDatabaseControlOptions) {
    this.spec = spec;
    const {user, password} = options;
    const open = (timeoutMs: number) =>
      PgTargetConnection.connect({
        host: spec.host,
        port: spec.port,
        user,
        password,
        database: CONTROL_DATABASE,
        timeoutMs,
      });
    this.#commandConnections = new ControlConnectionPool(
      COMMAND_CONNECTIONS,
      open,
    );
    this.#confirmConnections = new ControlConnectionPool(
      options.confirmConnections ?? DEFAULT_CONFIRM_CONNECTIONS,
      open,
    );
  }

  async status(timeoutMs: number): Promise<DatabaseStatus> {
    const sql = 'SELECT * FROM platform.status()';
    return readStatus(await this.#order(sql, timeoutMs));
  }

  async fence(
    term: number,
    orderer: string,
    timeoutMs: number,
  ): Promise<FenceResult> {
    const sql = `SELECT platform.fence(${term}, ${quote(orderer)})`;
    const row = await this.#order(sql, timeoutMs);
    const status = readStatus(row);
    return row['result'] === 'fenced'
      ? {kind: 'fenced', status}
      : {kind: 'refused', fencedTerm: status.fencedTerm};
  }

  async promote(
    term: number,
    orderer: string,
    timeoutMs: number,
  ): Promise<boolean> {
    const sql = `SELECT platform.promote(${term}, ${quote(orderer)})`;
    const row = await this.#order(sql, timeoutMs);
    return row['promote'] === 't';
  }

  async confirm(
    term: number,
    position: Position,
    timeoutMs: number,
  ): Promise<ConfirmResult> {
    const row = await this.#confirmConnections.run(
      timeoutMs,
      (connection, remaining) => {
        const waitMs = Math.floor(remaining * DATABASE_WAIT_SHARE);
        const sql = `SELECT platform.confirm(${term}, '${formatPosition(position)}', ${waitMs})`;
        return queryRows(connection, sql).then(firstRow);
      },
    );
    const detail = row['detail'] ?? '';
    if (row['result'] === 'fenced') {
      return {kind: 'fenced', fencedTerm: Number(detail)};
    }
    const kind = row['result'] === 'confirmed' ? 'confirmed' : 'timeout';
    return {kind, received: readPosition(detail)};
  }

  /** Closes the connections; calls in progress reject. */
  close(): void {
    this.#commandConnections.close();
    this.#confirmConnections.close();
  }

  #order(sql: string, timeoutMs: number): Promise<TextRow> {
    return this.#commandConnections.run(timeoutMs, connection =>
      queryRows(connection, sql).then(firstRow),
    );
  }
}

function readStatus(row: TextRow): DatabaseStatus {
  return {
    role: row['role'] === 'primary' ? 'primary' : 'replica',
    term: Number(row['term']),
    fencedTerm: Number(row['fenced_term']),
    fencedBy: row['fenced_by'] ?? '',
    received: readPosition(row['received']),
    applied: readPosition(row['applied']),
    upstreamSilentMs: Number(row['upstream_silent_ms']),
  };
}

function readPosition(text: string | null | undefined): Position {
  const position = parsePosition(text ?? '');
  if (position !== undefined) return position;
  throw new TargetError('lost', `the database sent "${text}" as a position`);
}

function firstRow(rows: readonly TextRow[]): TextRow {
  const row = rows[0];
  if (row !== undefined) return row;
  throw new TargetError('lost', 'the database answered without a row');
}

function quote(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
