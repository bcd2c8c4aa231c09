/** Observers of a database's answers on their way to the caller. */
import {isReadCurrent} from '../routing/read-router.js';
import {START_POSITION, type Position} from '../session/position.js';
import {readErrorFields} from '../targets/frames.js';
import type {AnswerObserver} from '../targets/types.js';
import type {PartSink} from './types.js';

const COMMAND_COMPLETE = 0x43;
/** Answers up to this size are sent in one piece, once they may count. */
const STREAM_FROM_BYTES = 16_384;
const ERROR_RESPONSE = 0x45;
/**
 * What a database answers that is not, or is no longer, primary. As an error
 * that leaves the connection open it says that nothing was committed.
 */
const NOT_PRIMARY_SQLSTATES: ReadonlySet<string> = new Set(['25006', '57P01']);
/** ParseComplete, BindComplete, CloseComplete, NoData, descriptions, notices. */
const PRELUDE_TYPES: ReadonlySet<number> = new Set(
  Array.from('123nTtN', type => type.charCodeAt(0)),
);

/**
 * Keeps a small answer back until it is certain that it may count. Of a larger
 * one the rows are passed on, and what follows from the first CommandComplete
 * is kept back.
 */
class CompletionHold {
  readonly #sink: PartSink;
  #held: Uint8Array[] = [];
  #heldBytes = 0;
  #forwarded = false;
  #completed = false;

  constructor(sink: PartSink) {
    this.#sink = sink;
  }

  /** Whether the caller has received a part of the answer. */
  get forwarded(): boolean {
    return this.#forwarded;
  }

  async pass(frames: Uint8Array): Promise<void> {
    if (this.#completed) return this.#keep(frames);
    const cut = findFrame(frames, type => type === COMMAND_COMPLETE);
    this.#completed = cut !== -1;
    const rows = cut === -1 ? frames : frames.subarray(0, cut);
    if (rows.length > 0) this.#keep(rows);
    if (this.#heldBytes > STREAM_FROM_BYTES) await this.flush();
    if (cut !== -1) this.#keep(frames.subarray(cut));
  }

  /** Hands on what was kept back, as one part. */
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

  #keep(frames: Uint8Array): void {
    this.#held.push(frames);
    this.#heldBytes += frames.length;
  }
}

/**
 * The answer to a read. It is dropped whole if the database turns out at its
 * start not to show what the session must see.
 */
export class ReadAnswer implements AnswerObserver {
  readonly #token: Position | undefined;
  readonly #hold: CompletionHold;
  readonly #accepts: (position: Position) => boolean;
  #position: Position | undefined;
  #stale = false;

  /** @param accepts Whether a database at this position may answer. */
  constructor(
    token: Position | undefined,
    sink: PartSink,
    accepts: (position: Position) => boolean,
  ) {
    this.#token = token;
    this.#hold = new CompletionHold(sink);
    this.#accepts = accepts;
  }

  /** Where the database stood when it ran the read. */
  get position(): Position | undefined {
    return this.#position;
  }

  /** Whether the answer was dropped. */
  get stale(): boolean {
    return this.#stale;
  }

  /** Whether the caller has received a part of the answer. */
  get forwarded(): boolean {
    return this.#hold.forwarded;
  }

  onStart(position: Position | undefined): boolean {
    this.#position = position;
    const shows = isReadCurrent(position, this.#token);
    this.#stale = !shows || !this.#accepts(position ?? START_POSITION);
    return true;
  }

  async onFrames(frames: Uint8Array): Promise<void> {
    if (!this.#stale) await this.#hold.pass(frames);
  }

  /** Completes the answer towards the caller. */
  flush(): Promise<void> {
    return this.#hold.flush();
  }
}

/** The answer to a write, complete only once the write is acknowledged. */
export class WriteAnswer implements AnswerObserver {
  readonly #hold: CompletionHold;
  /** Frames before the one that shows whether the database takes the write. */
  #prelude: Uint8Array[] | undefined = [];
  #startPosition: Position | undefined;
  #refused = false;

  constructor(sink: PartSink) {
    this.#hold = new CompletionHold(sink);
  }

  /** Where the database stood before the write. */
  get startPosition(): Position | undefined {
    return this.#startPosition;
  }

  /** Whether the database refused to be written to, and committed nothing. */
  get refused(): boolean {
    return this.#refused;
  }

  onStart(position: Position | undefined): boolean {
    this.#startPosition = position;
    return true;
  }

  async onFrames(frames: Uint8Array): Promise<void> {
    if (this.#refused) return;
    if (this.#prelude === undefined) return this.#hold.pass(frames);
    this.#prelude.push(frames);
    const at = findDecisive(frames);
    if (at === -1) return;
    this.#refused = isRefusal(frames.subarray(at));
    await this.#passPrelude();
  }

  /** Completes the answer towards the caller. */
  async flush(): Promise<void> {
    await this.#passPrelude();
    await this.#hold.flush();
  }

  async #passPrelude(): Promise<void> {
    const prelude = this.#prelude ?? [];
    this.#prelude = undefined;
    if (this.#refused) return;
    for (const frames of prelude) await this.#hold.pass(frames);
  }
}

function isRefusal(frame: Uint8Array): boolean {
  if (frame[0] !== ERROR_RESPONSE) return false;
  const {code} = readErrorFields(Buffer.from(frame));
  return NOT_PRIMARY_SQLSTATES.has(code);
}

/** The offset of the first frame that is not a prelude; -1 if all are. */
function findDecisive(frames: Uint8Array): number {
  return findFrame(frames, type => !PRELUDE_TYPES.has(type));
}

/** The offset of the first frame whose type fits; -1 if there is none. */
function findFrame(
  frames: Uint8Array,
  fits: (type: number) => boolean,
): number {
  const view = new DataView(frames.buffer, frames.byteOffset, frames.length);
  for (let at = 0; at < frames.length; at += 1 + view.getInt32(at + 1)) {
    if (fits(frames[at] ?? 0)) return at;
  }
  return -1;
}
