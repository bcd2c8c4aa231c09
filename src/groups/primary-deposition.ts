/**
 * Ends the use of a primary before its successor is ordered.
 *
 * Where the platform promotes another database, the old one goes on until it is
 * told to step down or reaches the new one. So no order is given before the nodes
 * have stopped sending to it.
 */
import type {Clock} from '../infra/clock.js';
import {comparePositions} from '../session/position.js';
import type {Logger} from '../telemetry/log.js';
import {awaitEvacuatedCatchUp} from './evacuated-catch-up.js';
import type {HandoverPort} from './primary-handover.js';
import type {PrimaryOrder} from './primary-order.js';
import type {TrackedDatabase} from './tracked-database.js';

/**
 * How long the holders of rights have to hand them back before the old primary
 * is told to step down, which breaks off what it runs for them.
 */
const STEP_DOWN_AFTER_MS = 500;
const STEP_DOWN_RETRY_MS = 250;
/** How long a replica may take to catch up in a planned change. */
const CATCH_UP_TIMEOUT_MS = 1_500;
const CATCH_UP_POLL_MS = 20;

/** Outcome of a deposition. */
export type DepositionOutcome =
  /** Nothing is sent to the old primary any more. */
  | 'deposed'
  /** A later order is known, or the order could not be recorded. */
  | 'notRecorded'
  /** Another node may still have the right to use the old primary. */
  | 'rightsNotCleared';

/** Options of {@link PrimaryDeposition}. */
export interface PrimaryDepositionOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly group: string;
  readonly handover: HandoverPort;
  /** The databases that the platform announces now. */
  readonly databases: () => readonly TrackedDatabase[];
}

/** Deposes the primary of one group. */
export class PrimaryDeposition {
  readonly #options: PrimaryDepositionOptions;
  readonly #stopping = new AbortController();

  constructor(options: PrimaryDepositionOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#stopping.abort();
  }

  /**
   * Records an order and waits until nothing is sent to the old primary any
   * more: every right to it is handed back or has ended, or it has stepped down.
   */
  async depose(
    oldId: string | undefined,
    order: PrimaryOrder,
  ): Promise<DepositionOutcome> {
    const {handover, group, log} = this.#options;
    const recorded = await handover.record(group, order);
    if (recorded !== 'recorded') return 'notRecorded';
    const {databaseId: database, term, token} = order;
    log.info('orderRecorded', {group, old: oldId, database, term, token});
    const done = new AbortController();
    const stop = () => done.abort();
    this.#stopping.signal.addEventListener('abort', stop, {once: true});
    const outcome = await Promise.race([
      handover.clear(group, order, done.signal),
      this.#stepDownLate(oldId, order, done.signal),
    ]);
    stop();
    this.#stopping.signal.removeEventListener('abort', stop);
    if (outcome === 'cleared') return 'deposed';
    return outcome === 'superseded' ? 'notRecorded' : 'rightsNotCleared';
  }

  /**
   * Makes a database a replica that may lead a lower term; returns whether it
   * has confirmed.
   */
  async stepDown(id: string | undefined, term: number): Promise<boolean> {
    const {databases, group, log} = this.#options;
    const database = databases().find(entry => entry.id === id);
    try {
      const state = await database?.stepDown(term);
      const isReplica = state?.role === 'replica';
      log.info('stepDownAsked', {group, database: id, term, isReplica});
      return isReplica;
    } catch (err) {
      const message = String(err);
      log.info('stepDownNotAnswered', {group, database: id, term, message});
      return false;
    }
  }

  /** Waits until the chosen replica's log covers the primary's. */
  async catchUp(oldId: string | undefined, chosenId: string): Promise<void> {
    const {clock, databases, log, group} = this.#options;
    const old = databases().find(({id}) => id === oldId);
    const chosen = databases().find(({id}) => id === chosenId);
    if (old?.isEvacuated && chosen !== undefined) {
      const hasCaughtUp = await awaitEvacuatedCatchUp({clock, old, chosen});
      if (hasCaughtUp) return;
      const message = 'the replica still lags behind';
      log.warn('catchUpNotConfirmed', {group, chosen: chosenId, message});
      return;
    }
    const until = clock.now() + CATCH_UP_TIMEOUT_MS;
    try {
      const wanted = (await old?.queryStateOnOpenConnection())?.received;
      while (wanted !== undefined && clock.now() < until) {
        const chosenPosition = (await chosen?.queryStateOnOpenConnection())
          ?.received;
        if (
          chosenPosition !== undefined &&
          comparePositions(chosenPosition, wanted) >= 0
        )
          break;
        await clock.sleep(CATCH_UP_POLL_MS);
      }
    } catch (err) {
      log.warn('catchUpNotConfirmed', {
        group,
        chosen: chosenId,
        message: String(err),
      });
    }
  }

  /**
   * Tells the old primary to step down if the rights to it are not handed back
   * soon. Resolves once it has, or when `signal` aborts.
   */
  async #stepDownLate(
    oldId: string | undefined,
    {term, databaseId}: PrimaryOrder,
    signal: AbortSignal,
  ): Promise<'cleared' | 'timeout'> {
    const {clock} = this.#options;
    await clock.sleep(STEP_DOWN_AFTER_MS, signal);
    const isKnown = oldId !== undefined && oldId !== databaseId;
    while (!signal.aborted) {
      if (isKnown && (await this.stepDown(oldId, term))) return 'cleared';
      await clock.sleep(STEP_DOWN_RETRY_MS, signal);
    }
    return 'timeout';
  }
}
