/** Start-up of a connection: protocol version and authentication. */
import type net from 'node:net';
import type {FrameReader} from '../../src/targets/frames.js';
import type {AnswerWriter} from './answer-writer.js';
import {
  authenticationCleartext,
  BodyReader,
  negotiateVersion,
} from './messages.js';
import type {DatabaseOptions} from './options.js';
import {SqlError} from './sql-error.js';

const CANCEL_REQUEST = 80877102;
const SSL_REQUEST = 80877103;
const GSS_REQUEST = 80877104;
const PROTOCOL_MAJOR = 3;
/** Offset of the request code in a start-up message. */
const CODE_OFFSET_BYTES = 4;

/** The first request of a client: a cancellation or a new connection. */
export type StartupRequest =
  | {
      readonly kind: 'cancel';
      readonly processId: number;
      readonly secret: number;
    }
  | {
      readonly kind: 'connect';
      readonly parameters: ReadonlyMap<string, string>;
    };

/** Credentials and start-up parameters that a client presented. */
export interface SeenCredentials {
  readonly user: string;
  readonly password: string;
  readonly parameters: Readonly<Record<string, string>>;
}

/** Reads the start-up request; undefined if the client disconnects first. */
export async function readStartup(
  socket: net.Socket,
  reader: FrameReader,
  writer: AnswerWriter,
): Promise<StartupRequest | undefined> {
  for (;;) {
    const frame = await reader.nextUntyped();
    if (frame === undefined) return undefined;
    const body = new BodyReader(frame.bytes, CODE_OFFSET_BYTES);
    const code = body.int32();
    if (code === SSL_REQUEST || code === GSS_REQUEST) {
      socket.write('N');
      continue;
    }
    if (code === CANCEL_REQUEST) {
      return {kind: 'cancel', processId: body.int32(), secret: body.int32()};
    }
    return {kind: 'connect', parameters: readParameters(code, body, writer)};
  }
}

/** Checks and records the presented credentials; returns the user name. */
export async function authenticate(
  parameters: ReadonlyMap<string, string>,
  reader: FrameReader,
  writer: AnswerWriter,
  options: DatabaseOptions,
  recordCredentials: (credentials: SeenCredentials) => void,
): Promise<string> {
  const user = parameters.get('user') ?? '';
  writer.write(authenticationCleartext);
  await writer.flush();
  const frame = await reader.next();
  if (frame?.type !== 'p') {
    throw new SqlError('28000', 'a password was expected', 'FATAL');
  }
  const password = new BodyReader(frame.bytes).string();
  recordCredentials({
    user,
    password,
    parameters: Object.fromEntries(parameters),
  });
  if (user !== options.nodeUser || password !== options.nodePassword) {
    throw new SqlError('28P01', `authentication failed for "${user}"`, 'FATAL');
  }
  return user;
}

function readParameters(
  version: number,
  body: BodyReader,
  writer: AnswerWriter,
): ReadonlyMap<string, string> {
  const minor = version & 0xffff;
  if (version >>> 16 !== PROTOCOL_MAJOR) {
    throw new SqlError('0A000', 'only protocol 3 is supported', 'FATAL');
  }
  const parameters = new Map<string, string>();
  const unknown: string[] = [];
  for (;;) {
    const name = body.string();
    if (name === '') break;
    if (name.startsWith('_pq_.')) unknown.push(name);
    parameters.set(name, body.string());
  }
  if (minor > 0 || unknown.length > 0) writer.write(negotiateVersion(unknown));
  return parameters;
}
