/** Prints figures as a plain table. */

/**
 * Prints a head and rows in aligned columns.
 *
 * @example
 * printTable(['measure', 'node'], [['statements/s', '5100']]);
 */
export function printTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): void {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map(row => (row[column] ?? '').length)),
  );
  for (const row of [head, ...rows]) {
    const cells = row.map((cell, column) =>
      column === 0
        ? cell.padEnd(widths[column] ?? 0)
        : cell.padStart(widths[column] ?? 0),
    );
    console.log(cells.join('  ').trimEnd());
  }
}
