/** Builders of the PostgreSQL protocol v3 backend messages. */
import {Writer} from 'pg-protocol/dist/buffer-writer.js';
import type {TransactionStatus} from '../targets/types.js';

const TYPE = {
  authentication: 0x52,
  backendKeyData: 0x4b,
  bindComplete: 0x32,
  closeComplete: 0x33,
  commandComplete: 0x43,
  dataRow: 0x44,
  emptyQuery: 0x49,
  error: 0x45,
  negotiateVersion: 0x76,
  noData: 0x6e,
  parameterDescription: 0x74,
  parameterStatus: 0x53,
  parseComplete: 0x31,
  readyForQuery: 0x5a,
  rowDescription: 0x54,
} as const;

const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEARTEXT = 3;
const TEXT_OID = 25;
const VARIABLE_LENGTH = -1;

/** The fields of an ErrorResponse to a caller. */
export interface ErrorFields {
  readonly severity: 'ERROR' | 'FATAL';
  readonly sqlstate: string;
  readonly message: string;
  readonly detail?: string;
  readonly hint?: string;
}

export function authenticationOk(): Buffer {
  return new Writer().addInt32(AUTHENTICATION_OK).flush(TYPE.authentication);
}

export function authenticationCleartextPassword(): Buffer {
  return new Writer()
    .addInt32(AUTHENTICATION_CLEARTEXT)
    .flush(TYPE.authentication);
}

export function parameterStatus(name: string, value: string): Buffer {
  return new Writer()
    .addCString(name)
    .addCString(value)
    .flush(TYPE.parameterStatus);
}

export function backendKeyData(processId: number, secret: number): Buffer {
  return new Writer()
    .addInt32(processId)
    .addInt32(secret)
    .flush(TYPE.backendKeyData);
}

/** NegotiateProtocolVersion to 3.0, for a caller that requests a later minor. */
export function negotiateVersion(unknownOptions: readonly string[]): Buffer {
  const writer = new Writer().addInt32(0).addInt32(unknownOptions.length);
  for (const option of unknownOptions) writer.addCString(option);
  return writer.flush(TYPE.negotiateVersion);
}

const TRANSACTION_STATUS_CODES: Readonly<Record<TransactionStatus, string>> = {
  idle: 'I',
  open: 'T',
  failed: 'E',
};

export function readyForQuery(status: TransactionStatus): Buffer {
  return new Writer()
    .addString(TRANSACTION_STATUS_CODES[status])
    .flush(TYPE.readyForQuery);
}

export function errorResponse(fields: ErrorFields): Buffer {
  const writer = new Writer();
  const add = (code: string, text: string | undefined) => {
    if (text !== undefined) writer.addString(code).addCString(text);
  };
  add('S', fields.severity);
  add('V', fields.severity);
  add('C', fields.sqlstate);
  add('M', fields.message);
  add('D', fields.detail);
  add('H', fields.hint);
  return writer.addString('\0').flush(TYPE.error);
}

export function commandComplete(tag: string): Buffer {
  return new Writer().addCString(tag).flush(TYPE.commandComplete);
}

export function parseComplete(): Buffer {
  return new Writer().flush(TYPE.parseComplete);
}

export function bindComplete(): Buffer {
  return new Writer().flush(TYPE.bindComplete);
}

export function closeComplete(): Buffer {
  return new Writer().flush(TYPE.closeComplete);
}

/** Response to Describe of a statement that returns no rows. */
export function noData(): Buffer {
  return new Writer().flush(TYPE.noData);
}

/** ParameterDescription of a statement without parameters. */
export function emptyParameterDescription(): Buffer {
  return new Writer().addInt16(0).flush(TYPE.parameterDescription);
}

export function emptyQueryResponse(): Buffer {
  return new Writer().flush(TYPE.emptyQuery);
}

/** A text result of one column and one row, as for SHOW. */
export function singleValueResult(column: string, value: string): Buffer {
  const description = new Writer()
    .addInt16(1)
    .addCString(column)
    .addInt32(0)
    .addInt16(0)
    .addInt32(TEXT_OID)
    .addInt16(VARIABLE_LENGTH)
    .addInt32(VARIABLE_LENGTH)
    .addInt16(0)
    .flush(TYPE.rowDescription);
  const row = new Writer()
    .addInt16(1)
    .addInt32PrefixedString(value)
    .flush(TYPE.dataRow);
  return Buffer.concat([description, row]);
}
