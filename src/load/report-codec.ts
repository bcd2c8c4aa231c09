/**
 * Encoding of `group.load`, the peer method by which a node reports its work at
 * a group's databases. Fields are sent by position, as in the statement codec.
 */
import type {DatabaseLoad} from './types.js';

/** Peer method that takes a report. */
export const LOAD_METHOD = 'group.load';

/** One node's work at all databases of a group; replaces its earlier reports. */
export interface LoadReport {
  readonly group: string;
  /** Random for each start of the reporting process. */
  readonly instance: string;
  /**
   * Milliseconds on the reporting process's monotonic clock, which rise with
   * each report.
   */
  readonly sequence: number;
  /** Databases that it names no work for have none from this node. */
  readonly loads: readonly DatabaseLoad[];
}

/** The work at one database as sent between peers. */
export type WireLoad = readonly [
  databaseId: string,
  outstanding: number,
  costMs: number,
  concurrency: number,
];

/** A report as sent between peers. */
export type WireReport = readonly [
  group: string,
  instance: string,
  sequence: number,
  loads: readonly WireLoad[],
];

/** Encodes the work at one database. */
export function encodeLoad(load: DatabaseLoad): WireLoad {
  const {databaseId, outstanding, costMs, concurrency} = load;
  return [databaseId, outstanding, Math.round(costMs), concurrency];
}

/** Decodes the work at one database; undefined if it is malformed. */
export function decodeLoad(body: unknown): DatabaseLoad | undefined {
  if (!Array.isArray(body)) return undefined;
  const [databaseId, outstanding, costMs, concurrency] = body as unknown[];
  if (typeof databaseId !== 'string') return undefined;
  if (!isCount(outstanding) || !isCount(costMs) || !isCount(concurrency))
    return undefined;
  return {databaseId, outstanding, costMs, concurrency};
}

/**
 * Encodes a report.
 *
 * @example
 * await peers.call(home, LOAD_METHOD, encodeReport(report), {timeoutMs: 200});
 */
export function encodeReport(report: LoadReport): WireReport {
  const {group, instance, sequence, loads} = report;
  return [group, instance, sequence, loads.map(encodeLoad)];
}

/** Decodes a report; undefined if it is malformed. */
export function decodeReport(body: unknown): LoadReport | undefined {
  if (!Array.isArray(body)) return undefined;
  const [group, instance, sequence, wireLoads] = body as unknown[];
  if (typeof group !== 'string' || typeof instance !== 'string')
    return undefined;
  if (!isCount(sequence) || !Array.isArray(wireLoads)) return undefined;
  const loads = wireLoads.map(decodeLoad).filter(load => load !== undefined);
  if (loads.length !== wireLoads.length) return undefined;
  return {group, instance, sequence, loads};
}

function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
