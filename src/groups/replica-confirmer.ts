/** Batches the confirmation requests for one replica. */
import type {Clock} from '../infra/clock.js';
import {
  covers,
  laterPosition,
  START_POSITION,
  type Position,
} from '../session/position.js';
import type {ConfirmResult, DatabaseControl} from './types.js';

/**
 * What a replica must confirm: `replica`, that its log holds the write;
 * `primary`, only that it is not fenced above the write's term.
 */
export type AckMode = 'replica' | 'primary';

/** A write that waits for confirmation by replicas. */
export interface PendingWrite {
  readonly term: number;
  readonly position: Position;
  /** False once the write has been acknowledged, superseded or timed out. */
  readonly waiting: boolean;
  /** Called when a replica has confirmed the write. */
  onConfirmed(databaseId: string): void;
  /** Called when a replica is fenced above the write's term. */
  onFenced(databaseId: string, fencedTerm: number): void;
}

/**
 * Maximum duration of one confirm request. It is short because a timeout
 * returns the replica's position, so that the next request can confirm lower
 * writes.
 */
const CONFIRM_TIMEOUT_MS = 250;
const RETRY_PAUSE_MS = 25;

/**
 * Requests confirmations from one replica in one mode. At most one request is
 * in flight; it covers all writes that are pending when it is sent.
 */
export class ReplicaConfirmer {
  readonly #clock: Clock;
  readonly #control: DatabaseControl;
  readonly #mode: AckMode;
  #pending: PendingWrite[] = [];
  #running = false;
  /** The replica's log position when its last confirm request timed out. */
  #received: Position | undefined;

  constructor(clock: Clock, control: DatabaseControl, mode: AckMode) {
    this.#clock = clock;
    this.#control = control;
    this.#mode = mode;
  }

  /** Requests confirmation of a write until it is no longer waiting. */
  add(write: PendingWrite): void {
    this.#pending.push(write);
    if (this.#running) return;
    this.#running = true;
    void this.#run();
  }

  async #run(): Promise<void> {
    for (;;) {
      this.#pending = this.#pending.filter(write => write.waiting);
      if (this.#pending.length === 0) break;
      await this.#confirmOnce();
    }
    this.#running = false;
  }

  async #confirmOnce(): Promise<void> {
    // Writes that are added after this line need a later request: with
    // ack=primary an answer does not cover commits that were made after it.
    const batch = [...this.#pending];
    const term = Math.max(...batch.map(write => write.term));
    const position = this.#positionToConfirm(batch, term);
    let result: ConfirmResult;
    try {
      result = await this.#control.confirm(term, position, CONFIRM_TIMEOUT_MS);
    } catch {
      await this.#clock.sleep(RETRY_PAUSE_MS);
      return;
    }
    this.#received = result.kind === 'timeout' ? result.received : undefined;
    // A log position confirms every pending write; an unfenced term confirms
    // only the writes that were pending when the request was sent.
    const covered = this.#mode === 'replica' ? [...this.#pending] : batch;
    for (const write of covered) this.#notify(write, term, result);
    if (result.kind === 'fenced') await this.#clock.sleep(RETRY_PAUSE_MS);
  }

  /**
   * The highest position of the batch that the replica is known to hold, so
   * that a lagging replica confirms what it can; if it holds none of them or
   * its position is not known, the highest position of all.
   */
  #positionToConfirm(batch: readonly PendingWrite[], term: number): Position {
    if (this.#mode === 'primary') return START_POSITION;
    const positions = batch
      .filter(write => write.term === term)
      .map(write => write.position);
    const received = this.#received;
    const held = positions.filter(
      position => received !== undefined && covers(received, position),
    );
    return (held.length > 0 ? held : positions).reduce(laterPosition);
  }

  #notify(write: PendingWrite, term: number, result: ConfirmResult): void {
    const id = this.#control.spec.id;
    if (result.kind === 'timeout' || write.term > term) return;
    if (result.kind === 'fenced') return write.onFenced(id, result.fencedTerm);
    // A replica that follows a later term is fenced above the write's term.
    if (write.term < term) return write.onFenced(id, term);
    const isConfirmed =
      this.#mode === 'primary' || covers(result.received, write.position);
    if (!isConfirmed) return;
    this.#pending = this.#pending.filter(other => other !== write);
    write.onConfirmed(id);
  }
}
