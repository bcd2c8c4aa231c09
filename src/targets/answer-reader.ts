/** Streams a database's answer to one batch to its observer. */
import {parsePosition, type Position} from '../session/position.js';
import {readCStrings, type Frame} from './frames.js';
import {
  TargetError,
  type AnswerObserver,
  type BatchOutcome,
  type TransactionStatus,
} from './types.js';

/** The ParameterStatus with which a database reports its log position. */
export const POSITION_PARAMETER = 'platform.position';

/** Passes the frames of an answer to its observer, joined where contiguous. */
export class AnswerReader {
  readonly #observer: AnswerObserver;
  #pending: Buffer | undefined;
  #position: Position | undefined;
  #started = false;
  #failed = false;

  constructor(observer: AnswerObserver) {
    this.#observer = observer;
  }

  /**
   * Adds the next frame. ParameterStatus is consumed here and not passed on.
   *
   * @throws TargetError `lost` if the observer abandons the answer
   */
  async add(frame: Frame): Promise<void> {
    if (frame.type === 'S') return this.#readParameter(frame);
    if (frame.type === 'E') this.#failed = true;
    if (!this.#started) this.#start();
    const joined = extendContiguous(this.#pending, frame.bytes);
    if (joined === undefined) await this.flush();
    this.#pending = joined ?? frame.bytes;
  }

  /** Passes on the pending frames and waits for the observer. */
  async flush(): Promise<void> {
    const frames = this.#pending;
    if (frames === undefined) return;
    this.#pending = undefined;
    await this.#observer.onFrames(frames);
  }

  /** Returns the batch's outcome, given the status in its ReadyForQuery. */
  finish(transaction: TransactionStatus): BatchOutcome {
    return {transaction, position: this.#position, failed: this.#failed};
  }

  #start(): void {
    this.#started = true;
    if (this.#observer.onStart?.(this.#position) === false) {
      throw new TargetError('lost', 'the answer was abandoned at its start');
    }
  }

  #readParameter(frame: Frame): void {
    const [name, value] = readCStrings(frame.bytes);
    if (name !== POSITION_PARAMETER) return;
    this.#position = parsePosition(value ?? '') ?? this.#position;
  }
}

/**
 * Joins frames without a copy; undefined if `next` does not directly follow
 * `run` in the same buffer.
 */
function extendContiguous(
  run: Buffer | undefined,
  next: Buffer,
): Buffer | undefined {
  if (run === undefined || run.buffer !== next.buffer) return undefined;
  if (run.byteOffset + run.length !== next.byteOffset) return undefined;
  return Buffer.from(run.buffer, run.byteOffset, run.length + next.length);
}
