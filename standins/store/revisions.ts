/** Multi-version key space: keys, the store-wide revision and its history. */

/** A key with its current value and revisions. */
export interface KeyEntry {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  /** Id of the lease that the key is attached to, if any. */
  readonly lease: string | undefined;
}

/** A change of one key; `entry` is undefined for a deletion. */
export interface Change {
  readonly key: string;
  readonly revision: number;
  readonly entry: KeyEntry | undefined;
}

/** A half-open range of keys; without `end`, the single key `start`. */
export interface KeyRange {
  readonly start: string;
  readonly end: string | undefined;
}

/** A write to one key. */
export interface PutRequest {
  readonly key: string;
  readonly value: string;
  readonly lease: string | undefined;
}

/** True if the range contains the key; an `end` of NUL is unbounded. */
export function inRange(range: KeyRange, key: string): boolean {
  if (range.end === undefined) return key === range.start;
  return key >= range.start && (range.end === '\0' || key < range.end);
}

/** The keys and their history. Keys and values are binary strings. */
export class Revisions {
  readonly #entries = new Map<string, KeyEntry>();
  readonly #listeners = new Set<() => void>();
  #history: Change[] = [];
  #revision = 1;
  #compacted = 0;

  /** Revision of the latest change. */
  get revision(): number {
    return this.#revision;
  }

  /** Changes below this revision have been compacted. */
  get compactedRevision(): number {
    return this.#compacted;
  }

  get(key: string): KeyEntry | undefined {
    return this.#entries.get(key);
  }

  /** Returns the keys in a range in ascending order. */
  range(range: KeyRange): readonly KeyEntry[] {
    return [...this.#entries.values()]
      .filter(entry => inRange(range, entry.key))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  /** Writes keys in one new revision. */
  put(requests: readonly PutRequest[]): void {
    if (requests.length === 0) return;
    this.#revision += 1;
    for (const request of requests) {
      const previous = this.#entries.get(request.key);
      const entry: KeyEntry = {
        ...request,
        createRevision: previous?.createRevision ?? this.#revision,
        modRevision: this.#revision,
        version: (previous?.version ?? 0) + 1,
      };
      this.#entries.set(entry.key, entry);
      this.#history.push({key: entry.key, revision: this.#revision, entry});
    }
    this.#notify();
  }

  /** Deletes keys in one new revision; ignores keys that do not exist. */
  delete(keys: readonly string[]): void {
    const present = keys.filter(key => this.#entries.has(key));
    if (present.length === 0) return;
    this.#revision += 1;
    for (const key of present) {
      this.#entries.delete(key);
      const revision = this.#revision;
      this.#history.push({key, revision, entry: undefined});
    }
    this.#notify();
  }

  /** Returns the keys attached to a lease. */
  keysOfLease(lease: string): readonly string[] {
    return [...this.#entries.values()]
      .filter(entry => entry.lease === lease)
      .map(entry => entry.key);
  }

  /** Returns the changes in a range since a revision, oldest first. */
  changesSince(range: KeyRange, fromRevision: number): readonly Change[] {
    return this.#history.filter(
      change => change.revision >= fromRevision && inRange(range, change.key),
    );
  }

  /** Discards the history below a revision. */
  compact(revision: number): void {
    this.#compacted = Math.min(revision, this.#revision);
    this.#history = this.#history.filter(
      change => change.revision >= this.#compacted,
    );
    this.#notify();
  }

  /** Calls `listener` after each change; returns a function that removes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #notify(): void {
    for (const listener of [...this.#listeners]) listener();
  }
}
