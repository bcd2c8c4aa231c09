/** Start-up phase of a connection: TLS upgrade, CancelRequest, parameters. */
import type {Socket} from 'node:net';
import {TLSSocket, type SecureContext} from 'node:tls';
import {BodyReader} from './body-reader.js';
import {ProtocolError, SocketReader} from './socket-reader.js';

const MAX_STARTUP_BYTES = 10_000;
const PROTOCOL_MAJOR = 3;
const CANCEL_REQUEST_CODE = 80877102;
const SSL_REQUEST_CODE = 80877103;
const GSSENC_REQUEST_CODE = 80877104;

/** Backend key data: identifies the session that a CancelRequest is for. */
export interface CancelKey {
  readonly processId: number;
  readonly secret: number;
}

/** The outcome of the start-up phase. */
export type Startup =
  | {readonly kind: 'closed'}
  | {readonly kind: 'cancel'; readonly key: CancelKey}
  | {
      readonly kind: 'session';
      readonly socket: Socket;
      readonly reader: SocketReader;
      readonly params: ReadonlyMap<string, string>;
      /** Requested minor version of protocol 3; the server supports only 0. */
      readonly minor: number;
    };

/**
 * Reads start-up packets until a StartupMessage or CancelRequest. Upgrades to
 * TLS on an SSLRequest if a context is given.
 */
export async function readStartup(
  plain: Socket,
  tls: SecureContext | undefined,
): Promise<Startup> {
  let socket = plain;
  let reader = new SocketReader(plain);
  let encrypted = false;
  for (;;) {
    const packet = await reader.readStartup(MAX_STARTUP_BYTES);
    if (packet === undefined) return {kind: 'closed'};
    const body = new BodyReader(packet);
    const code = body.int32();
    if (code === CANCEL_REQUEST_CODE) {
      return {
        kind: 'cancel',
        key: {processId: body.int32(), secret: body.int32()},
      };
    }
    if (
      code === GSSENC_REQUEST_CODE ||
      (code === SSL_REQUEST_CODE && (!tls || encrypted))
    ) {
      socket.write('N');
      continue;
    }
    if (code === SSL_REQUEST_CODE) {
      socket = upgrade(plain, tls);
      reader = new SocketReader(socket);
      encrypted = true;
      continue;
    }
    if (code >> 16 !== PROTOCOL_MAJOR) {
      throw new ProtocolError(
        `protocol ${code >> 16}.${code & 0xffff} is not served; use 3.0`,
      );
    }
    return {
      kind: 'session',
      socket,
      reader,
      params: readParams(body),
      minor: code & 0xffff,
    };
  }
}

function upgrade(plain: Socket, context: SecureContext | undefined): Socket {
  plain.removeAllListeners('readable');
  plain.write('S');
  return new TLSSocket(plain, {isServer: true, secureContext: context});
}

function readParams(body: BodyReader): ReadonlyMap<string, string> {
  const params = new Map<string, string>();
  while (!body.atEnd) {
    const name = body.cstring();
    if (name === '') break;
    params.set(name, body.cstring());
  }
  return params;
}

/**
 * Parses the `-c name=value` and `--name=value` settings of the start-up
 * parameter `options`, with backslash escapes, as PostgreSQL does.
 *
 * @example
 * parseOptions('-c zinnia.priority=urgent').get('zinnia.priority');
 */
export function parseOptions(options: string): ReadonlyMap<string, string> {
  const words = options.match(/(?:\\.|[^\s\\])+/g) ?? [];
  const unescaped = words.map(word => word.replace(/\\(.)/g, '$1'));
  const settings = new Map<string, string>();
  for (let i = 0; i < unescaped.length; i++) {
    const word = unescaped[i] ?? '';
    const setting =
      word === '-c' ? (unescaped[++i] ?? '') : word.replace(/^-c|^--/, '');
    const equals = setting.indexOf('=');
    if (equals > 0)
      settings.set(setting.slice(0, equals), setting.slice(equals + 1));
  }
  return settings;
}
