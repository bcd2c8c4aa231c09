/** Observers that check a database's answers before the caller gets them. */
import {isReadCurrent} from '../routing/read-router.js';
import {START_POSITION, type Position} from '../session/position.js';
import {readErrorFields} from '../targets/frames.js';
import type {AnswerObserver} from '../targets/types.js';
import type {PartSink} from './types.js';

const COMMAND_COMPLETE = 0x43;
/** Answers up to this size are buffered whole until they are confirmed. */
const STREAM_THRESHOLD_BYTES = 16_384;
const ERROR_RESPONSE = 0x45;
/**
 * SQLSTATEs of a database that is not, or is no longer, the primary:
 * read_only_sql_transaction and admin_shutdown. If the connection stays open
 * after such an error, nothing was committed.
 */
const NOT_PRIMARY_SQLSTATES: ReadonlySet<string> = new Set(['25006', '57P01']);
/** ParseComplete, BindComplete, CloseComplete, NoData, descriptions, notices. */
const PRELUDE_TYPES: ReadonlySet<number> = new Set(
  Array.from('123nTtN', type => type.charCodeAt(0)),
);

/**
 * Buffers a small answer until it is confirmed. Streams the rows of a larger
 * answer, and buffers it from the first CommandComplete on.
 */
class CompletionBuffer {
  readonly #sink: PartSink;
  #held: Uint8Array[] = [];
  #heldBytes = 0;
  #forwarded = false;
  #completed = false;

  constructor(sink: PartSink) {
    this.#sink = sink;
  }

  /** True if the caller has received a part of the answer. */
  get forwarded(): boolean {
    return this.#forwarded;
  }

  async append(frames: Uint8Array): Promise<void> {
    if (this.#completed) return this.#buffer(frames);
    const end = findFrame(frames, type => type === COMMAND_COMPLETE);
    this.#completed = end !== -1;
    const rows = end === -1 ? frames : frames.subarray(0, end);
    if (rows.length > 0) this.#buffer(rows);
    if (this.#heldBytes > STREAM_THRESHOLD_BYTES) await this.flush();
    if (end !== -1) this.#buffer(frames.subarray(end));
  }

  /** Sends the buffered frames as one part. */
  async flush(): Promise<void> {
    const held = this.#held;
    if (held.length === 0) return;
    this.#held = [];
    this.#heldBytes = 0;
    this.#forwarded = true;
    const [only] = held;
    await this.#sink(
      held.length === 1 && only !== undefined ? only : Buffer.concat(held),
    );
  }

  #buffer(frames: Uint8Array): void {
    this.#held.push(frames);
    this.#heldBytes += frames.length;
  }
}

/**
 * The answer to a read. It is discarded if the database reports at its start a
 * position that is too old for the session.
 */
export class ReadAnswer implements AnswerObserver {
  readonly #token: Position | undefined;
  readonly #buffer: CompletionBuffer;
  readonly #accepts: (position: Position) => boolean;
  #position: Position | undefined;
  #stale = false;

  /** @param accepts Returns whether a database at this position may answer. */
  constructor(
    token: Position | undefined,
    sink: PartSink,
    accepts: (position: Position) => boolean,
  ) {
    this.#token = token;
    this.#buffer = new CompletionBuffer(sink);
    this.#accepts = accepts;
  }

  /** The log position of the database when it ran the read. */
  get position(): Position | undefined {
    return this.#position;
  }

  /** True if the answer was discarded. */
  get stale(): boolean {
    return this.#stale;
  }

  /** True if the caller has received a part of the answer. */
  get forwarded(): boolean {
    return this.#buffer.forwarded;
  }

  onStart(position: Position | undefined): boolean {
    this.#position = position;
    const isCurrent = isReadCurrent(position, this.#token);
    this.#stale = !isCurrent || !this.#accepts(position ?? START_POSITION);
    return true;
  }

  async onFrames(frames: Uint8Array): Promise<void> {
    if (!this.#stale) await this.#buffer.append(frames);
  }

  /** Sends the rest of the answer to the caller. */
  flush(): Promise<void> {
    return this.#buffer.flush();
  }
}

/** The answer to a write, completed once the write is acknowledged. */
export class WriteAnswer implements AnswerObserver {
  readonly #buffer: CompletionBuffer;
  /** Frames before the one that tells whether the write is accepted. */
  #prelude: Uint8Array[] | undefined = [];
  #startPosition: Position | undefined;
  #refused = false;

  constructor(sink: PartSink) {
    this.#buffer = new CompletionBuffer(sink);
  }

  /** The log position of the database before the write. */
  get startPosition(): Position | undefined {
    return this.#startPosition;
  }

  /** True if the database is not the primary and committed nothing. */
  get refused(): boolean {
    return this.#refused;
  }

  onStart(position: Position | undefined): boolean {
    this.#startPosition = position;
    return true;
  }

  async onFrames(frames: Uint8Array): Promise<void> {
    if (this.#refused) return;
    if (this.#prelude === undefined) return this.#buffer.append(frames);
    this.#prelude.push(frames);
    const at = findEndOfPrelude(frames);
    if (at === -1) return;
    this.#refused = isNotPrimaryError(frames.subarray(at));
    await this.#flushPrelude();
  }

  /** Sends the rest of the answer to the caller. */
  async flush(): Promise<void> {
    await this.#flushPrelude();
    await this.#buffer.flush();
  }

  async #flushPrelude(): Promise<void> {
    const prelude = this.#prelude ?? [];
    this.#prelude = undefined;
    if (this.#refused) return;
    for (const frames of prelude) await this.#buffer.append(frames);
  }
}

function isNotPrimaryError(frame: Uint8Array): boolean {
  if (frame[0] !== ERROR_RESPONSE) return false;
  const {code} = readErrorFields(Buffer.from(frame));
  return NOT_PRIMARY_SQLSTATES.has(code);
}

/** Returns the offset of the first frame after the prelude, or -1. */
function findEndOfPrelude(frames: Uint8Array): number {
  return findFrame(frames, type => !PRELUDE_TYPES.has(type));
}

/** Returns the offset of the first frame whose type matches, or -1. */
function findFrame(
  frames: Uint8Array,
  matches: (type: number) => boolean,
): number {
  const view = new DataView(frames.buffer, frames.byteOffset, frames.length);
  for (let at = 0; at < frames.length; at += 1 + view.getInt32(at + 1)) {
    if (matches(frames[at] ?? 0)) return at;
  }
  return -1;
}
