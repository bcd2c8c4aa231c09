/** Bounds the age of each replica's data, using one monotonic clock. */
import {covers, type Position} from '../session/position.js';

const DEFAULT_MAX_SAMPLES = 256;

/** The primary's position in its answer to a call sent at `at`. */
interface Sample {
  readonly at: number;
  readonly position: Position;
}

/** A database's fenced term in its answer to a call sent at `at`. */
interface Fence {
  readonly fencedTerm: number;
  readonly at: number;
}

/** The progress of a replica. */
interface Replica {
  applied: Position;
  /** Estimated time by which it reached `applied` later than the primary. */
  lagMs: number;
}

/**
 * Samples the primary's position over time and derives from it the maximum age
 * of each replica's data.
 *
 * A sample of term t counts only up to the last time at which a majority of the
 * databases was not fenced above t: until then no newer primary can have
 * existed whose writes the sample would lack.
 */
export class ReplicaAges {
  readonly #majority: number;
  readonly #maxSamples: number;
  readonly #samples: Sample[] = [];
  readonly #fences = new Map<string, Fence>();
  readonly #replicas = new Map<string, Replica>();
  #term = 0;

  /**
   * @param databaseCount The number of databases of the group.
   * @param maxSamples The number of samples to keep at most.
   */
  constructor(databaseCount: number, maxSamples = DEFAULT_MAX_SAMPLES) {
    this.#majority = Math.floor(databaseCount / 2) + 1;
    this.#maxSamples = maxSamples;
  }

  /**
   * Records the position that the primary of `term` reported to a call sent at
   * `at`.
   */
  recordPrimary(term: number, position: Position, at: number): void {
    if (term < this.#term) return;
    this.#startTerm(term);
    const last = this.#samples.at(-1);
    if (last !== undefined && last.at > at) return;
    if (last !== undefined && !covers(position, last.position)) return;
    this.#samples.push({at, position});
    if (this.#samples.length > this.#maxSamples) this.#downsample();
  }

  /**
   * Records the fenced term that a database, primary or replica, reported to a
   * call sent at `at`.
   */
  recordFence(databaseId: string, fencedTerm: number, at: number): void {
    const known = this.#fences.get(databaseId);
    if (known !== undefined && known.at > at) return;
    this.#fences.set(databaseId, {fencedTerm, at});
  }

  /**
   * Records the position that a replica had applied when it answered at `at`.
   */
  recordReplica(databaseId: string, applied: Position, at: number): void {
    const known = this.#replicas.get(databaseId);
    if (known !== undefined && !covers(applied, known.applied)) return;
    const reachedAt = this.#primaryReachedAt(applied);
    const lagMs =
      reachedAt === undefined
        ? (known?.lagMs ?? Infinity)
        : Math.max(0, at - reachedAt);
    this.#replicas.set(databaseId, {applied, lagMs});
  }

  /** Returns the last position that a replica is known to have applied. */
  appliedOf(databaseId: string): Position | undefined {
    return this.#replicas.get(databaseId)?.applied;
  }

  /**
   * Returns the maximum age of a replica's data; Infinity if there is no bound.
   *
   * @example
   * if (ages.ageMs('claims-2', clock.now()) <= staleMs) { ... }
   */
  ageMs(databaseId: string, now: number): number {
    const replica = this.#replicas.get(databaseId);
    if (replica === undefined) return Infinity;
    const verifiedAt = this.#verifiedAt();
    const covered = this.#samples.findLast(
      ({at, position}) => at <= verifiedAt && covers(replica.applied, position),
    );
    return covered === undefined ? Infinity : now - covered.at;
  }

  /** Returns the expected time until a replica has applied `position`. */
  expectedWaitMs(databaseId: string, position: Position, now: number): number {
    const replica = this.#replicas.get(databaseId);
    if (replica === undefined) return Infinity;
    if (covers(replica.applied, position)) return 0;
    const reachedAt = this.#primaryReachedAt(position) ?? now;
    return Math.max(0, reachedAt + replica.lagMs - now);
  }

  #startTerm(term: number): void {
    if (term === this.#term) return;
    this.#term = term;
    this.#samples.length = 0;
  }

  /**
   * Returns the last time at which a majority was not fenced above the term.
   */
  #verifiedAt(): number {
    const times = [...this.#fences.values()]
      .filter(({fencedTerm}) => fencedTerm <= this.#term)
      .map(({at}) => at)
      .sort((a, b) => b - a);
    return times[this.#majority - 1] ?? -Infinity;
  }

  /** Returns the time of the first sample that covers the position. */
  #primaryReachedAt(position: Position): number | undefined {
    return this.#samples.find(sample => covers(sample.position, position))?.at;
  }

  /** Drops every other sample of the older half. */
  #downsample(): void {
    const half = Math.floor(this.#samples.length / 2);
    const older = this.#samples.splice(0, half);
    this.#samples.unshift(...older.filter((_, index) => index % 2 === 0));
  }
}
