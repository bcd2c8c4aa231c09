/** Errors of the etcd adapter. */
import {StoreError, type StoreFailureKind} from './store.js';

/** The store answered with an HTTP error status. */
export class StoreRefusalError extends StoreError {
  constructor(
    readonly status: number,
    kind: StoreFailureKind,
    message: string,
  ) {
    super(kind, message);
    this.name = 'StoreRefusalError';
  }
}

/**
 * A watch asked for revisions that the store has compacted. Read the keys
 * again, then watch from `compactRevision`: every change since then is in that
 * read or reported by that watch.
 */
export class WatchCompactedError extends StoreError {
  constructor(readonly compactRevision: number) {
    super(
      'notSent',
      `the store keeps no changes before revision ${compactRevision}`,
    );
    this.name = 'WatchCompactedError';
  }
}

/** Converts an error thrown during `operation` to a {@link StoreError}. */
export function toStoreError(
  err: unknown,
  kind: StoreFailureKind,
  operation: string,
): StoreError {
  if (err instanceof StoreError) return err;
  const refused = isConnectionRefused(err);
  const reason = describeReason(err);
  return new StoreError(
    refused ? 'notSent' : kind,
    `${operation} failed: ${reason}; check --store and that the store is up`,
  );
}

function isConnectionRefused(err: unknown): boolean {
  return readCauseCode(err) === 'ECONNREFUSED';
}

function describeReason(err: unknown): string {
  const code = readCauseCode(err);
  if (code !== undefined) return code;
  return err instanceof Error ? err.message : String(err);
}

function readCauseCode(err: unknown): string | undefined {
  const cause = err instanceof Error ? err.cause : undefined;
  if (typeof cause !== 'object' || cause === null) return undefined;
  if (!('code' in cause) || typeof cause.code !== 'string') return undefined;
  return cause.code;
}
