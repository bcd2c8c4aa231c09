/** Formats the settings reference for operators as Markdown. */
import {describeSettings, type SettingInfo} from './settings.js';

/**
 * Returns the reference of all settings as Markdown.
 *
 * @example
 * await writeFile('docs/settings.md', formatSettingsPage());
 */
export function formatSettingsPage(
  settings: readonly SettingInfo[] = describeSettings(),
): string {
  return [
    '# Settings of a node',
    '',
    '`zinnia node` takes each setting as a flag or from a variable of its',
    'environment; the flag goes first. All are checked at the start: if any is',
    'missing or invalid, the node lists every fault and exits with 2. This page',
    'is what `zinnia settings` prints.',
    '',
    '| flag | variable | default | meaning |',
    '| --- | --- | --- | --- |',
    ...settings.map(formatRow),
    '',
  ].join('\n');
}

function formatRow({flag, variable, description, fallback}: SettingInfo) {
  const cells = [
    `\`--${flag}\``,
    `\`${variable}\``,
    formatDefault(fallback),
    description,
  ];
  return `| ${cells.map(escapeCell).join(' | ')} |`;
}

function formatDefault(fallback: string | undefined): string {
  if (fallback === undefined) return 'required';
  return fallback === '' ? 'empty' : `\`${fallback}\``;
}

function escapeCell(text: string): string {
  return text.replaceAll('|', '\\|');
}
