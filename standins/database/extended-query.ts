/** The extended query protocol: prepared statements and portals. */
import type {Frame} from '../../src/targets/frames.js';
import type {AnswerWriter} from './answer-writer.js';
import * as messages from './messages.js';
import type {Result} from './result.js';
import {sendRows} from './send-result.js';
import type {Session} from './session.js';
import {countParameters, parseStatements} from './sql-parser.js';
import {SqlError} from './sql-error.js';
import type {Statement} from './sql.js';
import {describeColumns} from './statements.js';

const TEXT_FORMAT = 0;
const NULL_LENGTH = -1;

interface Prepared {
  readonly statement: Statement;
  readonly parameterCount: number;
}

interface Portal {
  readonly statement: Statement;
  readonly parameters: readonly (string | null)[];
  /** The result after execution, and an iterator over its unsent rows. */
  result?: Result;
  rows?: Iterator<readonly string[]>;
}

/** One connection's prepared statements and portals. */
export class ExtendedQuery {
  readonly #session: Session;
  readonly #writer: AnswerWriter;
  readonly #prepared = new Map<string, Prepared>();
  readonly #portals = new Map<string, Portal>();

  constructor(session: Session, writer: AnswerWriter) {
    this.#session = session;
    this.#writer = writer;
  }

  /** Handles any message but Sync. */
  async handle(frame: Frame, signal: AbortSignal): Promise<void> {
    const body = new messages.BodyReader(frame.bytes);
    switch (frame.type) {
      case 'P':
        return this.#parse(body);
      case 'B':
        return this.#bind(body);
      case 'D':
        return this.#describe(body);
      case 'E':
        return this.#execute(body, signal);
      case 'C':
        return this.#close(body);
      case 'H':
        return this.#flush();
      default:
        throw new SqlError(
          '08P01',
          `message type "${frame.type}" is not supported`,
          'FATAL',
        );
    }
  }

  #parse(body: messages.BodyReader): void {
    const name = body.string();
    const text = body.string();
    const statements = parseStatements(text);
    if (statements.length > 1) {
      throw new SqlError('42601', 'cannot prepare several statements at once');
    }
    this.#prepared.set(name, {
      statement: statements[0] ?? {kind: 'empty'},
      parameterCount: countParameters(text),
    });
    this.#writer.write(messages.parseComplete);
  }

  #bind(body: messages.BodyReader): void {
    const portal = body.string();
    const {statement, parameterCount} = this.#statement(body.string());
    const formats = Array.from({length: body.int16()}, () => body.int16());
    if (formats.some(format => format !== TEXT_FORMAT)) {
      throw new SqlError('0A000', 'only text parameters are supported');
    }
    const parameters = Array.from({length: body.int16()}, () =>
      readParameter(body),
    );
    if (parameters.length !== parameterCount) {
      throw new SqlError(
        '08P01',
        `${parameters.length} parameters were bound, ${parameterCount} are needed`,
      );
    }
    this.#portals.set(portal, {statement, parameters});
    this.#writer.write(messages.bindComplete);
  }

  #describe(body: messages.BodyReader): void {
    const kind = String.fromCharCode(body.bytes(1)[0] ?? 0);
    const name = body.string();
    if (kind === 'S') {
      const {statement, parameterCount} = this.#statement(name);
      this.#writer.write(messages.parameterDescription(parameterCount));
      this.#describeRows(statement);
    } else {
      this.#describeRows(this.#portal(name).statement);
    }
  }

  #describeRows(statement: Statement): void {
    const columns = describeColumns(statement);
    this.#writer.write(
      columns ? messages.rowDescription(columns) : messages.noData,
    );
  }

  async #execute(
    body: messages.BodyReader,
    signal: AbortSignal,
  ): Promise<void> {
    const portal = this.#portal(body.string());
    const limit = body.int32();
    if (portal.statement.kind === 'empty') {
      return this.#writer.write(messages.emptyQuery);
    }
    if (portal.result === undefined) {
      const {statement, parameters} = portal;
      const executed = await this.#session.execute(
        statement,
        parameters,
        signal,
      );
      this.#writer.reportPosition(executed.position);
      portal.result = executed.result;
      portal.rows = (executed.result.rows ?? [])[Symbol.iterator]();
    }
    const rows = portal.rows ?? [][Symbol.iterator]();
    const ended = await sendRows(this.#writer, rows, limit || Infinity);
    this.#writer.write(
      ended
        ? messages.commandComplete(portal.result.tag)
        : messages.portalSuspended,
    );
  }

  /**
   * Flushes the buffer. This fixes the first position of the batch, although a
   * later statement may run at a higher one.
   */
  async #flush(): Promise<void> {
    if (!this.#writer.hasReportedPosition)
      this.#writer.reportPosition(this.#session.position);
    await this.#writer.flush();
  }

  #close(body: messages.BodyReader): void {
    const kind = String.fromCharCode(body.bytes(1)[0] ?? 0);
    const name = body.string();
    if (kind === 'S') this.#prepared.delete(name);
    else this.#portals.delete(name);
    this.#writer.write(messages.closeComplete);
  }

  #statement(name: string): Prepared {
    const prepared = this.#prepared.get(name);
    if (prepared !== undefined) return prepared;
    throw new SqlError('26000', `prepared statement "${name}" does not exist`);
  }

  #portal(name: string): Portal {
    const portal = this.#portals.get(name);
    if (portal !== undefined) return portal;
    throw new SqlError('34000', `portal "${name}" does not exist`);
  }
}

function readParameter(body: messages.BodyReader): string | null {
  const length = body.int32();
  if (length === NULL_LENGTH) return null;
  return body.bytes(length).toString('utf8');
}
