/** The pace at which a database that starts, recovers or fails gets work. */

/** Why a database is paced from now on. */
export type PaceReason =
  /** Its process is new. */
  | 'started'
  /** It did not answer for a while. */
  | 'recovered'
  /** It became the primary. */
  | 'promoted'
  /** Another node sent its work until now. */
  | 'takenOver'
  /** It fails part of its requests. */
  | 'failing';

/** A refusal for lack of room, a failed request, or one without an answer. */
export type PaceFailure = 'busy' | 'failed' | 'lost';

/** Decides how many statements may run on one database at a time. */
export interface Pace {
  /** At most this many statements at a time; never below 1. */
  limit(slots: number): number;
  /** Records that a database gets work that was silent, new or elsewhere. */
  recordReturn(reason: Exclude<PaceReason, 'failing'>): void;
  /** Records an answer, its time and the time expected for its kind of work. */
  recordAnswer(tookMs: number, expectedMs: number): void;
  recordFailure(kind: PaceFailure): void;
}

/** A pace that began or ended, with what it was decided from. */
export interface PaceEvent {
  readonly kind: 'began' | 'ended';
  readonly reason: PaceReason;
  readonly limit: number;
  /** Answers and failures since the pace began. */
  readonly answers: number;
  readonly failures: number;
}
