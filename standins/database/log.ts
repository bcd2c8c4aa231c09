/** The replicated log: an offset for every entry, and the term that wrote it. */
import {START_POSITION, type Position} from '../../src/session/position.js';
import type {Change} from './tables.js';

/** One committed transaction, or a promotion, which changes nothing. */
export interface LogEntry extends Position {
  readonly changes: readonly Change[];
}

/** A log entry with the time of its commit on this database's clock. */
export interface StoredEntry extends LogEntry {
  readonly committedMs: number;
}

/** Entries with offsets 1, 2, 3, ... */
export class Log {
  readonly #entries: StoredEntry[] = [];

  get length(): number {
    return this.#entries.length;
  }

  get last(): Position {
    return this.positionAt(this.length);
  }

  /** The position at `offset`; the start for offset 0 or one not held. */
  positionAt(offset: number): Position {
    const entry = this.#entries[offset - 1];
    if (entry === undefined) return START_POSITION;
    return {term: entry.term, offset: entry.offset};
  }

  /** Whether the log holds the entry at `position`. */
  holds(position: Position): boolean {
    if (position.offset === 0) return true;
    return this.#entries[position.offset - 1]?.term === position.term;
  }

  get(offset: number): StoredEntry | undefined {
    return this.#entries[offset - 1];
  }

  /** Entries after `offset`, at most `limit`. */
  after(offset: number, limit = Infinity): readonly StoredEntry[] {
    return this.#entries.slice(offset, offset + limit);
  }

  append(entry: StoredEntry): void {
    this.#entries.push(entry);
  }

  /** Drops every entry after `offset`. */
  truncate(offset: number): void {
    this.#entries.length = Math.min(this.#entries.length, offset);
  }

  /** The offset before the first entry of the term of the entry at `offset`. */
  beforeTermOf(offset: number): number {
    const term = this.positionAt(offset).term;
    let start = offset;
    while (start > 0 && this.positionAt(start).term === term) start--;
    return start;
  }
}
