import {describe, expect, test} from 'vitest';
import {formatReport, type ReportFormat} from '../../src/cli/report-burn.js';
import {alignedWindowStart} from '../../src/telemetry/burn-report.js';
import {createReport, NOW} from './fixture.js';

const VOID_ELEMENTS = ['meta', '!doctype'];

/** Returns tags that are unclosed or closed out of order, and stray brackets. */
function findMalformed(html: string): readonly string[] {
  const open: string[] = [];
  const faults: string[] = [];
  for (const [tag, end, name = '', rest = ''] of html.matchAll(
    /<(\/?)([a-z!]+)((?:\s+[\w-]+(?:="[^"<>]*")?)*)\s*\/?>/gi,
  )) {
    if (VOID_ELEMENTS.includes(name) || /\/>$/.test(tag)) continue;
    if (end === '') open.push(name);
    else if (open.pop() !== name || rest !== '') faults.push(tag);
  }
  const text = html.replace(/<[^<>]*>/g, '');
  return [...faults, ...open, ...(/[<>]/.exec(text) ?? [])];
}

/** Counts the points of each line in the page's plots, in document order. */
function countPoints(html: string): readonly number[] {
  const lines = html.matchAll(/<path class="(?:first|second)" d="([^"]*)"/g);
  return [...lines].map(([, d = '']) => d.match(/[ML]/g)?.length ?? 0);
}

const FORMATS: readonly ReportFormat[] = ['table', 'json', 'html'];

describe('burn report formats', () => {
  test.each(FORMATS)('renders as %s', async format => {
    const text = formatReport(createReport(), format);
    await expect(text).toMatchFileSnapshot(`golden/burn-${format}.snap`);
  });

  test.each(FORMATS)('renders a report without VMs as %s', async format => {
    const text = formatReport(createReport([]), format);
    await expect(text).toMatchFileSnapshot(`golden/empty-${format}.snap`);
  });

  test('escapes names and references no external resources', () => {
    const html = formatReport(createReport(), 'html');
    expect(html).toContain('&lt;b&gt;&quot;R&amp;D&quot;&lt;/b&gt;');
    expect(html).not.toContain('<b>');
    expect(html).not.toMatch(/<script|<link|\bsrc=|\bhref=|url\(|@import/i);
    expect(html).not.toMatch(/\w:\/\/|xmlns/);
  });

  test.each([[createReport()], [createReport([])]])(
    'renders well-formed html that names the vms that did not answer',
    report => {
      const html = formatReport(report, 'html');
      expect(findMalformed(html)).toEqual([]);
      for (const vm of report.unanswered) {
        expect(html).toMatch(`no answer, so missing here: ${vm}`);
      }
    },
  );

  test('has a plot point for every step and draws those that have statements', () => {
    const report = createReport();
    for (const {points} of report.plots) {
      const starts = points.map(({startedAt}) => startedAt);
      const steps = starts.slice(1).map((at, i) => at - (starts[i] ?? 0));
      expect(new Set(steps).size).toBe(1);
      expect(starts.at(-1)).toBeGreaterThan(NOW - (steps[0] ?? 0));
      for (const {ms} of report.windows) {
        const since = alignedWindowStart(NOW, ms);
        expect(starts.some(at => at <= since)).toBe(true);
        expect(starts.some(at => at >= since)).toBe(true);
      }
    }
    const expected = report.plots.flatMap(({points}) =>
      (['burn', 'p50Ms', 'p99Ms'] as const).map(
        line => points.filter(point => point[line] !== null).length,
      ),
    );
    expect(Math.max(...expected)).toBeGreaterThan(1);
    expect(countPoints(formatReport(report, 'html'))).toEqual(expected);
  });
});
