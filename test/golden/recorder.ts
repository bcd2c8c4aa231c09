/** Records a session as one text line per message, with varying values masked. */
import {serialize} from 'pg-protocol';
import {
  FRAME_HEADER_BYTES,
  readCStrings,
  type Frame,
} from '../../src/targets/frames.js';
import {readColumns, readValues} from '../../src/targets/query-rows.js';
import type {Harness} from '../callers/harness.js';
import type {WireClient} from '../callers/wire-client.js';

const MASK = '<masked>';
/** Parameters whose values differ between runs. */
const MASKED_PARAMETERS: ReadonlySet<string> = new Set(['zinnia.session']);
const STATUS_NAMES: Readonly<Record<string, string>> = {
  I: 'idle',
  T: 'open',
  E: 'failed',
};
const MESSAGE_NAMES: Readonly<Record<string, string>> = {
  '1': 'ParseComplete',
  '2': 'BindComplete',
  '3': 'CloseComplete',
  I: 'EmptyQueryResponse',
  n: 'NoData',
  s: 'PortalSuspended',
  t: 'ParameterDescription',
};

/** Sends and receives a caller's messages and records them. */
export class SessionRecorder {
  readonly #wire: WireClient;
  readonly #lines: string[] = [];

  constructor(wire: WireClient) {
    this.#wire = wire;
  }

  static async connect(harness: Harness): Promise<SessionRecorder> {
    return new SessionRecorder(await harness.connectWire());
  }

  /** The messages recorded so far. */
  get text(): string {
    return `${this.#lines.join('\n')}\n`;
  }

  /** Sends messages and records them by a description. */
  send(description: string, ...messages: readonly Uint8Array[]): void {
    this.#lines.push(`> ${description}`);
    this.#wire.send(...messages);
  }

  /** Records the messages up to one of type `last` or to the connection's end. */
  async receive(last = 'Z'): Promise<void> {
    const frames = await this.#wire.readUntil(last);
    for (const frame of frames) this.#lines.push(`< ${formatMessage(frame)}`);
    if (frames.at(-1)?.type !== last) this.#lines.push('< (closed)');
  }

  /** Logs in with a key. */
  async logIn(
    user: string,
    database: string,
    key: string,
    params: Readonly<Record<string, string>> = {},
  ): Promise<void> {
    const names = Object.keys(params).map(name => ` ${name}=${MASK}`);
    this.send(
      `StartupMessage user=${user} database=${database}${names.join('')}`,
      serialize.startup({user, database, ...params}),
    );
    await this.receive('R');
    this.send(`PasswordMessage ${MASK}`, serialize.password(key));
    await this.receive();
  }

  async query(sql: string): Promise<void> {
    this.send(`Query ${sql}`, serialize.query(sql));
    await this.receive();
  }

  /** Runs SQL with parameters by the extended query protocol. */
  async extendedQuery(text: string, values: readonly string[]): Promise<void> {
    this.send(
      `Parse ${text} / Bind ${values.join(', ')} / Describe / Execute / Sync`,
      serialize.parse({text}),
      serialize.bind({values: [...values]}),
      serialize.describe({type: 'P'}),
      serialize.execute(),
      serialize.sync(),
    );
    await this.receive();
  }
}

function formatMessage(frame: Frame): string {
  const {type, bytes} = frame;
  switch (type) {
    case 'R':
      return bytes.readInt32BE(FRAME_HEADER_BYTES) === 0
        ? 'AuthenticationOk'
        : 'AuthenticationCleartextPassword';
    case 'S': {
      const [name = '', value = ''] = readCStrings(bytes);
      const shown = MASKED_PARAMETERS.has(name) ? MASK : value;
      return `ParameterStatus ${name}=${shown}`;
    }
    case 'K':
      return `BackendKeyData ${MASK}`;
    case 'Z': {
      const code = String.fromCharCode(bytes[FRAME_HEADER_BYTES] ?? 0);
      return `ReadyForQuery ${STATUS_NAMES[code] ?? code}`;
    }
    case 'T':
      return `RowDescription ${readColumns(bytes).join(', ')}`;
    case 'D':
      return `DataRow ${readValues(bytes).join(', ')}`;
    case 'C':
      return `CommandComplete ${readCStrings(bytes)[0]}`;
    case 'E':
      return `ErrorResponse\n${formatErrorFields(bytes).join('\n')}`;
    default:
      return MESSAGE_NAMES[type] ?? `message ${type}`;
  }
}

function formatErrorFields(bytes: Buffer): readonly string[] {
  return bytes
    .toString('utf8', FRAME_HEADER_BYTES)
    .split('\0')
    .filter(field => field !== '' && !field.startsWith('V'))
    .map(field => `    ${field[0]}: ${field.slice(1)}`);
}
