/** Keeps until when each database is cold, from its announcements. */
import type {AnnouncedDatabase} from '../catalog/types.js';
import type {Clock} from '../infra/clock.js';

/** An announced end that is later than the known one by less is no news. */
const LATER_END_MS = 1_000;

/**
 * A cold database announces in each heartbeat how much longer it remains cold.
 * That it becomes or ceases to be cold is news for other nodes; the time that
 * passes meanwhile is not.
 *
 * @example
 * const times = new ColdTimes(clock);
 * if (times.apply('db-1', entry)) relay(entry);
 * times.remainingMs('db-1');
 */
export class ColdTimes {
  readonly #clock: Clock;
  readonly #endsAt = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Milliseconds for which a database remains cold; 0 if it is not. */
  remainingMs(id: string): number {
    const endsAt = this.#endsAt.get(id) ?? -Infinity;
    return Math.max(0, endsAt - this.#clock.now());
  }

  /**
   * Applies an announcement; undefined if the database is gone. Returns whether
   * other nodes must learn what it says of the database being cold.
   */
  apply(id: string, entry: AnnouncedDatabase | undefined): boolean {
    const announcedMs = entry?.coldRemainingMs ?? 0;
    const knownEnd = this.#endsAt.get(id);
    if (announcedMs <= 0) return this.#endsAt.delete(id);
    const end = this.#clock.now() + announcedMs;
    const isNews = knownEnd === undefined || end > knownEnd + LATER_END_MS;
    // The age of an announcement is unknown, so the earliest end applies.
    if (isNews || end < knownEnd) this.#endsAt.set(id, end);
    return isNews;
  }
}
