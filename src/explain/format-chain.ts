/** Writes a chain of decisions for a reader. */
import type {ChainStep} from './chain.js';

const SHOWN_APART: ReadonlySet<string> = new Set([
  'time',
  'level',
  'event',
  'vm',
  'request',
]);

/**
 * One line a step: how long before the end, which node, what, from what. The
 * request's own lines are marked with `*`.
 *
 * @example
 * formatChain(explainRequest(request, lines)).forEach(line => print(line));
 */
export function formatChain(steps: readonly ChainStep[]): readonly string[] {
  return steps.map(({line: {event, fields}, isOwn, ageMs}) => {
    const rest = Object.entries(fields)
      .filter(([name]) => !SHOWN_APART.has(name))
      .map(([name, value]) => `${name}=${quoted(value)}`);
    const age = `-${(ageMs / 1_000).toFixed(3)} s`;
    const mark = isOwn ? '*' : ' ';
    return [mark, age.padStart(11), fields.vm ?? '?', event, ...rest].join(' ');
  });
}

function quoted(value: string): string {
  return /\s/.test(value) ? JSON.stringify(value) : value;
}
