/**
 * The session token: the log position that a session has written or read, per
 * group.
 */
import {
  covers,
  formatPosition,
  laterPosition,
  parsePosition,
  START_POSITION,
  type Position,
} from './position.js';
import type {TokenSigner} from './token-signer.js';

/** Maximum number of groups in a token; the least recently used are dropped. */
export const MAX_TOKEN_GROUPS = 64;

/** Maximum length of an encoded token, in characters. */
export const MAX_TOKEN_CHARS = 24_576;

const FORMAT_VERSION = 'z1';
const COMPLETE = 'c';
const PARTIAL = 'p';
const FIELD_SEPARATOR = ' ';

/** The outcome of decoding a token. */
export type DecodedToken =
  | {readonly kind: 'valid'; readonly token: SessionToken}
  | {readonly kind: 'malformed'; readonly message: string}
  | {readonly kind: 'forged'; readonly message: string};

/**
 * An immutable map from group names to the last position that the session has
 * written or read there.
 *
 * A *complete* token lists every group that the session has used. A partial one
 * may lack some, so reads of groups that it does not list must go to the
 * primary.
 */
export class SessionToken {
  /** In order of use, the least recently used first. */
  readonly #positions: ReadonlyMap<string, Position>;
  /** Whether every group that the session has used is listed. */
  readonly complete: boolean;

  private constructor(
    positions: ReadonlyMap<string, Position>,
    complete: boolean,
  ) {
    this.#positions = positions;
    this.complete = complete;
  }

  /** Creates the token of a new session, which has used no group yet. */
  static fresh(): SessionToken {
    return new SessionToken(new Map(), true);
  }

  /** Creates the token of a session whose history is unknown. */
  static unknown(): SessionToken {
    return new SessionToken(new Map(), false);
  }

  /** Builds a token from positions, the least recently used first. */
  static from(
    positions: Iterable<readonly [string, Position]>,
    complete = true,
  ): SessionToken {
    return SessionToken.#bounded(new Map(positions), complete);
  }

  /** The names of the listed groups. */
  get groups(): readonly string[] {
    return [...this.#positions.keys()];
  }

  /**
   * Returns the position that a read of the group must cover; undefined if it
   * is unknown, so that only the primary may serve the read.
   */
  at(group: string): Position | undefined {
    const position = this.#positions.get(group);
    if (position !== undefined) return position;
    return this.complete ? START_POSITION : undefined;
  }

  /**
   * Returns the token after the session wrote or read at `position`. Positions
   * never decrease.
   *
   * @example
   * token = token.with('claims', {term: 3, offset: 1042});
   */
  with(group: string, position: Position): SessionToken {
    const known = this.#positions.get(group);
    if (known !== undefined && covers(known, position)) return this;
    const positions = new Map(this.#positions);
    positions.delete(group);
    positions.set(group, position);
    return SessionToken.#bounded(positions, this.complete);
  }

  /** Returns a token that covers this one and `other` of the same session. */
  merge(other: SessionToken): SessionToken {
    const positions = new Map(this.#positions);
    for (const [group, position] of other.#positions) {
      const known = positions.get(group);
      positions.delete(group);
      positions.set(
        group,
        known === undefined ? position : laterPosition(known, position),
      );
    }
    return SessionToken.#bounded(positions, this.complete && other.complete);
  }

  /**
   * Encodes the token as signed text of letters, digits, `.`, `-` and `_`.
   *
   * @example
   * const text = token.encode(signer); // 'z1.Yy...'
   */
  encode(signer: TokenSigner): string {
    const fields = [this.complete ? COMPLETE : PARTIAL];
    for (const [group, position] of this.#positions) {
      fields.push(`${encodeURIComponent(group)}=${formatPosition(position)}`);
    }
    const payload = Buffer.from(fields.join(FIELD_SEPARATOR));
    const body = `${FORMAT_VERSION}.${payload.toString('base64url')}`;
    return `${body}.${signer.sign(body)}`;
  }

  /** Builds a token, dropping the least recently used groups over the limit. */
  static #bounded(
    positions: Map<string, Position>,
    complete: boolean,
  ): SessionToken {
    let leftOut = false;
    for (const group of positions.keys()) {
      if (positions.size <= MAX_TOKEN_GROUPS) break;
      positions.delete(group);
      leftOut = true;
    }
    return new SessionToken(positions, complete && !leftOut);
  }
}

/**
 * Decodes a token and verifies its signature.
 *
 * @example
 * const decoded = decodeToken(text, signer);
 * if (decoded.kind === 'valid') session.token = decoded.token;
 */
export function decodeToken(text: string, signer: TokenSigner): DecodedToken {
  if (text.length > MAX_TOKEN_CHARS) {
    return malformed(`it is longer than ${MAX_TOKEN_CHARS} characters`);
  }
  const match = /^(z\d{1,3})\.([\w-]*)\.([\w-]+)$/.exec(text);
  if (match === null) return malformed('it has not the form z1.body.signature');
  const [, version = '', payload = '', signature = ''] = match;
  if (version !== FORMAT_VERSION) {
    return malformed(`its format ${version} is not ${FORMAT_VERSION}`);
  }
  if (!signer.verify(`${version}.${payload}`, signature)) {
    return {
      kind: 'forged',
      message:
        'the session token was not signed by this deployment; open the ' +
        'session without it, and check that all VMs have the same secret',
    };
  }
  return decodePayload(Buffer.from(payload, 'base64url').toString());
}

function decodePayload(payload: string): DecodedToken {
  const [completeness, ...fields] = payload.split(FIELD_SEPARATOR);
  if (completeness !== COMPLETE && completeness !== PARTIAL) {
    return malformed('its first field is neither c nor p');
  }
  const positions = new Map<string, Position>();
  for (const field of fields) {
    const [name = '', value = ''] = field.split('=');
    const position = parsePosition(value);
    if (position === undefined) return malformed(`${field} is no position`);
    positions.set(decodeURIComponent(name), position);
  }
  return {
    kind: 'valid',
    token: SessionToken.from(positions, completeness === COMPLETE),
  };
}

function malformed(reason: string): DecodedToken {
  return {
    kind: 'malformed',
    message:
      `the session token can't be read: ${reason}; ` +
      'send it as SHOW zinnia.session returned it, or open the session without',
  };
}
