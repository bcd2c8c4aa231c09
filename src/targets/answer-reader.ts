/** Passes one batch's answer on to its observer. */
import {parsePosition, type Position} from '../session/position.js';
import {readStrings, type Frame} from './frames.js';
import {
  TargetError,
  type AnswerObserver,
  type BatchEnd,
  type TransactionStatus,
} from './types.js';

/** The parameter in which a database reports its log position. */
export const POSITION_PARAMETER = 'platform.position';

/** Hands the frames of one answer to its observer in contiguous runs. */
export class AnswerReader {
  readonly #observer: AnswerObserver;
  #pending: Buffer | undefined;
  #position: Position | undefined;
  #started = false;
  #failed = false;

  constructor(observer: AnswerObserver) {
    this.#observer = observer;
  }

  /** Takes the next frame; rejects if the observer abandons the answer. */
  async accept(frame: Frame): Promise<void> {
    if (frame.type === 'S') return this.#readParameter(frame);
    if (frame.type === 'E') this.#failed = true;
    if (!this.#started) this.#start();
    const joined = joinAdjacent(this.#pending, frame.bytes);
    if (joined === undefined) await this.flush();
    this.#pending = joined ?? frame.bytes;
  }

  /** Hands on the frames held back and waits until they are taken. */
  async flush(): Promise<void> {
    const frames = this.#pending;
    if (frames === undefined) return;
    this.#pending = undefined;
    await this.#observer.onFrames(frames);
  }

  /** How the batch ended. */
  end(transaction: TransactionStatus): BatchEnd {
    return {transaction, position: this.#position, failed: this.#failed};
  }

  #start(): void {
    this.#started = true;
    if (this.#observer.onStart?.(this.#position) === false) {
      throw new TargetError('lost', 'the answer was abandoned at its start');
    }
  }

  #readParameter(frame: Frame): void {
    const [name, value] = readStrings(frame.bytes);
    if (name !== POSITION_PARAMETER) return;
    this.#position = parsePosition(value ?? '') ?? this.#position;
  }
}

/** Extends a run by a frame that follows it in the same memory. */
function joinAdjacent(
  run: Buffer | undefined,
  next: Buffer,
): Buffer | undefined {
  if (run === undefined || run.buffer !== next.buffer) return undefined;
  if (run.byteOffset + run.length !== next.byteOffset) return undefined;
  return Buffer.from(run.buffer, run.byteOffset, run.length + next.length);
}
