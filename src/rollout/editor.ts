/** Edits the configuration in the store, despite races and lost answers. */
import type {Clock, Random} from '../infra/clock.js';
import {StoreError, type Store} from '../infra/store.js';
import {applyChange, summarizeChange, type Change} from './changes.js';
import {
  MAX_DOCUMENT_BYTES,
  decodeDocument,
  encodeDocument,
} from './config-codec.js';
import {CONFIG_KEY, ConfigDocument} from './config-document.js';
import type {EditResult} from './edit-result.js';
import type {RowRef} from './table.js';

/** Default time for which an edit is retried. */
export const DEFAULT_EDIT_TIMEOUT_MS = 10_000;

const MAX_EDIT_ID_LENGTH = 64;
const FIRST_RETRY_DELAY_MS = 20;
const MAX_RETRY_DELAY_MS = 1_000;

/** The operator and the id under which the edit is applied at most once. */
export interface EditIdentity {
  readonly id: string;
  readonly by: string;
}

/** Dependencies and settings of {@link ConfigEditor}. */
export interface ConfigEditorOptions {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: Random;
  readonly timeoutMs?: number;
}

/** A document and its store revision. */
export interface StoredConfig {
  readonly document: ConfigDocument;
  /** 0 if the store holds no configuration. */
  readonly revision: number;
}

/** Reads the configuration; {@link ConfigDocument.EMPTY} before any edit. */
export async function readConfig(store: Store): Promise<StoredConfig> {
  const stored = await store.get(CONFIG_KEY);
  if (stored === undefined) {
    return {document: ConfigDocument.EMPTY, revision: 0};
  }
  return {document: decodeDocument(stored.value), revision: stored.revision};
}

/** State kept between the attempts of one edit. */
interface EditProgress {
  /** The version that the operator saw. */
  baseVersion: number | undefined;
  /** The version on which the earliest write without an answer was based. */
  uncertainSince: number | undefined;
}

/**
 * Edits the configuration under compare-and-swap.
 *
 * An edit whose answer was lost is looked up by its id among the stored edits.
 * If so many edits followed that the id may have been discarded, the result is
 * `unsettled`: the editor never applies an edit twice.
 */
export class ConfigEditor {
  readonly #store: Store;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #timeoutMs: number;

  constructor(options: ConfigEditorOptions) {
    this.#store = options.store;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_EDIT_TIMEOUT_MS;
  }

  /**
   * Applies a change once.
   *
   * @example
   * const result = await editor.edit(
   *   {kind: 'rows', edits: [{kind: 'put', row}], baseVersion: 41},
   *   {id: randomUUID(), by: 'ana'},
   * );
   */
  async edit(change: Change, identity: EditIdentity): Promise<EditResult> {
    if (identity.id === '' || identity.id.length > MAX_EDIT_ID_LENGTH) {
      const reason = `an edit id has 1 to ${MAX_EDIT_ID_LENGTH} characters; use a UUID`;
      return {kind: 'refused', reason};
    }
    const progress: EditProgress = {
      baseVersion: change.kind === 'rows' ? change.baseVersion : undefined,
      uncertainSince: undefined,
    };
    let lastError = 'other edits kept winning the race';
    const deadline = this.#clock.now() + this.#timeoutMs;
    for (let attempt = 1; this.#clock.now() < deadline; attempt += 1) {
      try {
        const result = await this.#attempt(change, identity, progress);
        if (result !== undefined) return result;
      } catch (err) {
        if (!(err instanceof StoreError)) throw err;
        lastError = err.message;
      }
      await this.#backOff(attempt);
    }
    return progress.uncertainSince === undefined
      ? {kind: 'unreachable', reason: lastError}
      : {kind: 'unsettled', editId: identity.id, reason: lastError};
  }

  /** One read and at most one write; undefined if another attempt is needed. */
  async #attempt(
    change: Change,
    identity: EditIdentity,
    progress: EditProgress,
  ): Promise<EditResult | undefined> {
    const config = await readConfig(this.#store);
    const {document} = config;
    const earlier = findEarlierResult(document, identity, progress);
    if (earlier !== undefined) return earlier;
    progress.baseVersion ??= document.version;
    const result = applyChange(document, change, progress.baseVersion);
    switch (result.kind) {
      case 'unchanged':
        return {kind: 'unchanged', version: document.version};
      case 'refused':
        return {kind: 'refused', reason: result.message};
      case 'conflict':
        return createConflictResult(
          document,
          result.row,
          result.version,
          identity,
        );
      case 'changed': {
        const next = result.document.withEdit({
          ...identity,
          at: this.#clock.wallNow(),
          summary: summarizeChange(change),
        });
        return this.#write(config, next, progress);
      }
    }
  }

  async #write(
    config: StoredConfig,
    next: ConfigDocument,
    progress: EditProgress,
  ): Promise<EditResult | undefined> {
    const text = encodeDocument(next);
    const bytes = Buffer.byteLength(text);
    if (bytes > MAX_DOCUMENT_BYTES) {
      const reason =
        `the configuration would take ${bytes} bytes, over the store's limit ` +
        `of ${MAX_DOCUMENT_BYTES}; withdraw keys or remove rows first`;
      return {kind: 'refused', reason};
    }
    try {
      const swap = await this.#store.compareAndSwap(
        CONFIG_KEY,
        config.revision,
        text,
      );
      if (swap.kind === 'conflict') return undefined;
      return {kind: 'applied', version: next.version, repeated: false};
    } catch (err) {
      if (err instanceof StoreError && err.kind === 'unknown') {
        progress.uncertainSince ??= config.document.version;
      }
      throw err;
    }
  }

  async #backOff(attempt: number): Promise<void> {
    const maxDelayMs = Math.min(
      FIRST_RETRY_DELAY_MS * 2 ** attempt,
      MAX_RETRY_DELAY_MS,
    );
    await this.#clock.sleep(maxDelayMs * (0.5 + this.#random.next() / 2));
  }
}

/**
 * Returns the result if the edit is already stored, or if that can no longer be
 * determined.
 */
function findEarlierResult(
  document: ConfigDocument,
  identity: EditIdentity,
  progress: EditProgress,
): EditResult | undefined {
  const found = document.findEdit(identity.id);
  if (found !== undefined) {
    return {kind: 'applied', version: found.version, repeated: true};
  }
  const since = progress.uncertainSince;
  if (since === undefined) return undefined;
  if (!document.hasEditsSince(since)) {
    const reason = 'more edits followed than the configuration remembers';
    return {kind: 'unsettled', editId: identity.id, reason};
  }
  // A write still in flight fails its compare-and-swap once the version that
  // it is based on has been replaced.
  if (document.version > since) progress.uncertainSince = undefined;
  return undefined;
}

/** The result of an edit whose row another operator changed. */
export function createConflictResult(
  document: ConfigDocument,
  row: RowRef,
  version: number,
  identity: EditIdentity,
): EditResult {
  return {
    kind: 'conflict',
    row,
    version,
    yours: identity.by,
    theirs: document.findEditAt(version)?.by ?? 'an operator of an older edit',
  };
}
