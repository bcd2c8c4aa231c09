/** Splits SQL text into statements in a normal form that patterns can match. */

const TOKEN = /'(?:[^']|'')*'|--[^\n]*|\/\*[\s\S]*?\*\/|;|[^'\-/;]+|./g;

/**
 * Splits `text` at its semicolons, drops comments, and brings each statement
 * to lower case and single spaces, with none around punctuation. Quoted text
 * stays as it is. Empty statements are dropped.
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
    .map((part, index) => (index % 2 === 0 ? squeeze(part) : part))
    .join('')
    .trim();
}

function squeeze(text: string): string {
  return text.replace(/\s+/g, ' ').replace(/ ?([(),=+-]) ?/g, '$1');
}
