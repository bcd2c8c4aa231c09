import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {expect, test} from 'vitest';

/** Returns the text of all source files, concatenated. */
async function readSources(): Promise<string> {
  const texts = ['src', 'standins'].map(async dir => {
    const files = await readdir(dir, {recursive: true});
    const sources = files.filter(file => file.endsWith('.ts'));
    return Promise.all(sources.map(file => readFile(join(dir, file), 'utf8')));
  });
  return (await Promise.all(texts)).flat().join('\n');
}

test.each(['docs/GLOSSARY.md', 'docs/library.md'])(
  'every name in the tables of %s occurs in the source',
  async page => {
    const sources = await readSources();
    const rows = (await readFile(page, 'utf8')).match(/^\|.*$/gm) ?? [];
    const names = rows
      .flatMap(row => row.match(/`[^`]+`/g) ?? [])
      .flatMap(name => name.match(/^`([\w.]+)`$/)?.[1]?.split('.') ?? []);
    expect(names.length).toBeGreaterThan(20);
    const isGone = (name: string) => !new RegExp(`\\b${name}\\b`).test(sources);
    expect(names.filter(isGone)).toEqual([]);
  },
);
