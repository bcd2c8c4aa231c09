/**
 * The data centres that the operators have evacuated, as one node knows them.
 *
 * Load pattern: a whole data centre is taken out of use under full load, so that
 * all groups with a primary there need another one at the same time, while reads
 * move to the remaining replicas.
 */
import * as z from 'zod';
import {MAX_MISSED_MS} from '../groups/drain-notice.js';
import type {Clock} from '../infra/clock.js';
import {
  elapsedSince,
  takeInstant,
  type Instant,
} from '../membership/elapsed.js';
import type {Logger} from '../telemetry/log.js';

/**
 * A node stops this long before the bound: what it sent last still has to reach
 * the database.
 */
const REACH_MARGIN_MS = 200;
/**
 * An evacuation that a restored store lacks ends once the store has confirmed
 * its absence for this long. The operators write their keys again meanwhile.
 */
export const LAPSE_MS = 2_500;
/**
 * Interval at which the groups of an evacuated data centre change their
 * primaries, and the limit for all groups together: the time until the bound
 * less the age of the node's copy may be little more than a second.
 */
const MAX_TURN_MS = 150;
const MAX_SPREAD_MS = 600;

/** Peer method that returns the evacuations which a node keeps in force. */
export const EVACUATIONS_METHOD = 'evacuations.inForce';
/** Data centres, each with the store's era that last held the request. */
const inForceSchema = z.array(z.tuple([z.string().min(1), z.int().min(0)]));

/** What the databases of a data centre may be used for. */
export type DataCentreUse =
  /** Any work. */
  | 'open'
  /** Evacuated: only the work that its primary alone can do. */
  | 'primaryOnly'
  /** Evacuated, and the bound is reached: nothing may be sent there. */
  | 'closed';

/** An evacuation in force, for logs and refusals. */
export interface Evacuation {
  readonly dataCentre: string;
  readonly learntMsAgo: number;
  /** Time until nothing may be sent there; 0 once that is reached. */
  readonly closesInMs: number;
}

/** How the databases of each data centre may be used now. */
export interface EvacuationView {
  useOf(dataCentre: string): DataCentreUse;
  /** The evacuation of a data centre; undefined if it is not evacuated. */
  find(dataCentre: string): Evacuation | undefined;
}

/** Dependencies and settings of {@link Evacuations}. */
export interface EvacuationsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Time after the request from which on nothing may reach the data centre. */
  readonly boundMs: number;
  /** Age of the node's copy of the store, in milliseconds. */
  readonly copyAgeMs: () => number;
}

/** A request to evacuate a data centre, as this node learnt of it. */
interface Notice {
  readonly learntAt: Instant;
  /** Time from `learntAt` until nothing may be sent there. */
  readonly remainingMs: number;
  /** The store's era that last held the request. */
  readonly era: number;
  /** When a later era turned out to lack the request. */
  readonly missingSince: Instant | undefined;
}

/**
 * Keeps the evacuated data centres.
 *
 * @example
 * evacuations.apply('burnie', true, era);
 * evacuations.useOf('burnie'); // 'primaryOnly', and 'closed' from the bound on
 */
export class Evacuations implements EvacuationView {
  readonly #options: EvacuationsOptions;
  readonly #notices = new Map<string, Notice>();

  constructor(options: EvacuationsOptions) {
    this.#options = options;
  }

  /** The data centres that are evacuated now. */
  get dataCentres(): readonly string[] {
    this.#endLapsed();
    return [...this.#notices.keys()];
  }

  /** Applies the presence or absence of a request, as the store of `era` has it. */
  apply(dataCentre: string, isActive: boolean, era: number): void {
    const known = this.#notices.get(dataCentre);
    if (!isActive) return this.#applyAbsence(dataCentre, known, era);
    if (known !== undefined) {
      // A repeated request changes nothing: the first one sets the bound.
      this.#notices.set(dataCentre, {...known, era, missingSince: undefined});
      return;
    }
    const {clock, log, boundMs, copyAgeMs} = this.#options;
    const ageMs = copyAgeMs();
    const remainingMs = Math.max(
      0,
      boundMs - ageMs - MAX_MISSED_MS - REACH_MARGIN_MS,
    );
    const learntAt = takeInstant(clock);
    const notice = {learntAt, remainingMs, era, missingSince: undefined};
    this.#notices.set(dataCentre, notice);
    log.info('evacuationBegan', {
      dataCentre,
      copyAgeMs: Math.round(ageMs),
      closesInMs: Math.round(remainingMs),
    });
  }

  /** Returns the evacuations in force, for a node that starts. */
  encode(): z.infer<typeof inForceSchema> {
    this.#endLapsed();
    return [...this.#notices].map(([dataCentre, {era}]) => [dataCentre, era]);
  }

  /**
   * Learns from another node what a store restored to `storeEra` may have lost;
   * its absence has to be confirmed here as well.
   *
   * @throws Error if the reply is malformed
   */
  learn(reply: unknown, storeEra: number): void {
    for (const [dataCentre, era] of inForceSchema.parse(reply)) {
      if (era >= storeEra || this.#notices.has(dataCentre)) continue;
      this.apply(dataCentre, true, era);
      this.apply(dataCentre, false, storeEra);
    }
  }

  useOf(dataCentre: string): DataCentreUse {
    const evacuation = this.find(dataCentre);
    if (evacuation === undefined) return 'open';
    return evacuation.closesInMs > 0 ? 'primaryOnly' : 'closed';
  }

  find(dataCentre: string): Evacuation | undefined {
    if (this.#notices.size === 0) return undefined;
    this.#endLapsed();
    const notice = this.#notices.get(dataCentre);
    if (notice === undefined) return undefined;
    const learntMsAgo = elapsedSince(this.#options.clock, notice.learntAt);
    const closesInMs = Math.max(0, notice.remainingMs - learntMsAgo);
    return {dataCentre, learntMsAgo, closesInMs};
  }

  #applyAbsence(
    dataCentre: string,
    known: Notice | undefined,
    era: number,
  ): void {
    if (known === undefined) return;
    if (era <= known.era) return this.#end(dataCentre, known, 'withdrawn');
    if (known.missingSince !== undefined) return;
    const missingSince = takeInstant(this.#options.clock);
    this.#notices.set(dataCentre, {...known, missingSince});
    this.#options.log.warn('evacuationMissing', {
      dataCentre,
      requestedInEra: known.era,
      era,
    });
  }

  /** Ends the evacuations whose absence a restored store has confirmed. */
  #endLapsed(): void {
    const {clock, copyAgeMs} = this.#options;
    for (const [dataCentre, notice] of this.#notices) {
      if (notice.missingSince === undefined) continue;
      const missingMs = elapsedSince(clock, notice.missingSince);
      if (missingMs - copyAgeMs() < LAPSE_MS) continue;
      this.#end(dataCentre, notice, 'missingAfterRestore');
    }
  }

  #end(
    dataCentre: string,
    {learntAt}: Notice,
    reason: 'withdrawn' | 'missingAfterRestore',
  ): void {
    const {clock, log, copyAgeMs} = this.#options;
    this.#notices.delete(dataCentre);
    log.info('evacuationEnded', {
      dataCentre,
      reason,
      learntMsAgo: Math.round(elapsedSince(clock, learntAt)),
      copyAgeMs: Math.round(copyAgeMs()),
    });
  }
}

/** A group's place among those that leave evacuated data centres. */
export interface EvacuationTurn {
  /** Groups that go before it. */
  readonly before: number;
  /** Number of groups with a primary in an evacuated data centre. */
  readonly groups: number;
}

/**
 * Returns how long after the evacuation became known a group changes its
 * primary: the groups follow one another, so that neither the store nor the
 * nodes get all changes at once.
 *
 * @example
 * turnDelayMs({before: 2, groups: 6}); // 200
 */
export function turnDelayMs({before, groups}: EvacuationTurn): number {
  return before * Math.min(MAX_TURN_MS, MAX_SPREAD_MS / Math.max(1, groups));
}
