/** Classifies SQL texts with PostgreSQL's own parser and caches the results. */
import {hasSqlDetails, loadModule, parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {classifyStatement} from './classify-statement.js';
import {
  classificationOf,
  unsupported,
  type Classification,
  type Statement,
} from './statement.js';
import {isTree, listOf, type Tree} from './syntax.js';

const DEFAULT_CACHE_CHARS = 4_194_304;
/** Longer texts are rarely repeated, so they are not cached. */
const MAX_CACHED_CHARS = 16_384;
const ENTRY_OVERHEAD_CHARS = 256;

const SYNTAX_ERROR = '42601';
const STATEMENT_TOO_COMPLEX = '54001';
/** The parser would stop at a NUL and ignore the rest of the text. */
const NUL_MESSAGE = 'the statement contains a NUL character; remove it';

/** Classifies SQL texts. */
export interface Classifier {
  /**
   * Classifies a text of zero or more statements.
   *
   * @example
   * (await classifier.classify('select 1')).strictest.kind; // 'read'
   */
  classify(sql: string): Promise<Classification>;
}

/**
 * Creates a classifier with its own cache of at most `cacheChars` characters.
 *
 * @example
 * const classifier = createClassifier();
 */
export function createClassifier(cacheChars = DEFAULT_CACHE_CHARS): Classifier {
  return new ParsingClassifier(cacheChars);
}

class ParsingClassifier implements Classifier {
  readonly #cache: LRUCache<string, Classification>;
  readonly #loaded = loadModule();

  constructor(cacheChars: number) {
    this.#cache = new LRUCache({
      maxSize: cacheChars,
      maxEntrySize: MAX_CACHED_CHARS + ENTRY_OVERHEAD_CHARS,
      sizeCalculation: (_, sql) => sql.length + ENTRY_OVERHEAD_CHARS,
    });
  }

  async classify(sql: string): Promise<Classification> {
    const known = this.#cache.get(sql);
    if (known !== undefined) return known;
    await this.#loaded;
    const classification = classificationOf(parseStatements(sql));
    this.#cache.set(sql, classification);
    return classification;
  }
}

function parseStatements(sql: string): readonly Statement[] {
  if (sql.includes('\0')) return [invalid(SYNTAX_ERROR, NUL_MESSAGE)];
  if (sql.trim() === '') return [{kind: 'empty'}];
  try {
    const parsed = parseSync(sql) as unknown as Tree;
    return classifyAll(listOf(parsed, 'stmts'));
  } catch (err) {
    return [toInvalid(err)];
  }
}

function classifyAll(raw: readonly unknown[]): readonly Statement[] {
  if (raw.length === 0) return [{kind: 'empty'}];
  const statements = raw.map(classifyRaw);
  return statements.length === 1 ? statements : statements.map(refuseMixed);
}

function classifyRaw(raw: unknown): Statement {
  const statement = isTree(raw) ? raw['stmt'] : undefined;
  return isTree(statement) ? classifyStatement(statement) : {kind: 'empty'};
}

/**
 * The proxy itself answers SET and SHOW of the parameters that it stores, so
 * they can't be part of a batch that a database runs.
 */
function refuseMixed(statement: Statement): Statement {
  if (statement.kind !== 'set' && statement.kind !== 'show') return statement;
  const verb = statement.kind.toUpperCase();
  return unsupported(
    `${verb} ${statement.name} can't be mixed with other statements; ` +
      'send it in a message of its own',
  );
}

function toInvalid(err: unknown): Statement {
  if (hasSqlDetails(err)) {
    const offset = err.sqlDetails?.cursorPosition ?? -1;
    const position = offset < 0 ? undefined : offset + 1;
    return invalid(SYNTAX_ERROR, err.message, position);
  }
  const reason = err instanceof Error ? err.message : String(err);
  return invalid(
    STATEMENT_TOO_COMPLEX,
    `the statement can't be parsed: ${reason}; make it simpler`,
  );
}

function invalid(
  sqlstate: string,
  message: string,
  position?: number,
): Statement {
  return {kind: 'invalid', sqlstate, message, position};
}
