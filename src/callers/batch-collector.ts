/** Collects the messages of an extended-protocol batch up to its Sync. */
import {BatchBuilder, type Batch} from './batch.js';
import {ProtocolError, type Frame} from './socket-reader.js';

const BATCH_MESSAGE_TYPES: ReadonlySet<string> = new Set([
  'P',
  'B',
  'D',
  'C',
  'E',
]);
/** Protocol messages that this proxy does not support, and the error text. */
const UNSUPPORTED_MESSAGE_TYPES: ReadonlyMap<string, string> = new Map([
  ['H', 'Flush is not served; send Sync'],
  ['F', 'function calls are not served'],
]);
const FEATURE_NOT_SUPPORTED = '0A000';
/** Length of a batch that holds only Sync. */
const SYNC_BYTES = 5;

/** The error with which a batch is refused. */
export interface BatchFault {
  readonly sqlstate: string;
  readonly message: string;
}

/** Builds the current batch and, after an error, skips messages up to Sync. */
export class BatchCollector {
  readonly #builder = new BatchBuilder();
  /** True after an error, until the Sync that ends the batch. */
  #skipping = false;

  /** True if no message waits for a Sync. */
  get isEmpty(): boolean {
    return this.#builder.isEmpty;
  }

  /**
   * Adds a message. Returns the error of an unsupported or invalid one, after
   * which all messages up to the Sync are skipped.
   *
   * @throws ProtocolError if the message type is not in the protocol
   */
  add(frame: Frame): BatchFault | undefined {
    if (this.#skipping) return undefined;
    const fault = this.#tryAdd(frame);
    if (fault === undefined) return undefined;
    this.#builder.finish();
    this.#skipping = true;
    return fault;
  }

  /** Ends the batch at its Sync; undefined if there is nothing to run. */
  finish(): Batch | undefined {
    const batch = this.#builder.finish();
    const wasSkipping = this.#skipping;
    this.#skipping = false;
    return wasSkipping || batch.frames.length <= SYNC_BYTES ? undefined : batch;
  }

  #tryAdd(frame: Frame): BatchFault | undefined {
    const message = UNSUPPORTED_MESSAGE_TYPES.get(frame.type);
    if (message !== undefined)
      return {sqlstate: FEATURE_NOT_SUPPORTED, message};
    if (!BATCH_MESSAGE_TYPES.has(frame.type)) {
      throw new ProtocolError(`message type '${frame.type}' is not known`);
    }
    try {
      this.#builder.add(frame);
      return undefined;
    } catch (err) {
      if (!(err instanceof ProtocolError)) throw err;
      return {sqlstate: err.sqlstate, message: err.message};
    }
  }
}
