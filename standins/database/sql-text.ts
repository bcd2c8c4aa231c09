/** Splits SQL text into normalised statements for pattern matching. */

const TOKEN = /'(?:[^']|'')*'|--[^\n]*|\/\*[\s\S]*?\*\/|;|[^'\-/;]+|./g;

/**
 * Splits `text` at semicolons. Converts each statement to lower case with
 * single spaces and none around punctuation; quoted text is unchanged. Comments
 * and empty statements are removed.
 *
 * @example
 * splitStatements("SELECT  1; BEGIN"); // ['select 1', 'begin']
 */
export function splitStatements(text: string): readonly string[] {
  const statements: string[] = [];
  let current = '';
  for (const [token] of text.matchAll(TOKEN)) {
    if (token === ';') {
      statements.push(current);
      current = '';
    } else if (token.startsWith("'")) {
      current += token;
    } else if (token.startsWith('--') || token.startsWith('/*')) {
      current += ' ';
    } else {
      current += token.toLowerCase();
    }
  }
  statements.push(current);
  return statements.map(normalise).filter(statement => statement !== '');
}

function normalise(statement: string): string {
  return statement
    .split(/('(?:[^']|'')*')/)
    .map((part, index) => (index % 2 === 0 ? collapseSpaces(part) : part))
    .join('')
    .trim();
}

function collapseSpaces(text: string): string {
  return text.replace(/\s+/g, ' ').replace(/ ?([(),=+-]) ?/g, '$1');
}
