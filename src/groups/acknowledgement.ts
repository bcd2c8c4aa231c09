/** Decides when a committed write may be acknowledged to its caller. */
import type {Clock} from '../infra/clock.js';
import {startTimer} from '../infra/timer.js';
import type {Position} from '../session/position.js';
import {DONE, mayHaveRun, type Verdict} from '../verdict/verdict.js';
import {
  ReplicaConfirmer,
  type AckMode,
  type PendingWrite,
} from './replica-confirmer.js';
import {majorityOf} from './group-view.js';
import type {DatabaseControl} from './types.js';

export type {AckMode} from './replica-confirmer.js';

/** The outcome of waiting for an acknowledgement. */
export type AckResult =
  | {readonly kind: 'acknowledged'}
  /** Too many replicas are fenced above the write's term to confirm it. */
  | {readonly kind: 'superseded'; readonly term: number}
  | {readonly kind: 'timeout'};

/** A write that its primary has committed and that awaits acknowledgement. */
export interface CommittedWrite {
  readonly primaryId: string;
  /** The position that the primary reported; its term is the primary's. */
  readonly position: Position;
  readonly ack: AckMode;
  readonly timeoutMs: number;
}

/** Options of {@link AckTracker}. */
export interface AckTrackerOptions {
  readonly clock: Clock;
  /** All databases of the group. */
  readonly controls: readonly DatabaseControl[];
}

/**
 * Acknowledges the writes of one group.
 *
 * A failover fences a majority of the databases before it promotes one. A write
 * of term t is acknowledged only once so many replicas have confirmed it that
 * every majority contains the primary or one of these replicas. Therefore no
 * later term can have been promoted before the primary committed, and with
 * `ack=replica` every later promotion starts from a log that holds the write.
 */
export class AckTracker {
  readonly #clock: Clock;
  readonly #controls: readonly DatabaseControl[];
  readonly #confirmers = new Map<string, ReplicaConfirmer>();

  constructor({clock, controls}: AckTrackerOptions) {
    this.#clock = clock;
    this.#controls = controls;
  }

  /**
   * Waits until the write is confirmed, superseded or timed out.
   *
   * @example
   * const result = await tracker.acknowledge({primaryId, position,
   *   ack: 'replica', timeoutMs: 1000});
   */
  async acknowledge(write: CommittedWrite): Promise<AckResult> {
    const replicas = this.#controls.filter(
      ({spec}) => spec.id !== write.primaryId,
    );
    const needed = majorityOf(this.#controls.length) - 1;
    if (needed === 0) return {kind: 'acknowledged'};
    const pending = new WaitingWrite(write, needed, replicas.length);
    for (const control of replicas)
      this.#confirmerOf(control, write.ack).add(pending);
    const cancel = startTimer(this.#clock, write.timeoutMs, () =>
      pending.settle({kind: 'timeout'}),
    );
    const result = await pending.result;
    cancel();
    return result;
  }

  #confirmerOf(control: DatabaseControl, mode: AckMode): ReplicaConfirmer {
    const key = `${mode} ${control.spec.id}`;
    let confirmer = this.#confirmers.get(key);
    if (confirmer === undefined) {
      confirmer = new ReplicaConfirmer(this.#clock, control, mode);
      this.#confirmers.set(key, confirmer);
    }
    return confirmer;
  }
}

/** Maps the outcome of an acknowledgement to the write's verdict. */
export function ackVerdict(result: AckResult): Verdict {
  switch (result.kind) {
    case 'acknowledged':
      return DONE;
    case 'superseded':
      return mayHaveRun(
        'termChanged',
        `the primary was superseded by term ${result.term} before the write ` +
          'was confirmed',
      );
    case 'timeout':
      return mayHaveRun(
        'ackTimeout',
        'no replica confirmed the write within the time allowed',
      );
  }
}

/** A write whose confirmations and fences are being counted. */
class WaitingWrite implements PendingWrite {
  readonly term: number;
  readonly position: Position;
  readonly result: Promise<AckResult>;
  readonly #needed: number;
  readonly #replicaCount: number;
  readonly #confirmed = new Set<string>();
  readonly #fenced = new Set<string>();
  #resolve: (result: AckResult) => void = () => {};
  #waiting = true;

  constructor(write: CommittedWrite, needed: number, replicaCount: number) {
    this.term = write.position.term;
    this.position = write.position;
    this.#needed = needed;
    this.#replicaCount = replicaCount;
    this.result = new Promise(resolve => (this.#resolve = resolve));
  }

  get waiting(): boolean {
    return this.#waiting;
  }

  onConfirmed(databaseId: string): void {
    this.#confirmed.add(databaseId);
    if (this.#confirmed.size >= this.#needed) {
      this.settle({kind: 'acknowledged'});
    }
  }

  onFenced(databaseId: string, fencedTerm: number): void {
    this.#fenced.add(databaseId);
    if (this.#replicaCount - this.#fenced.size < this.#needed) {
      this.settle({kind: 'superseded', term: fencedTerm});
    }
  }

  settle(result: AckResult): void {
    this.#waiting = false;
    this.#resolve(result);
  }
}
