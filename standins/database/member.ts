/** A database as a member of its group: its log, role, term and fence. */
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

/** The orderer of the term with which a group starts. */
export const INITIAL_ORDERER = 'initial';

/** Entries of a primary, all after an entry that both logs hold. */
export interface EntryBatch {
  readonly term: number;
  readonly orderer: string;
  /** The entry after which `entries` follow. */
  readonly previous: Position;
  readonly entries: readonly (LogEntry & {readonly ageMs: number})[];
}

/** One database's replicated state. */
export class GroupMember {
  readonly log = new Log();
  /** Notified when the log, the role or the fence changes. */
  readonly changed = new ChangeSignal();
  /** Holds the platform's orders where a test says so. */
  readonly orders = new OrderGates();
  readonly #tables = new Tables();
  readonly #gate: FreezeGate;
  #role: 'primary' | 'replica' = 'replica';
  #term = 0;
  #fencedTerm = 0;
  #fencedBy = '';
  #appliedOffset = 0;
  #lagMs: number;
  #lastHeardMs = performance.now();
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
    const silentMs = performance.now() - this.#lastHeardMs;
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

  /** Stops the timers. */
  close(): void {
    clearTimeout(this.#applyTimer);
  }

  /** Grants a term to one orderer; an older primary becomes a replica. */
  fence(term: number, orderer: string): FenceResult {
    const repeated = term === this.#fencedTerm && orderer === this.#fencedBy;
    if (term <= this.#fencedTerm && !repeated) {
      return {kind: 'refused', fencedTerm: this.#fencedTerm};
    }
    this.#fencedTerm = term;
    this.#fencedBy = orderer;
    if (this.#role === 'primary' && this.#term < term) {
      this.#role = 'replica';
      this.#lastHeardMs = performance.now();
    }
    this.changed.notify();
    return {kind: 'fenced', status: this.status()};
  }

  /** Becomes primary of a term that this orderer fenced; repeatable. */
  promote(term: number, orderer: string): boolean {
    if (term !== this.#fencedTerm || orderer !== this.#fencedBy) return false;
    if (this.#role === 'primary') return true;
    // A primary of this term may exist if this database already follows it.
    if (this.#term === term) return false;
    this.#role = 'primary';
    this.#term = term;
    this.#append([]);
    return true;
  }

  /** Refuses work unless this database is still primary of `term`. */
  checkPrimary(term: number): void {
    if (this.#role === 'primary' && this.#term === term) return;
    throw new SqlError(
      '57P01',
      `the database is no longer primary of term ${term}; nothing was committed`,
    );
  }

  /** Commits a transaction that began in `term`; throws if that has ended. */
  commit(term: number, writes: WriteSet): Position {
    this.checkPrimary(term);
    return this.#append(writes.rebase());
  }

  /** Takes over a primary's entries; false if the primary is fenced off. */
  accept(batch: EntryBatch): boolean {
    if (this.#role === 'primary' || batch.term < this.#fencedTerm) return false;
    if (!this.log.holds(batch.previous)) return false;
    this.noteTerm(batch.term, batch.orderer);
    this.#term = batch.term;
    this.#lastHeardMs = performance.now();
    for (const entry of batch.entries) this.#store(entry);
    this.#applyDue();
    this.changed.notify();
    return true;
  }

  /** Learns of a primary's term, which fences as an order of it would. */
  noteTerm(term: number, orderer: string): void {
    if (term > this.#fencedTerm) this.fence(term, orderer);
  }

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

  /** Appends an entry of this term, and applies it and all before it. */
  #append(changes: LogEntry['changes']): Position {
    const position = {term: this.#term, offset: this.log.length + 1};
    this.log.append({...position, changes, committedMs: performance.now()});
    this.#applyUpTo(position.offset);
    this.changed.notify();
    return position;
  }

  /**
   * Appends an entry, and drops a tail that conflicts with it. A primary's log
   * always has an entry of its own term where an older tail would go on, so a
   * tail is never left over.
   */
  #store(entry: LogEntry & {readonly ageMs: number}): void {
    if (this.log.holds(entry)) return;
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

  /** Applies the entries whose lag has passed and waits for the next. */
  #applyDue(): void {
    clearTimeout(this.#applyTimer);
    if (this.#role === 'primary') return;
    for (;;) {
      const entry = this.log.get(this.#appliedOffset + 1);
      if (entry === undefined) return;
      const waitMs = entry.committedMs + this.#lagMs - performance.now();
      if (waitMs > 0) return this.#applyLater(waitMs);
      this.#apply(entry);
    }
  }

  #applyLater(waitMs: number): void {
    this.#applyTimer = setTimeout(() => {
      void this.#gate.pass().then(() => this.#applyDue());
    }, waitMs);
  }

  #apply(entry: StoredEntry): void {
    this.#tables.apply(entry.changes);
    this.#appliedOffset = entry.offset;
  }
}

/** A member that leads term 1, as a new group's primary does. */
export function startAsPrimary(member: GroupMember): void {
  member.fence(1, INITIAL_ORDERER);
  member.promote(1, INITIAL_ORDERER);
}
