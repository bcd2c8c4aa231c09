/**
 * Parameters of a session. The proxy acts on its own (`zinnia.*`) and only
 * stores any other, so that SHOW returns what SET has assigned.
 */
import type {PriorityClass} from './priority-class.js';
import {decodeToken, SessionToken} from '../session/token.js';
import type {TokenSigner} from '../session/token-signer.js';

/** The parameter that carries the session token. */
export const TOKEN_PARAMETER = 'zinnia.session';
const DEADLINE_PARAMETER = 'zinnia.deadline_ms';
const PRIORITY_PARAMETER = 'zinnia.priority';
const MIN_DEADLINE_MS = 1;
const MAX_DEADLINE_MS = 600_000;
const INVALID_VALUE = '22023';
const UNKNOWN_PARAMETER = '42704';

/** The error of a SET or SHOW that failed. */
export interface ParameterFault {
  readonly sqlstate: string;
  readonly message: string;
}

/** Parameters that a PostgreSQL server reports at start-up, by name. */
export const REPORTED_PARAMETERS: ReadonlyMap<string, string> = new Map([
  ['server_version', '15.0 (zinniaarch)'],
  ['server_encoding', 'UTF8'],
  ['client_encoding', 'UTF8'],
  ['DateStyle', 'ISO, MDY'],
  ['IntervalStyle', 'postgres'],
  ['TimeZone', 'UTC'],
  ['integer_datetimes', 'on'],
  ['standard_conforming_strings', 'on'],
]);

/** The parameters of one session, including its session token. */
export class SessionParameters {
  readonly #signer: TokenSigner;
  readonly #defaultDeadlineMs: number;
  readonly #custom = new Map<string, string>();
  #token = SessionToken.unknown();
  #deadlineMs: number;
  #priority: PriorityClass | undefined;

  constructor(signer: TokenSigner, deadlineMs: number) {
    this.#signer = signer;
    this.#defaultDeadlineMs = deadlineMs;
    this.#deadlineMs = deadlineMs;
  }

  get token(): SessionToken {
    return this.#token;
  }

  set token(token: SessionToken) {
    this.#token = token;
  }

  get deadlineMs(): number {
    return this.#deadlineMs;
  }

  /** The scheduling class that the session requested, if any. */
  get priority(): PriorityClass | undefined {
    return this.#priority;
  }

  /** Sets a parameter; undefined resets it to its default. */
  set(name: string, value: string | undefined): ParameterFault | undefined {
    switch (name.toLowerCase()) {
      case TOKEN_PARAMETER:
        return this.#setToken(value ?? '');
      case DEADLINE_PARAMETER:
        return this.#setDeadline(value);
      case PRIORITY_PARAMETER:
        return this.#setPriority(value);
      default:
        return this.#setCustom(name, value);
    }
  }

  /** Returns a parameter's value for SHOW. */
  show(name: string): string | ParameterFault {
    const lower = name.toLowerCase();
    if (lower === TOKEN_PARAMETER) return this.#token.encode(this.#signer);
    if (lower === DEADLINE_PARAMETER) return String(this.#deadlineMs);
    if (lower === PRIORITY_PARAMETER) return this.#priority ?? 'default';
    const custom = this.#custom.get(lower);
    if (custom !== undefined) return custom;
    for (const [known, value] of REPORTED_PARAMETERS) {
      if (known.toLowerCase() === lower) return value;
    }
    return {
      sqlstate: UNKNOWN_PARAMETER,
      message: `unrecognized configuration parameter "${name}"`,
    };
  }

  #setToken(text: string): ParameterFault | undefined {
    if (text === '') {
      this.#token = SessionToken.unknown();
      return undefined;
    }
    const decoded = decodeToken(text, this.#signer);
    if (decoded.kind !== 'valid') {
      return {sqlstate: INVALID_VALUE, message: decoded.message};
    }
    this.#token = this.#token.groups.length
      ? this.#token.merge(decoded.token)
      : decoded.token;
    return undefined;
  }

  #setDeadline(value: string | undefined): ParameterFault | undefined {
    const ms = value === undefined ? this.#defaultDeadlineMs : Number(value);
    if (!Number.isInteger(ms) || ms < MIN_DEADLINE_MS || ms > MAX_DEADLINE_MS) {
      return {
        sqlstate: INVALID_VALUE,
        message: `${DEADLINE_PARAMETER} takes whole milliseconds from ${MIN_DEADLINE_MS} to ${MAX_DEADLINE_MS}`,
      };
    }
    this.#deadlineMs = ms;
    return undefined;
  }

  #setPriority(value: string | undefined): ParameterFault | undefined {
    if (value === undefined || value === 'default') {
      this.#priority = undefined;
      return undefined;
    }
    if (value !== 'urgent' && value !== 'ordinary') {
      return {
        sqlstate: INVALID_VALUE,
        message: `${PRIORITY_PARAMETER} takes urgent, ordinary or default`,
      };
    }
    this.#priority = value;
    return undefined;
  }

  #setCustom(
    name: string,
    value: string | undefined,
  ): ParameterFault | undefined {
    if (name.toLowerCase().startsWith('zinnia.')) {
      return {
        sqlstate: UNKNOWN_PARAMETER,
        message: `unknown parameter "${name}"; known are ${TOKEN_PARAMETER}, ${DEADLINE_PARAMETER} and ${PRIORITY_PARAMETER}`,
      };
    }
    if (value === undefined) this.#custom.delete(name.toLowerCase());
    else this.#custom.set(name.toLowerCase(), value);
    return undefined;
  }
}
