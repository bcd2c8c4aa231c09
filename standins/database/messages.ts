/** Server side of the PostgreSQL protocol v3: message builders and a reader. */
import {
  buildFrame,
  cString,
  FRAME_HEADER_BYTES,
  int16,
  int32,
} from '../../src/targets/frames.js';
import {TYPE_OIDS, type ResultColumn} from './result.js';
import {SqlError} from './sql-error.js';

/** Type size of a variable-length type; type modifier if there is none. */
const UNSPECIFIED = -1;

export const authenticationOk = buildFrame('R', int32(0));
export const authenticationCleartext = buildFrame('R', int32(3));
export const parseComplete = buildFrame('1');
export const bindComplete = buildFrame('2');
export const closeComplete = buildFrame('3');
export const noData = buildFrame('n');
export const portalSuspended = buildFrame('s');
export const emptyQuery = buildFrame('I');

export function parameterStatus(name: string, value: string): Buffer {
  return buildFrame('S', cString(name), cString(value));
}

export function backendKeyData(processId: number, secret: number): Buffer {
  return buildFrame('K', int32(processId), int32(secret));
}

export function readyForQuery(transaction: string): Buffer {
  return buildFrame('Z', Buffer.from(transaction));
}

export function commandComplete(tag: string): Buffer {
  return buildFrame('C', cString(tag));
}

/** Builds NegotiateProtocolVersion: version 3.0, without these options. */
export function negotiateVersion(options: readonly string[]): Buffer {
  return buildFrame(
    'v',
    int32(0),
    int32(options.length),
    ...options.map(cString),
  );
}

export function errorResponse(err: SqlError): Buffer {
  const {severity, code, message} = err;
  const fields = [`S${severity}`, `V${severity}`, `C${code}`, `M${message}`];
  return buildFrame('E', ...fields.map(cString), Buffer.alloc(1));
}

export function rowDescription(columns: readonly ResultColumn[]): Buffer {
  const fields = columns.map(({name, typeOid}) =>
    Buffer.concat([
      cString(name),
      int32(0),
      int16(0),
      int32(typeOid),
      int16(UNSPECIFIED),
      int32(UNSPECIFIED),
      int16(0),
    ]),
  );
  return buildFrame('T', int16(columns.length), ...fields);
}

export function parameterDescription(count: number): Buffer {
  const types = Array.from({length: count}, () => int32(TYPE_OIDS.text));
  return buildFrame('t', int16(count), ...types);
}

export function dataRow(values: readonly string[]): Buffer {
  const fields = values.map(value => {
    const bytes = Buffer.from(value, 'utf8');
    return Buffer.concat([int32(bytes.length), bytes]);
  });
  return buildFrame('D', int16(values.length), ...fields);
}

/** Reads the fields of a frame; throws SqlError 08P01 if the frame is short. */
export class BodyReader {
  readonly #bytes: Buffer;
  #at: number;

  constructor(bytes: Buffer, start = FRAME_HEADER_BYTES) {
    this.#bytes = bytes;
    this.#at = start;
  }

  get done(): boolean {
    return this.#at >= this.#bytes.length;
  }

  string(): string {
    const end = this.#bytes.indexOf(0, this.#at);
    if (end < 0) throw malformed();
    const text = this.#bytes.toString('utf8', this.#at, end);
    this.#at = end + 1;
    return text;
  }

  int16(): number {
    return this.#take(2).readInt16BE();
  }

  int32(): number {
    return this.#take(4).readInt32BE();
  }

  bytes(length: number): Buffer {
    return this.#take(length);
  }

  #take(length: number): Buffer {
    const end = this.#at + length;
    if (length < 0 || end > this.#bytes.length) throw malformed();
    const bytes = this.#bytes.subarray(this.#at, end);
    this.#at = end;
    return bytes;
  }
}

function malformed(): SqlError {
  return new SqlError('08P01', 'malformed message', 'FATAL');
}
