/** The replicated log; each entry has an offset and the term that wrote it. */
import {START_POSITION, type Position} from '../../src/session/position.js';
import type {Change} from './tables.js';

/** A committed transaction, or a promotion (an entry without changes). */
export interface LogEntry extends Position {
  readonly changes: readonly Change[];
}

/** A log entry with its commit time in this process's monotonic time. */
export interface StoredEntry extends LogEntry {
  readonly committedMs: number;
}

/** Log entries with consecutive offsets that start at 1. */
export class Log {
  readonly #entries: StoredEntry[] = [];

  get length(): number {
    return this.#entries.length;
  }

  get last(): Position {
    return this.positionAt(this.length);
  }

  /**
   * Returns the position at `offset`; the start position if it has no entry.
   */
  positionAt(offset: number): Position {
    const entry = this.#entries[offset - 1];
    if (entry === undefined) return START_POSITION;
    return {term: entry.term, offset: entry.offset};
  }

  /** True if the log contains the entry at `position`. */
  contains(position: Position): boolean {
    if (position.offset === 0) return true;
    return this.#entries[position.offset - 1]?.term === position.term;
  }

  get(offset: number): StoredEntry | undefined {
    return this.#entries[offset - 1];
  }

  /** Returns at most `limit` entries after `offset`. */
  after(offset: number, limit = Infinity): readonly StoredEntry[] {
    return this.#entries.slice(offset, offset + limit);
  }

  append(entry: StoredEntry): void {
    this.#entries.push(entry);
  }

  /** Removes all entries after `offset`. */
  truncate(offset: number): void {
    this.#entries.length = Math.min(this.#entries.length, offset);
  }

  /** Returns the last offset before the term of the entry at `offset` began. */
  offsetBeforeTermOf(offset: number): number {
    const term = this.positionAt(offset).term;
    let start = offset;
    while (start > 0 && this.positionAt(start).term === term) start--;
    return start;
  }
}
