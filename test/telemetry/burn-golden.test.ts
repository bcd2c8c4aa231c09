import {describe, expect, test} from 'vitest';
import {formatReport, type ReportFormat} from '../../src/cli/report-burn.js';
import {createReport} from './fixture.js';

const FORMATS: readonly ReportFormat[] = ['table', 'json', 'html'];

describe('the burn report', () => {
  test.each(FORMATS)('is written as %s', async format => {
    const text = formatReport(createReport(), format);
    await expect(text).toMatchFileSnapshot(`golden/burn-${format}.snap`);
  });

  test.each(FORMATS)('says as %s that there is nothing', async format => {
    const text = formatReport(createReport([]), format);
    await expect(text).toMatchFileSnapshot(`golden/empty-${format}.snap`);
  });

  test('escapes names and loads nothing from elsewhere', () => {
    const html = formatReport(createReport(), 'html');
    expect(html).toContain('&lt;b&gt;&quot;R&amp;D&quot;&lt;/b&gt;');
    expect(html).not.toContain('<b>');
    expect(html).not.toMatch(/<script|<link|\bsrc=|\bhref=|url\(|@import/i);
  });
});
