/**
 * Decides when a node's work at a group's databases is reported again.
 *
 * Load pattern: a node's figures change with every statement, but reports must
 * not grow with the number of statements, and other nodes need no news of
 * changes that would move no read.
 */
import {weightAt} from './report-weight.js';
import type {DatabaseLoad} from './types.js';

/** Shortest time between two reports of a node about a group. */
export const REPORT_PERIOD_MS = 200;
/** A change by this share of a figure is reported. */
const REPORTED_CHANGE = 0.25;

/** The last report of a node about a group. */
export interface SentReport {
  readonly at: number;
  readonly loads: readonly DatabaseLoad[];
}

/**
 * Returns whether the figures differ enough from what the receivers would count
 * until the next possible report. Their weight falls with age, so a steady load
 * is repeated before a quarter of it is lost, and the end of all work is reported
 * once. The change is measured against the concurrency if that is larger: one
 * statement more on an almost idle database moves no read.
 *
 * @example
 * if (needsReport(loads, last, clock.now())) send(loads);
 */
export function needsReport(
  loads: readonly DatabaseLoad[],
  last: SentReport | undefined,
  now: number,
): boolean {
  if (last !== undefined && now - last.at < REPORT_PERIOD_MS) return false;
  const weight = last ? weightAt(now + REPORT_PERIOD_MS - last.at) : 0;
  const ids = new Set(
    [...loads, ...(last?.loads ?? [])].map(({databaseId}) => databaseId),
  );
  return [...ids].some(id => {
    const load = loads.find(({databaseId}) => databaseId === id);
    const sent = last?.loads.find(({databaseId}) => databaseId === id);
    return hasChanged(load, sent, weight);
  });
}

function hasChanged(
  load: DatabaseLoad | undefined,
  sent: DatabaseLoad | undefined,
  weight: number,
): boolean {
  const outstanding = load?.outstanding ?? 0;
  const counted = (sent?.outstanding ?? 0) * weight;
  const concurrency = load?.concurrency ?? sent?.concurrency ?? 0;
  const base = Math.max(1, concurrency, counted);
  if (Math.abs(outstanding - counted) >= base * REPORTED_CHANGE) return true;
  if (load === undefined || sent === undefined) return false;
  if ((load.concurrency === 0) !== (sent.concurrency === 0)) return true;
  const costChange = Math.abs(load.costMs - sent.costMs);
  return costChange >= Math.max(1, sent.costMs) * REPORTED_CHANGE;
}
