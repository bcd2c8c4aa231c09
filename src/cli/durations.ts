/** Parser for durations such as `10s`. */

const UNITS_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/**
 * Parses a duration into milliseconds; throws if it is malformed.
 *
 * @example
 * parseDuration('10s') === 10_000;
 */
export function parseDuration(text: string): number {
  const match = /^(\d{1,9})(ms|s|m|h)$/.exec(text);
  const unitMs = UNITS_MS[match?.[2] ?? ''];
  if (match === null || unitMs === undefined) {
    throw new Error(`${text} is no duration; write 500ms, 10s, 2m or 1h`);
  }
  return Number(match[1]) * unitMs;
}
