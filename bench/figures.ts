/** Quantiles, number formats, Markdown tables and a timer for the benchmarks. */

/** Returns the value at the quantile `share`, from 0 to 1; 0 if there are no values. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? 0;
}

/** Formats a Markdown table with padded columns. */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map(row => (row[column] ?? '').length)),
  );
  const line = (cells: readonly string[]) =>
    `| ${cells.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join(' | ')} |`;
  const separator = `| ${widths.map(width => '-'.repeat(width)).join(' | ')} |`;
  return [line(header), separator, ...rows.map(line)].join('\n');
}

/** Formats a number with `digits` decimals. */
export function formatNumber(value: number, digits = 0): string {
  return value.toFixed(digits);
}

/** Formats a share from 0 to 1 as a percentage. */
export function formatPercent(share: number, digits = 1): string {
  return `${(share * 100).toFixed(digits)}%`;
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
