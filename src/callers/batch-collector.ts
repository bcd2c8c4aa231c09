/** Collects the messages of an extended-protocol batch up to its Sync. */
import {BatchBuilder, type Batch} from './batch.js';
import {ProtocolError, type Frame} from './socket-reader.js';

const BATCH_TYPES: ReadonlySet<string> = new Set(['P', 'B', 'D', 'C', 'E']);
/** What the protocol knows and this proxy does not serve. */
const UNSUPPORTED_TYPES: ReadonlyMap<string, string> = new Map([
  ['H', 'Flush is not served; send Sync'],
  ['F', 'function calls are not served'],
]);
const UNSUPPORTED = '0A000';
/** A batch of nothing but Sync. */
const SYNC_BYTES = 5;

/** Why a batch is refused. */
export interface BatchFault {
  readonly sqlstate: string;
  readonly message: string;
}

/** The batch that a session sends, or its rest while that is skipped. */
export class BatchCollector {
  readonly #builder = new BatchBuilder();
  /** Set while the rest of a faulty batch is skipped up to its Sync. */
  #skipping = false;

  /** Whether anything waits for a Sync. */
  get isEmpty(): boolean {
    return this.#builder.isEmpty;
  }

  /**
   * Takes a message; after a fault, everything up to the Sync is skipped.
   *
   * @throws ProtocolError if the protocol has no such message
   */
  add(frame: Frame): BatchFault | undefined {
    if (this.#skipping) return undefined;
    const fault = this.#faultOf(frame);
    if (fault === undefined) return undefined;
    this.#builder.finish();
    this.#skipping = true;
    return fault;
  }

  /** Ends the batch; undefined if it has nothing to run. */
  finish(): Batch | undefined {
    const batch = this.#builder.finish();
    const wasSkipping = this.#skipping;
    this.#skipping = false;
    return wasSkipping || batch.frames.length <= SYNC_BYTES ? undefined : batch;
  }

  #faultOf(frame: Frame): BatchFault | undefined {
    const message = UNSUPPORTED_TYPES.get(frame.type);
    if (message !== undefined) return {sqlstate: UNSUPPORTED, message};
    if (!BATCH_TYPES.has(frame.type)) {
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
