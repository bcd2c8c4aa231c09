import {readFile} from 'node:fs/promises';
import {expect, test} from 'vitest';
import {formatSettingsPage} from '../../src/node/settings-page.js';
import {describeSettings} from '../../src/node/settings.js';
import {runCli} from '../cli/cli-fixture.js';

const PAGE = new URL('../../docs/settings.md', import.meta.url);

test('the settings page equals the output of zinnia settings', async () => {
  const page = await readFile(PAGE, 'utf8');
  expect(page).toBe(formatSettingsPage());
  const {code, out} = await runCli('http://127.0.0.1:1', 'settings');
  expect({code, page: `${out}\n`}).toEqual({code: 0, page});
});

test('the settings page has a row for each setting', () => {
  const page = formatSettingsPage();
  for (const {flag, variable} of describeSettings()) {
    expect(page).toContain(`| \`--${flag}\` | \`${variable}\` |`);
  }
});

test('the settings page escapes pipes in cells', () => {
  const setting = {
    flag: 'a',
    variable: 'ZINNIA_A',
    description: 'x|y',
    fallback: '',
  };
  expect(formatSettingsPage([setting])).toContain(
    '| `--a` | `ZINNIA_A` | empty | x\\|y |',
  );
});
