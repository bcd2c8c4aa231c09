/**
 * Extended-protocol batches. Target connections are shared, so no statement
 * may stay prepared on them: each batch carries the Parse messages of the
 * named statements that it uses, under the unnamed statement, and the extra
 * ParseComplete answers are dropped again.
 */
import {serialize} from 'pg-protocol';
import {buildFrame, cString, splitFrames} from '../targets/frames.js';
import {BodyReader} from './body-reader.js';
import {ProtocolError, type Frame} from './socket-reader.js';

const PARSE_COMPLETE = '1';
const UNKNOWN_STATEMENT = '26000';
/** Statements that one session may keep prepared. */
const MAX_PREPARED = 1_000;

/** A statement that the caller prepared under a name. */
interface Prepared {
  readonly sql: string;
  /** The Parse body after the name: SQL and parameter types. */
  readonly tail: Buffer;
}

/** A batch that is ready to run. */
export interface Batch {
  /** SQL of every statement that the batch parses or executes. */
  readonly statements: readonly string[];
  /** How many Execute messages it holds. */
  readonly executes: number;
  readonly frames: Buffer;
  /** For each ParseComplete in order: whether the caller expects it. */
  readonly wantedParses: readonly boolean[];
}

/** Rebuilds the caller's extended-protocol messages, batch by batch. */
export class BatchBuilder {
  readonly #prepared = new Map<string, Prepared>();
  #frames: Buffer[] = [];
  #statements: string[] = [];
  #wantedParses: boolean[] = [];
  #executes = 0;
  /** Which named statement the unnamed one on the target now holds. */
  #loaded: string | undefined;

  /** Whether anything waits for a Sync. */
  get isEmpty(): boolean {
    return this.#frames.length === 0;
  }

  /** Takes one Parse, Bind, Describe, Execute or Close message. */
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

  /** Ends the batch with Sync and starts the next one. */
  finish(): Batch {
    const batch: Batch = {
      statements: this.#statements,
      executes: this.#executes,
      frames: Buffer.concat([...this.#frames, serialize.sync()]),
      wantedParses: this.#wantedParses,
    };
    this.#frames = [];
    this.#statements = [];
    this.#wantedParses = [];
    this.#executes = 0;
    this.#loaded = undefined;
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
    this.#prepared.set(name, {sql, tail});
    this.#loadStatement(name, true);
  }

  #bind(body: BodyReader): void {
    const portal = body.cstring();
    const name = body.cstring();
    this.#use(name);
    this.#frames.push(
      buildFrame('B', cString(portal), cString(''), body.rest()),
    );
  }

  #describe(frame: Frame, body: BodyReader): void {
    if (String.fromCharCode(body.byte()) === 'P') {
      this.#frames.push(frame.bytes);
      return;
    }
    this.#use(body.cstring());
    this.#frames.push(buildFrame('D', Buffer.from('S'), cString('')));
  }

  #close(frame: Frame, body: BodyReader): void {
    if (String.fromCharCode(body.byte()) === 'P') {
      this.#frames.push(frame.bytes);
      return;
    }
    this.#prepared.delete(body.cstring());
    this.#loaded = undefined;
    this.#frames.push(buildFrame('C', Buffer.from('S'), cString('')));
  }

  /** Makes the unnamed statement on the target hold the named one. */
  #use(name: string): void {
    const statement = this.#prepared.get(name);
    if (statement !== undefined) this.#statements.push(statement.sql);
    if (this.#loaded !== name) this.#loadStatement(name, false);
  }

  #loadStatement(name: string, wanted: boolean): void {
    const statement = this.#prepared.get(name);
    if (statement === undefined) {
      throw new ProtocolError(
        `prepared statement "${name}" does not exist`,
        UNKNOWN_STATEMENT,
      );
    }
    if (wanted) this.#statements.push(statement.sql);
    this.#frames.push(buildFrame('P', cString(''), statement.tail));
    this.#wantedParses.push(wanted);
    this.#loaded = name;
  }
}

/** Drops the ParseComplete answers that the caller did not ask for. */
export class ParseFilter {
  readonly #wanted: readonly boolean[];
  #seen = 0;

  constructor(wanted: readonly boolean[]) {
    this.#wanted = wanted;
  }

  /** Takes whole frames, returns those meant for the caller. */
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
