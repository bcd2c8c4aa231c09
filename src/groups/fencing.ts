/** Fences a majority of a group's databases at a new term. */
import type {Clock} from '../infra/clock.js';
import {majorityOf} from './group-view.js';
import {callUntilMajority} from './majority.js';
import type {DatabaseControl, DatabaseStatus} from './types.js';

/** A database that granted the term, with its status at that time. */
export interface FencedDatabase {
  readonly control: DatabaseControl;
  readonly status: DatabaseStatus;
}

/** The outcome of {@link fenceMajority}. */
export type FencingResult =
  | {readonly kind: 'fenced'; readonly databases: readonly FencedDatabase[]}
  /** Another orderer holds this term or a higher one. */
  | {readonly kind: 'outbid'; readonly fencedTerm: number}
  /** No majority answered. */
  | {readonly kind: 'unreachable'; readonly fenced: number};

/** Options of {@link fenceMajority}. */
export interface FencingOrder {
  readonly clock: Clock;
  readonly controls: readonly DatabaseControl[];
  readonly term: number;
  /** Id unique to this attempt: a term is granted to one orderer only. */
  readonly orderer: string;
  readonly timeoutMs: number;
  /** Ids of databases to wait for even after a majority is fenced. */
  readonly required?: readonly string[];
}

/**
 * Fences every reachable database at the term; succeeds if they are a majority
 * of the group.
 *
 * A database grants a term to one orderer only, so of two orderers that compete
 * for a term at most one gets a majority.
 */
export async function fenceMajority(
  order: FencingOrder,
): Promise<FencingResult> {
  const {clock, controls, term, orderer, timeoutMs} = order;
  const fenced: FencedDatabase[] = [];
  let competingTerm = 0;
  const fence = async (control: DatabaseControl) => {
    const result = await control.fence(term, orderer, timeoutMs);
    if (result.kind === 'refused') {
      competingTerm = Math.max(competingTerm, result.fencedTerm);
      return false;
    }
    fenced.push({control, status: result.status});
    return true;
  };
  await callUntilMajority(clock, controls, fence, order.required);
  if (fenced.length >= majorityOf(controls.length)) {
    return {kind: 'fenced', databases: [...fenced]};
  }
  if (competingTerm > 0) return {kind: 'outbid', fencedTerm: competingTerm};
  return {kind: 'unreachable', fenced: fenced.length};
}
