/**
 * Finds what a request's end was decided from: its own lines, and the beliefs
 * that its nodes held about its group, its databases and the store.
 */
import type {LogLine} from './log-line.js';

/** Changes of belief before the request's end that are shown. */
const CONTEXT_MS = 5_000;

/** Events about a group; they concern a request of that group. */
const GROUP_EVENTS: ReadonlySet<string> = new Set([
  'databaseAnnounced',
  'databaseDropped',
  'dutyHeldByOther',
  'dutyNotTaken',
  'homeClosed',
  'homeOpened',
  'noDatabaseToPromote',
  'primaryChangeNeeded',
  'primaryInForce',
  'promotionNotSeen',
  'promotionOrdered',
  'promotionSeen',
]);
/** Events about a node; they concern requests that it handled. */
const NODE_EVENTS: ReadonlySet<string> = new Set([
  'feedSourceChanged',
  'homeAnswers',
  'homeSilent',
  'shutdownStarted',
  'storeHistoryGone',
  'storeLost',
  'storeRegained',
]);
/** Of these the last one counts, however old. */
const LASTING_EVENTS: ReadonlySet<string> = new Set([
  'catalogInForce',
  'nodeStarted',
]);

/** One step of the chain. */
export interface ChainStep {
  readonly line: LogLine;
  /** Whether the line is about the request itself. */
  readonly isOwn: boolean;
  /** Milliseconds before the request's last line; clocks may differ a little. */
  readonly ageMs: number;
}

/**
 * The lines that explain one request, the oldest first; none if no line is
 * about it.
 *
 * @example
 * const steps = explainRequest('72844630e2df7731', lines);
 */
export function explainRequest(
  request: string,
  lines: readonly LogLine[],
): readonly ChainStep[] {
  const own = lines.filter(({fields}) => fields.request === request);
  if (own.length === 0) return [];
  const endAt = Math.max(...own.map(({at}) => at));
  const nodes = namesIn(own, 'vm');
  const groups = namesIn(own, 'group');
  const latest = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.at > endAt || line.fields.request !== undefined) continue;
    if (!concerns(line, nodes, groups)) continue;
    const isLasting = LASTING_EVENTS.has(line.event);
    if (!isLasting && endAt - line.at > CONTEXT_MS) continue;
    const key = subjectOf(line);
    const known = latest.get(key);
    if (known === undefined || known.at <= line.at) latest.set(key, line);
  }
  return [...own, ...latest.values()]
    .toSorted((a, b) => a.at - b.at)
    .map(line => ({
      line,
      isOwn: line.fields.request === request,
      ageMs: endAt - line.at,
    }));
}

function concerns(
  {event, fields}: LogLine,
  nodes: ReadonlySet<string>,
  groups: ReadonlySet<string>,
): boolean {
  const isHere = nodes.has(fields.vm ?? '');
  if (GROUP_EVENTS.has(event)) {
    const isAnnounced = event === 'databaseAnnounced';
    return groups.has(fields.group ?? '') && (isHere || !isAnnounced);
  }
  return isHere && (NODE_EVENTS.has(event) || LASTING_EVENTS.has(event));
}

/** Of lines with the same subject only the last one is shown. */
function subjectOf({event, fields}: LogLine): string {
  const {vm, group, database, id, home} = fields;
  return [event, vm, group, database, id, home].join(' ');
}

function namesIn(
  lines: readonly LogLine[],
  field: string,
): ReadonlySet<string> {
  return new Set(
    lines.flatMap(({fields}) => {
      const value = fields[field];
      return value === undefined ? [] : [value];
    }),
  );
}
