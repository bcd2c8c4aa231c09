/** Structured logging: one line of key=value pairs per event. */
import {createConsola, type LogObject} from 'consola/core';
import {lineWriter} from './log-output.js';

/** Value of a log field; undefined omits the field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Logs events; `event` is a short lower-camel-case name. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  debug(event: string, fields?: LogFields): void;
  /** Returns a logger that adds `fields` to every line. */
  with(fields: LogFields): Logger;
}

/** Lowest severity that is written. */
export type LogLevel = 'silent' | 'error' | 'warn' | 'info' | 'debug';

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  silent: -999,
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
};

/**
 * Formats fields as `key=value`, quoting empty values and values with spaces,
 * quotes or `=`.
 *
 * @example
 * formatFields({event: 'listening', port: 5432}) === 'event=listening port=5432';
 */
export function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`)
    .join(' ');
}

function formatValue(value: LogValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** Severity of a log line. */
export type LogSeverity = 'info' | 'warn' | 'error' | 'debug';

/** Implements the method of each severity by a single `write`. */
export abstract class BaseLogger implements Logger {
  info(event: string, fields: LogFields = {}): void {
    this.write('info', event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.write('warn', event, fields);
  }

  error(event: string, fields: LogFields = {}): void {
    this.write('error', event, fields);
  }

  debug(event: string, fields: LogFields = {}): void {
    this.write('debug', event, fields);
  }

  abstract with(fields: LogFields): Logger;

  protected abstract write(
    level: LogSeverity,
    event: string,
    fields: LogFields,
  ): void;
}

class ConsolaLogger extends BaseLogger {
  readonly #consola: ReturnType<typeof createConsola>;
  readonly #fields: LogFields;

  constructor(consola: ReturnType<typeof createConsola>, fields: LogFields) {
    super();
    this.#consola = consola;
    this.#fields = fields;
  }

  with(fields: LogFields): Logger {
    return new ConsolaLogger(this.#consola, {...this.#fields, ...fields});
  }

  /** Uses `args`: consola takes an object with `message` for its own log entry. */
  protected write(level: LogSeverity, event: string, fields: LogFields): void {
    this.#consola[level]({args: [{event, ...this.#fields, ...fields}]});
  }
}

/**
 * Creates a logger that writes to `write`, by default standard error.
 *
 * @example
 * createLogger('info', {vm: 'vm1'}).info('listening', {port: 5432});
 */
export function createLogger(
  level: LogLevel,
  fields: LogFields = {},
  write: (line: string) => void = writeToStderr,
): Logger {
  const log = (entry: LogObject) => {
    const body = (entry.args[0] ?? {}) as LogFields;
    write(
      `${formatFields({time: entry.date.toISOString(), level: entry.type, ...body})}\n`,
    );
  };
  const consola = createConsola({
    level: CONSOLA_LEVELS[level],
    reporters: [{log}],
    throttle: 0,
  });
  return new ConsolaLogger(consola, fields);
}

let stderrWriter: ((line: string) => void) | undefined;

function writeToStderr(line: string): void {
  stderrWriter ??= lineWriter(process.stderr);
  stderrWriter(line);
}
