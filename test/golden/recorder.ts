/** Writes down a session as one line for each message, volatile values masked. */
import {serialize} from 'pg-protocol';
import {
  FRAME_HEADER_BYTES,
  readStrings,
  type Frame,
} from '../../src/targets/frames.js';
import {readColumns, readValues} from '../../src/targets/query-rows.js';
import type {Harness} from '../callers/harness.js';
import type {WireClient} from '../callers/wire-client.js';

const MASK = '<masked>';
/** Values that differ from run to run, and their names. */
const VOLATILE_PARAMETERS: ReadonlySet<string> = new Set(['zinnia.session']);
const STATUS_NAMES: Readonly<Record<string, string>> = {
  I: 'idle',
  T: 'open',
  E: 'failed',
};
const PLAIN_NAMES: Readonly<Record<string, string>> = {
  '1': 'ParseComplete',
  '2': 'BindComplete',
  '3': 'CloseComplete',
  I: 'EmptyQueryResponse',
  n: 'NoData',
  s: 'PortalSuspended',
  t: 'ParameterDescription',
};

/** One caller whose exchange is written down. */
export class SessionRecorder {
  readonly #wire: WireClient;
  readonly #lines: string[] = [];

  constructor(wire: WireClient) {
    this.#wire = wire;
  }

  static async connect(harness: Harness): Promise<SessionRecorder> {
    return new SessionRecorder(await harness.connectWire());
  }

  /** The exchange so far. */
  get text(): string {
    return `${this.#lines.join('\n')}\n`;
  }

  /** Sends messages under a description of them. */
  send(description: string, ...messages: readonly Uint8Array[]): void {
    this.#lines.push(`> ${description}`);
    this.#wire.send(...messages);
  }

  /** Writes down the answers up to one of type `last`, or to the end. */
  async receive(last = 'Z'): Promise<void> {
    const frames = await this.#wire.until(last);
    for (const frame of frames) this.#lines.push(`< ${describe(frame)}`);
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

  /** Runs SQL with parameters by the extended protocol. */
  async extended(text: string, values: readonly string[]): Promise<void> {
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

function describe(frame: Frame): string {
  const {type, bytes} = frame;
  switch (type) {
    case 'R':
      return bytes.readInt32BE(FRAME_HEADER_BYTES) === 0
        ? 'AuthenticationOk'
        : 'AuthenticationCleartextPassword';
    case 'S': {
      const [name = '', value = ''] = readStrings(bytes);
      const shown = VOLATILE_PARAMETERS.has(name) ? MASK : value;
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
      return `CommandComplete ${readStrings(bytes)[0]}`;
    case 'E':
      return `ErrorResponse\n${fieldsOf(bytes).join('\n')}`;
    default:
      return PLAIN_NAMES[type] ?? `message ${type}`;
  }
}

function fieldsOf(bytes: Buffer): readonly string[] {
  return bytes
    .toString('utf8', FRAME_HEADER_BYTES)
    .split('\0')
    .filter(field => field !== '' && !field.startsWith('V'))
    .map(field => `    ${field[0]}: ${field.slice(1)}`);
}
