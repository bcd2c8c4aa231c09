/** Reads back the lines that nodes write. */

/** One line of a node's log. */
export interface LogLine {
  /** Unix milliseconds by the clock of the node that wrote it. */
  readonly at: number;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

const FIELD = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S*)/g;

/**
 * Reads a line; undefined if it is not one of a node's. What a collector wrote
 * before the line is passed over.
 *
 * @example
 * parseLogLine('time=2026-01-03T00:51:18.548Z event=storeLost vm=node-1')?.event;
 */
export function parseLogLine(text: string): LogLine | undefined {
  const from = text.indexOf('time=');
  if (from < 0) return undefined;
  const fields: Record<string, string> = {};
  for (const [, name = '', value = ''] of text.slice(from).matchAll(FIELD)) {
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
    // Cut off by whatever collected it; what is left still tells something.
    return value.slice(1);
  }
}
