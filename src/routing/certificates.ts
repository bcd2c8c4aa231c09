/** Proofs of which log position covers every commit up to a moment. */
import {covers, type Position} from '../session/position.js';

/** Certificates closer together than this add nothing to a choice. */
const MIN_SPACING_MS = 20;
/** Older certificates than this serve no route. */
const MAX_AGE_MS = 60_000;
const MAX_CERTIFICATES = 1_000;

/** A position and the moment for which it counts. */
interface Certificate {
  readonly sentAt: number;
  readonly position: Position;
}

/**
 * Collects the positions that a primary reports when a transaction begins on
 * it. Only a primary accepts that, so the position covers every commit that
 * was acknowledged before the command was sent, whatever the clocks of
 * databases and nodes say.
 *
 * @example
 * certificates.note({term: 3, offset: 1207}, sentAt);
 * const needed = certificates.covering(clock.now() - route.maxStalenessMs);
 */
export class PositionCertificates {
  readonly #certificates: Certificate[] = [];

  /** The moment of the newest certificate; -Infinity without one. */
  get newestAt(): number {
    return this.#certificates.at(-1)?.sentAt ?? -Infinity;
  }

  /** Notes what a primary reported to a command sent at `sentAt`. */
  note(position: Position, sentAt: number): void {
    const last = this.#certificates.at(-1);
    if (last !== undefined) {
      if (sentAt <= last.sentAt || !covers(position, last.position)) return;
      const before = this.#certificates.at(-2);
      const isClose = sentAt - (before?.sentAt ?? -Infinity) < MIN_SPACING_MS;
      if (isClose) this.#certificates.pop();
    }
    this.#certificates.push({sentAt, position});
    this.#evictBefore(sentAt);
  }

  /**
   * The lowest known position that covers every commit acknowledged before
   * `moment`; undefined if nothing proves that much.
   */
  covering(moment: number): Position | undefined {
    return this.#certificates.find(({sentAt}) => sentAt >= moment)?.position;
  }

  #evictBefore(now: number): void {
    while (this.#certificates.length > MAX_CERTIFICATES) this.#certificates.shift();
    while ((this.#certificates[0]?.sentAt ?? now) < now - MAX_AGE_MS) this.#certificates.shift();
  }
}
