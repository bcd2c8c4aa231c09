/** Parses fenced code blocks and shell commands of a Markdown page. */

/** A fenced code block with the heading above it. */
export interface Block {
  readonly language: string;
  readonly heading: string;
  readonly text: string;
}

/** A command line with the output and exit code that the page documents. */
export interface PageCommand {
  readonly heading: string;
  readonly line: string;
  /** Documented output lines; empty if the page shows none. */
  readonly shown: readonly string[];
  /** Exit code that a following `echo $?` prints; 0 without one. */
  readonly code: number;
}

/** Parses the fenced code blocks of a page. */
export function readBlocks(page: string): readonly Block[] {
  const blocks: Block[] = [];
  let heading = '';
  for (const [i, part] of page.split(/^```/m).entries()) {
    if (i % 2 === 0) {
      heading =
        part
          .match(/^## .*$/gm)
          ?.at(-1)
          ?.slice(3) ?? heading;
      continue;
    }
    const end = part.indexOf('\n');
    blocks.push({
      language: part.slice(0, end),
      heading,
      text: part.slice(end + 1),
    });
  }
  return blocks;
}

/** Parses commands: lines of `sh` blocks, and `$ ` lines of `console` blocks. */
export function readCommands(page: string): readonly PageCommand[] {
  return readBlocks(page).flatMap(({language, heading, text}) => {
    if (language === 'sh') {
      const lines = text.trim().split('\n');
      return lines.map(line => ({heading, line, shown: [], code: 0}));
    }
    return language === 'console' ? readConsole(heading, text) : [];
  });
}

function readConsole(heading: string, text: string): readonly PageCommand[] {
  const runs = text
    .split(/^\$ /m)
    .slice(1)
    .map(run => {
      const [line = '', ...shown] = run.trimEnd().split('\n');
      return {line, shown};
    });
  return runs
    .map(({line, shown}, i) => {
      const next = runs[i + 1];
      const code = next?.line === 'echo $?' ? Number(next.shown[0]) : 0;
      return {heading, line, shown, code};
    })
    .filter(({line}) => line !== 'echo $?');
}

/** Patterns of values that vary between runs, with their placeholders. */
const VARYING_VALUES: readonly (readonly [RegExp, string])[] = [
  [/zk_\S+/g, '<key>'],
  [/[\da-f]{8}(-[\da-f]{4}){3}-[\da-f]{12}/g, '<uuid>'],
  [/\b[\da-f]{16}\b/g, '<id>'],
  [/\d{4}-\d\d-\d\dT[\d:.]+Z/g, '<time>'],
  [/127\.0\.0\.1:\d+/g, '<address>'],
  [/\b(version|config|vm|term|fencedTerm|silentMs)([ =]?)\d+/gi, '$1$2<n>'],
  [/\b(received|applied)=\d+\/\d+/g, '$1=<position>'],
  [/(?<=":)\d+(\.\d+)?/g, '<n>'],
  [/\/[\da-f]{8}\b/g, '/<id>'],
];

/** Figures of a report, and the spaces that align its columns. */
const REPORT_FIGURES: readonly (readonly [RegExp, string])[] = [
  [/(?<=\s)(\d+(\.\d+)?%?|-)(?=\s|$)/g, '<n>'],
  [/ +/g, ' '],
];

/**
 * True if an output matches the output on a page, ignoring values that vary
 * between runs. `...` matches any lines, and consecutive lines that differ only
 * in such values count as one.
 */
export function matchesPage(
  shown: readonly string[],
  output: string,
  isReport: boolean,
): boolean {
  const rules = isReport
    ? [...VARYING_VALUES, ...REPORT_FIGURES]
    : VARYING_VALUES;
  const normalize = (lines: readonly string[]) =>
    lines
      .map(line =>
        rules.reduce(
          (text, [from, to]) => text.replace(from, to),
          line.trimEnd(),
        ),
      )
      .filter((line, i, all) => line !== all[i - 1]);
  return matchesLines(
    normalize(shown),
    normalize(output.trimEnd().split('\n')),
  );
}

function matchesLines(
  wanted: readonly string[],
  lines: readonly string[],
): boolean {
  const [first, ...rest] = wanted;
  if (first === undefined) return lines.length === 0;
  if (first === '...') {
    return [...lines.keys(), lines.length].some(i =>
      matchesLines(rest, lines.slice(i)),
    );
  }
  return first === lines[0] && matchesLines(rest, lines.slice(1));
}
