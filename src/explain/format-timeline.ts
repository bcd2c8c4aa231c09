/** Formats the timeline of a request for the terminal. */
import type {TimelineStep} from './timeline.js';

/** Fields that are printed elsewhere in the line or left out. */
const SKIPPED_FIELDS: ReadonlySet<string> = new Set([
  'time',
  'level',
  'event',
  'vm',
  'request',
]);

/**
 * Formats each step as a line: time before the request's last line, node, event
 * and fields. The request's own lines are marked with `*`.
 *
 * @example
 * formatTimeline(explainRequest(request, lines)).forEach(line => print(line));
 */
export function formatTimeline(
  steps: readonly TimelineStep[],
): readonly string[] {
  return steps.map(({line: {event, fields}, isOwn, ageMs}) => {
    const rest = Object.entries(fields)
      .filter(([name]) => !SKIPPED_FIELDS.has(name))
      .map(([name, value]) => `${name}=${quoted(value)}`);
    const age = `-${(ageMs / 1_000).toFixed(3)} s`;
    const mark = isOwn ? '*' : ' ';
    return [mark, age.padStart(11), fields.vm ?? '?', event, ...rest].join(' ');
  });
}

function quoted(value: string): string {
  return /\s/.test(value) ? JSON.stringify(value) : value;
}
