/**
 * Rewrites extended-query batches for shared target connections, on which no
 * statement may stay prepared: a batch that uses a named statement first sends
 * its Parse as the unnamed statement, and the ParseComplete messages that the
 * caller does not expect are removed from the answer.
 */
import {serialize} from 'pg-protocol';
import {buildFrame, cString, splitFrames} from '../targets/frames.js';
import {BodyReader} from './body-reader.js';
import {ProtocolError, type Frame} from './socket-reader.js';

const PARSE_COMPLETE = '1';
const INVALID_STATEMENT_NAME = '26000';
/** Maximum number of prepared statements of a session. */
const MAX_PREPARED = 1_000;

/** A statement that the caller has prepared. */
interface PreparedStatement {
  readonly sql: string;
  /** The body of its Parse message after the name: SQL and parameter types. */
  readonly parseArgs: Buffer;
}

/** A complete batch, up to and including its Sync. */
export interface Batch {
  /** SQL of the statements that the batch parses, binds or describes. */
  readonly statements: readonly string[];
  /** Number of Execute messages. */
  readonly executes: number;
  readonly frames: Buffer;
  /** For each ParseComplete of the answer: whether the caller expects it. */
  readonly expectedParses: readonly boolean[];
}

/** Rewrites the caller's extended-query messages into batches. */
export class BatchBuilder {
  readonly #prepared = new Map<string, PreparedStatement>();
  #frames: Buffer[] = [];
  #statements: string[] = [];
  #expectedParses: boolean[] = [];
  #executes = 0;
  /** The caller's name for the statement that is now the unnamed one. */
  #loadedName: string | undefined;

  /** True if no message waits for a Sync. */
  get isEmpty(): boolean {
    return this.#frames.length === 0;
  }

  /** Adds a Parse, Bind, Describe, Execute or Close message. */
  add(frame: Frame): void {
    const body = new BodyReader(frame.body);
    switch (frame.type) {
      case 'P':
        return this.#parse(body);
      case 'B':
        return this.#bind(body);
      case 'D':
        return this.#describe(frame, body);
      case 'C':
        return this.#close(frame, body);
      case 'E':
        this.#executes++;
        this.#frames.push(frame.bytes);
        return;
      default:
        throw new ProtocolError(
          `message '${frame.type}' can't be part of a batch`,
        );
    }
  }

  /** Appends Sync, returns the batch and starts the next one. */
  finish(): Batch {
    const batch: Batch = {
      statements: this.#statements,
      executes: this.#executes,
      frames: Buffer.concat([...this.#frames, serialize.sync()]),
      expectedParses: this.#expectedParses,
    };
    this.#frames = [];
    this.#statements = [];
    this.#expectedParses = [];
    this.#executes = 0;
    this.#loadedName = undefined;
    return batch;
  }

  #parse(body: BodyReader): void {
    const name = body.cstring();
    const tail = body.rest();
    const sql = body.cstring();
    if (this.#prepared.size >= MAX_PREPARED && !this.#prepared.has(name)) {
      throw new ProtocolError(
        `more than ${MAX_PREPARED} prepared statements in a session; close some`,
      );
    }
    this.#prepared.set(name, {sql, parseArgs: tail});
    this.#loadStatement(name, true);
  }

  #bind(body: BodyReader): void {
    const portal = body.cstring();
    const name = body.cstring();
    this.#useStatement(name);
    this.#frames.push(
      buildFrame('B', cString(portal), cString(''), body.rest()),
    );
  }

  #describe(frame: Frame, body: BodyReader): void {
    if (String.fromCharCode(body.byte()) === 'P') {
      this.#frames.push(frame.bytes);
      return;
    }
    this.#useStatement(body.cstring());
    this.#frames.push(buildFrame('D', Buffer.from('S'), cString('')));
  }

  #close(frame: Frame, body: BodyReader): void {
    if (String.fromCharCode(body.byte()) === 'P') {
      this.#frames.push(frame.bytes);
      return;
    }
    this.#prepared.delete(body.cstring());
    this.#loadedName = undefined;
    this.#frames.push(buildFrame('C', Buffer.from('S'), cString('')));
  }

  /** Adds a Parse if the unnamed statement is not the given one yet. */
  #useStatement(name: string): void {
    const statement = this.#prepared.get(name);
    if (statement !== undefined) this.#statements.push(statement.sql);
    if (this.#loadedName !== name) this.#loadStatement(name, false);
  }

  #loadStatement(name: string, wanted: boolean): void {
    const statement = this.#prepared.get(name);
    if (statement === undefined) {
      throw new ProtocolError(
        `prepared statement "${name}" does not exist`,
        INVALID_STATEMENT_NAME,
      );
    }
    if (wanted) this.#statements.push(statement.sql);
    this.#frames.push(buildFrame('P', cString(''), statement.parseArgs));
    this.#expectedParses.push(wanted);
    this.#loadedName = name;
  }
}

/** Removes the ParseComplete messages that the caller does not expect. */
export class ParseCompleteFilter {
  readonly #wanted: readonly boolean[];
  #seen = 0;

  constructor(wanted: readonly boolean[]) {
    this.#wanted = wanted;
  }

  /** Returns the given whole frames without the unexpected ones. */
  filter(frames: Buffer): Buffer {
    if (this.#seen >= this.#wanted.length) return frames;
    const kept: Buffer[] = [];
    for (const {type, bytes} of splitFrames(frames)) {
      const isParse = type === PARSE_COMPLETE;
      if (!isParse || this.#wanted[this.#seen++] !== false) kept.push(bytes);
    }
    return kept.length === 1 && kept[0] ? kept[0] : Buffer.concat(kept);
  }
}
