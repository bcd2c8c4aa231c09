/** One database of a fake group, with its log, role, term and fence. */
import type {
  ConfirmResult,
  DatabaseSpec,
  DatabaseStatus,
  FenceResult,
} from '../../src/groups/types.js';
import {
  covers,
  START_POSITION,
  type Position,
} from '../../src/session/position.js';
import {TargetError} from '../../src/targets/types.js';
import type {VirtualClock} from './virtual-clock.js';

/** A log entry; replicas share the object with the primary that wrote it. */
export interface Entry extends Position {
  /** The written value; undefined for the first entry of a term. */
  readonly write: string | undefined;
}

interface PendingConfirm {
  readonly term: number;
  readonly position: Position;
  readonly settle: (result: ConfirmResult) => void;
}

/** A database whose state survives crashes. */
export class FakeDatabase {
  readonly spec: DatabaseSpec;
  role: 'primary' | 'replica' = 'replica';
  term = 0;
  fencedTerm = 0;
  fencedBy = '';
  log: Entry[] = [];
  /** Replica lag: time from receiving an entry until reads include it. */
  applyLagMs = 0;
  up = true;
  /** The promotions that took effect. */
  readonly promotions: {readonly term: number; readonly at: number}[] = [];
  readonly #clock: VirtualClock;
  readonly #confirms = new Set<PendingConfirm>();
  /** Log length after each change, for the replica lag. */
  readonly #received: {readonly at: number; readonly length: number}[] = [];
  #lastContactMs = 0;
  /** Requests received while frozen; undefined while running. */
  #held: (() => void)[] | undefined;

  constructor(spec: DatabaseSpec, clock: VirtualClock) {
    this.spec = spec;
    this.#clock = clock;
  }

  get frozen(): boolean {
    return this.#held !== undefined;
  }

  get received(): Position {
    return this.log.at(-1) ?? START_POSITION;
  }

  get appliedLength(): number {
    if (this.role === 'primary') return this.log.length;
    const due = this.#clock.now() - this.applyLagMs;
    const length = this.#received.findLast(({at}) => at <= due)?.length ?? 0;
    return Math.min(length, this.log.length);
  }

  get applied(): Position {
    return this.log[this.appliedLength - 1] ?? START_POSITION;
  }

  freeze(): void {
    this.#held ??= [];
  }

  /** Ends the freeze and runs the requests that arrived meanwhile. */
  resume(): void {
    const held = this.#held ?? [];
    this.#held = undefined;
    for (const run of held) run();
  }

  crash(): void {
    this.up = false;
    this.#held = undefined;
    this.#confirms.clear();
  }

  restart(): void {
    if (this.up) return;
    this.up = true;
    this.#lastContactMs = this.#clock.now();
  }

  /** Runs `work` now, or after {@link resume} while the database is frozen. */
  whenRunning(work: () => void): void {
    if (this.#held === undefined) work();
    else this.#held.push(work);
  }

  status(): DatabaseStatus {
    const silentMs = this.#clock.now() - this.#lastContactMs;
    return {
      role: this.role,
      term: this.term,
      fencedTerm: this.fencedTerm,
      fencedBy: this.fencedBy,
      received: this.received,
      applied: this.applied,
      upstreamSilentMs: this.role === 'primary' ? 0 : silentMs,
    };
  }

  fence(term: number, orderer: string): FenceResult {
    const repeated = term === this.fencedTerm && orderer === this.fencedBy;
    if (term <= this.fencedTerm && !repeated) {
      return {kind: 'refused', fencedTerm: this.fencedTerm};
    }
    this.fencedTerm = term;
    this.fencedBy = orderer;
    if (this.role === 'primary' && this.term < term) this.#stepDown();
    this.#checkConfirms();
    return {kind: 'fenced', status: this.status()};
  }

  promote(term: number, orderer: string): boolean {
    if (term !== this.fencedTerm || orderer !== this.fencedBy) return false;
    if (this.role === 'primary') return true;
    if (this.term === term) return false;
    this.role = 'primary';
    this.term = term;
    this.promotions.push({term, at: this.#clock.now()});
    this.#append(undefined);
    return true;
  }

  commit(write: string): Position {
    if (this.role !== 'primary') {
      throw new TargetError(
        'refused',
        `${this.spec.id} is not the primary`,
        '25006',
      );
    }
    return this.#append(write);
  }

  /** Calls `settle` with the result, after `timeoutMs` at the latest. */
  confirm(
    term: number,
    position: Position,
    timeoutMs: number,
    settle: (result: ConfirmResult) => void,
  ): void {
    const pending = {term, position, settle};
    this.#confirms.add(pending);
    this.#checkConfirms();
    if (!this.#confirms.has(pending)) return;
    this.#clock.schedule(timeoutMs, () =>
      this.whenRunning(() => {
        if (!this.#confirms.delete(pending)) return;
        settle({kind: 'timeout', received: this.received});
      }),
    );
  }

  /** Copies a primary's log; returns false if that primary is fenced off. */
  accept(term: number, log: readonly Entry[]): boolean {
    if (term < this.fencedTerm || term < this.term) return false;
    if (this.role === 'primary' && term === this.term) return false;
    if (this.role === 'primary') this.#stepDown();
    if (term > this.fencedTerm) {
      this.fencedTerm = term;
      this.fencedBy = 'upstream';
    }
    this.term = term;
    this.#lastContactMs = this.#clock.now();
    this.#replaceLog(log);
    this.#checkConfirms();
    return true;
  }

  /** Returns the writes that reads include. */
  visibleWrites(): ReadonlySet<string> {
    const entries = this.log.slice(0, this.appliedLength);
    return new Set(entries.flatMap(({write}) => write ?? []));
  }

  #append(write: string | undefined): Position {
    const offset = this.received.offset + 1;
    const entry = {term: this.term, offset, write};
    this.log.push(entry);
    this.#recordReceived();
    return {term: this.term, offset};
  }

  #replaceLog(log: readonly Entry[]): void {
    let common = Math.min(this.log.length, log.length);
    while (common > 0 && this.log[common - 1] !== log[common - 1]) common -= 1;
    if (common === this.log.length && common === log.length) return;
    this.log.length = common;
    while ((this.#received.at(-1)?.length ?? 0) > common) this.#received.pop();
    this.log.push(...log.slice(common));
    this.#recordReceived();
  }

  #recordReceived(): void {
    const at = this.#clock.now();
    this.#received.push({at, length: this.log.length});
  }

  #stepDown(): void {
    this.role = 'replica';
    this.#lastContactMs = this.#clock.now();
  }

  #checkConfirms(): void {
    for (const pending of this.#confirms) {
      const result = this.#confirmResult(pending);
      if (result === undefined) continue;
      this.#confirms.delete(pending);
      pending.settle(result);
    }
  }

  #confirmResult({term, position}: PendingConfirm): ConfirmResult | undefined {
    if (this.fencedTerm > term) {
      return {kind: 'fenced', fencedTerm: this.fencedTerm};
    }
    if (this.term !== term || !covers(this.received, position)) {
      return undefined;
    }
    return {kind: 'confirmed', received: this.received};
  }
}
