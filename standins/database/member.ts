/** Replication state of a group member: its log, role, term and fence. */
import type {
  ConfirmResult,
  DatabaseStatus,
  FenceResult,
} from '../../src/groups/types.js';
import {covers, type Position} from '../../src/session/position.js';
import {Log, type LogEntry, type StoredEntry} from './log.js';
import {OrderGates} from './order-gates.js';
import {ChangeSignal, type FreezeGate} from './signal.js';
import {SqlError} from './sql-error.js';
import {Tables, type RowSource} from './tables.js';
import type {WriteSet} from './write-set.js';

/** Orderer of term 1, with which a group starts. */
export const INITIAL_ORDERER = 'initial';

/** Log entries of a primary that follow an entry present in both logs. */
export interface EntryBatch {
  readonly term: number;
  readonly orderer: string;
  /** Position of the entry before the first of `entries`. */
  readonly previous: Position;
  readonly entries: readonly (LogEntry & {readonly ageMs: number})[];
}

/** One database's log, tables, role and fence. */
export class GroupMember {
  readonly log = new Log();
  /** Notifies waiters when the log, the role or the fence changes. */
  readonly changed = new ChangeSignal();
  /** Delays fence and promote orders for tests. */
  readonly orders = new OrderGates();
  readonly #tables = new Tables();
  readonly #gate: FreezeGate;
  #role: 'primary' | 'replica' = 'replica';
  #term = 0;
  #fencedTerm = 0;
  #fencedBy = '';
  #appliedOffset = 0;
  #lagMs: number;
  #lastContactMs = performance.now();
  #applyTimer: NodeJS.Timeout | undefined;

  constructor(lagMs: number, gate: FreezeGate) {
    this.#lagMs = lagMs;
    this.#gate = gate;
  }

  get role(): 'primary' | 'replica' {
    return this.#role;
  }

  get term(): number {
    return this.#term;
  }

  get fencedTerm(): number {
    return this.#fencedTerm;
  }

  get fencedBy(): string {
    return this.#fencedBy;
  }

  get applied(): Position {
    return this.log.positionAt(this.#appliedOffset);
  }

  get rows(): RowSource {
    return this.#tables;
  }

  status(): DatabaseStatus {
    const silentMs = performance.now() - this.#lastContactMs;
    return {
      role: this.#role,
      term: this.#term,
      fencedTerm: this.#fencedTerm,
      fencedBy: this.#fencedBy,
      received: this.log.last,
      applied: this.applied,
      upstreamSilentMs: this.#role === 'primary' ? 0 : Math.round(silentMs),
    };
  }

  setLag(lagMs: number): void {
    this.#lagMs = lagMs;
    this.#applyDue();
  }

  /** Cancels the apply timer. */
  close(): void {
    clearTimeout(this.#applyTimer);
  }

  /** Grants `term` to one orderer; a primary of an older term steps down. */
  fence(term: number, orderer: string): FenceResult {
    const repeated = term === this.#fencedTerm && orderer === this.#fencedBy;
    if (term <= this.#fencedTerm && !repeated) {
      return {kind: 'refused', fencedTerm: this.#fencedTerm};
    }
    this.#fencedTerm = term;
    this.#fencedBy = orderer;
    if (this.#role === 'primary' && this.#term < term) {
      this.#role = 'replica';
      this.#lastContactMs = performance.now();
    }
    this.changed.notify();
    return {kind: 'fenced', status: this.status()};
  }

  /**
   * Becomes primary of `term`. Returns false unless this orderer fenced that
   * term; repeated calls succeed.
   */
  promote(term: number, orderer: string): boolean {
    if (term !== this.#fencedTerm || orderer !== this.#fencedBy) return false;
    if (this.#role === 'primary') return true;
    // If this database follows the term already, the term may have a primary.
    if (this.#term === term) return false;
    this.#role = 'primary';
    this.#term = term;
    this.#append([]);
    return true;
  }

  /** Throws SqlError 57P01 unless this database is still primary of `term`. */
  checkPrimary(term: number): void {
    if (this.#role === 'primary' && this.#term === term) return;
    throw new SqlError(
      '57P01',
      `the database is no longer primary of term ${term}; nothing was committed`,
    );
  }

  /**
   * Commits a transaction that began in `term`; throws if that term has ended.
   */
  commit(term: number, writes: WriteSet): Position {
    this.checkPrimary(term);
    return this.#append(writes.rebase());
  }

  /**
   * Stores entries from a primary. Returns false if this database is primary,
   * if the sender is fenced off, or if the logs differ at `batch.previous`.
   */
  accept(batch: EntryBatch): boolean {
    if (this.#role === 'primary' || batch.term < this.#fencedTerm) return false;
    if (!this.log.contains(batch.previous)) return false;
    this.recordTerm(batch.term, batch.orderer);
    this.#term = batch.term;
    this.#lastContactMs = performance.now();
    for (const entry of batch.entries) this.#store(entry);
    this.#applyDue();
    this.changed.notify();
    return true;
  }

  /** Records a primary's term; a higher term fences this database. */
  recordTerm(term: number, orderer: string): void {
    if (term > this.#fencedTerm) this.fence(term, orderer);
  }

  /** Waits until the log holds `position` in `term`, a fence or the timeout. */
  async confirm(
    term: number,
    position: Position,
    timeoutMs: number,
  ): Promise<ConfirmResult> {
    const deadlineMs = performance.now() + timeoutMs;
    for (;;) {
      if (this.#fencedTerm > term) {
        return {kind: 'fenced', fencedTerm: this.#fencedTerm};
      }
      const received = this.log.last;
      if (this.#term === term && covers(received, position)) {
        return {kind: 'confirmed', received};
      }
      const remainingMs = deadlineMs - performance.now();
      if (remainingMs <= 0) return {kind: 'timeout', received};
      await this.changed.wait(remainingMs);
    }
  }

  /**
   * Appends an entry of the current term; applies it and all earlier entries.
   */
  #append(changes: LogEntry['changes']): Position {
    const position = {term: this.#term, offset: this.log.length + 1};
    this.log.append({...position, changes, committedMs: performance.now()});
    this.#applyUpTo(position.offset);
    this.changed.notify();
    return position;
  }

  /**
   * Appends an entry after truncating the entries that conflict with it. Each
   * promotion appends an entry of its own term, so a stale tail always
   * conflicts with the new primary's log and is removed.
   */
  #store(entry: LogEntry & {readonly ageMs: number}): void {
    if (this.log.contains(entry)) return;
    this.#truncate(entry.offset - 1);
    const {term, offset, changes, ageMs} = entry;
    const committedMs = performance.now() - ageMs;
    this.log.append({term, offset, changes, committedMs});
  }

  #truncate(offset: number): void {
    if (offset >= this.log.length) return;
    this.log.truncate(offset);
    if (this.#appliedOffset <= offset) return;
    this.#tables.clear();
    this.#appliedOffset = 0;
    this.#applyUpTo(offset);
  }

  #applyUpTo(offset: number): void {
    for (const entry of this.log.after(this.#appliedOffset)) {
      if (entry.offset > offset) break;
      this.#apply(entry);
    }
  }

  /**
   * Applies the entries whose lag has passed; sets a timer for the next one.
   */
  #applyDue(): void {
    clearTimeout(this.#applyTimer);
    if (this.#role === 'primary') return;
    for (;;) {
      const entry = this.log.get(this.#appliedOffset + 1);
      if (entry === undefined) return;
      const waitMs = entry.committedMs + this.#lagMs - performance.now();
      if (waitMs > 0) return this.#scheduleApply(waitMs);
      this.#apply(entry);
    }
  }

  #scheduleApply(waitMs: number): void {
    this.#applyTimer = setTimeout(() => {
      void this.#gate.waitUntilOpen().then(() => this.#applyDue());
    }, waitMs);
  }

  #apply(entry: StoredEntry): void {
    this.#tables.apply(entry.changes);
    this.#appliedOffset = entry.offset;
  }
}

/** Makes a member the primary of term 1, as in a new group. */
export function startAsPrimary(member: GroupMember): void {
  member.fence(1, INITIAL_ORDERER);
  member.promote(1, INITIAL_ORDERER);
}
