/**
 * Selects the log lines that explain the outcome of a request: its own lines,
 * and the state changes of its group, its databases, its nodes and the store.
 */
import type {LogLine} from './log-line.js';

/** How long before the request's last line an event is still included. */
const CONTEXT_WINDOW_MS = 5_000;

/** Events about a group; relevant to requests of that group. */
const GROUP_EVENTS: ReadonlySet<string> = new Set([
  'databaseAnnounced',
  'databaseDropped',
  'dutyHeldByOther',
  'dutyNotTaken',
  'evacuatedDatabaseClosed',
  'evacuatedTransactionEnded',
  'homeClosed',
  'homeOpened',
  'leaderChanged',
  'noDatabaseToPromote',
  'primaryChangeNeeded',
  'primaryInForce',
  'promotionAbandoned',
  'promotionNotSeen',
  'promotionOrdered',
  'promotionSeen',
  'responsibilityChanged',
]);
/** Events about a node; relevant to requests that it handled. */
const NODE_EVENTS: ReadonlySet<string> = new Set([
  'announcementRejected',
  'catalogVersionFell',
  'copyReadAfterRestore',
  'evacuationMissing',
  'feedSourceChanged',
  'homeAnswers',
  'homeSilent',
  'shutdownStarted',
  'storeHistoryGone',
  'storeLost',
  'storeRegained',
  'storeRestored',
]);
/** Node events whose latest line is included whatever its age. */
const STATE_EVENTS: ReadonlySet<string> = new Set([
  'catalogInForce',
  'evacuationBegan',
  'evacuationEnded',
  'nodeStarted',
]);

/** A log line with its place in the timeline of a request. */
export interface TimelineStep {
  readonly line: LogLine;
  /** True for the request's own lines, false for context. */
  readonly isOwn: boolean;
  /** Time before the request's last line, subject to clock skew between nodes. */
  readonly ageMs: number;
}

/**
 * Returns the lines that explain a request, oldest first; empty if the logs have
 * no line of the request.
 *
 * @example
 * const steps = explainRequest('72844630e2df7731', lines);
 */
export function explainRequest(
  request: string,
  lines: readonly LogLine[],
): readonly TimelineStep[] {
  const requestLines = lines.filter(({fields}) => fields.request === request);
  if (requestLines.length === 0) return [];
  const endAt = Math.max(...requestLines.map(({at}) => at));
  const nodes = fieldValues(requestLines, 'vm');
  const groups = fieldValues(requestLines, 'group');
  const latest = new Map<string, LogLine>();
  for (const line of lines) {
    if (line.at > endAt || line.fields.request !== undefined) continue;
    if (!isRelevant(line, nodes, groups)) continue;
    const isStateEvent = STATE_EVENTS.has(line.event);
    if (!isStateEvent && endAt - line.at > CONTEXT_WINDOW_MS) continue;
    const key = subjectKey(line);
    const known = latest.get(key);
    if (known === undefined || known.at <= line.at) latest.set(key, line);
  }
  return [...requestLines, ...latest.values()]
    .toSorted((a, b) => a.at - b.at)
    .map(line => ({
      line,
      isOwn: line.fields.request === request,
      ageMs: endAt - line.at,
    }));
}

function isRelevant(
  {event, fields}: LogLine,
  nodes: ReadonlySet<string>,
  groups: ReadonlySet<string>,
): boolean {
  const isRequestNode = nodes.has(fields.vm ?? '');
  if (GROUP_EVENTS.has(event)) {
    // Every node logs announcements: only those of the request's nodes matter.
    const isAnnouncement = event === 'databaseAnnounced';
    return groups.has(fields.group ?? '') && (isRequestNode || !isAnnouncement);
  }
  return isRequestNode && (NODE_EVENTS.has(event) || STATE_EVENTS.has(event));
}

/** Key of an event and its subject; only the latest line per key is shown. */
function subjectKey({event, fields}: LogLine): string {
  const {vm, group, database, id, home, dataCentre} = fields;
  return [event, vm, group, database, id, home, dataCentre].join(' ');
}

function fieldValues(
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
