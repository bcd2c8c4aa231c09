/** Log positions proven to cover every commit up to a point in time. */
import {covers, type Position} from '../session/position.js';

/** Closer certificates are thinned out, as they add nothing to a choice. */
const MIN_SPACING_MS = 20;
/** Maximum age; no route needs older certificates. */
const MAX_AGE_MS = 60_000;
const MAX_CERTIFICATES = 1_000;

/** A position that covers every commit acknowledged before `sentAt`. */
interface Certificate {
  readonly sentAt: number;
  readonly position: Position;
}

/**
 * Records the positions that a primary reports when a transaction begins on it.
 * Only a primary accepts that command, so the position covers every commit that
 * was acknowledged before the command was sent. The clocks of databases and
 * other nodes play no part in this.
 *
 * @example
 * certificates.record({term: 3, offset: 1207}, sentAt);
 * const needed = certificates.covering(clock.now() - route.maxStalenessMs);
 */
export class PositionCertificates {
  readonly #certificates: Certificate[] = [];

  /**
   * When the command of the newest certificate was sent; -Infinity without one.
   */
  get newestAt(): number {
    return this.#certificates.at(-1)?.sentAt ?? -Infinity;
  }

  /**
   * Records the position that a primary reported to a command sent at `sentAt`.
   */
  record(position: Position, sentAt: number): void {
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
   * Returns the lowest recorded position that covers every commit acknowledged
   * before `moment`; undefined if no certificate is that recent.
   */
  covering(moment: number): Position | undefined {
    return this.#certificates.find(({sentAt}) => sentAt >= moment)?.position;
  }

  #evictBefore(now: number): void {
    while (this.#certificates.length > MAX_CERTIFICATES)
      this.#certificates.shift();
    while ((this.#certificates[0]?.sentAt ?? now) < now - MAX_AGE_MS)
      this.#certificates.shift();
  }
}
