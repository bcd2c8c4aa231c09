/** Parser for the log lines of nodes. */

/** One line of a node's log. */
export interface LogLine {
  /** Unix time in milliseconds, by the clock of the node that wrote the line. */
  readonly at: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

const FIELD_PATTERN = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Parses a line; undefined if no node wrote it. Ignores a prefix added by a log
 * collector.
 *
 * @example
 * parseLogLine('time=2026-01-03T00:51:18.548Z event=storeLost vm=node-1')?.event;
 */
export function parseLogLine(text: string): LogLine | undefined {
  const from = text.indexOf('time=');
  if (from < 0) return undefined;
  const fields: Record<string, string> = {};
  for (const [, name = '', value = ''] of text
    .slice(from)
    .matchAll(FIELD_PATTERN)) {
    fields[name] = value.startsWith('"') ? unquote(value) : value;
  }
  const at = Date.parse(fields.time ?? '');
  const {event} = fields;
  if (Number.isNaN(at) || event === undefined) return undefined;
  return {at, event, fields};
}

function unquote(value: string): string {
  try {
    return JSON.parse(value) as string;
  } catch {
    // The log collector truncated the line: keep the remaining text.
    return value.slice(1);
  }
}
