/**
 * Gives every decoder odd input. By hand for longer:
 * `FUZZ_RUNS=200000 FUZZ_SEED=7 npx vitest run test/fuzz`.
 */
import fc from 'fast-check';
import {afterAll, describe, expect, it} from 'vitest';
import {CatalogDecoder} from '../../platform/catalog.js';
import type {HttpClient, HttpResponse} from '../../platform/http-client.js';
import {LineSplitter} from '../../platform/lines.js';
import {parseSettings} from '../../platform/settings.js';
import {PlatformStore} from '../../platform/store.js';
import {
  formatCommand,
  parseCommand,
  parseReady,
  parseStart,
  parseStateRow,
} from '../../platform/wire.js';
import {
  decodeRelayReply,
  decodeRelayRequest,
} from '../../src/fleet/relay-messages.js';
import {decodeMember} from '../../src/fleet/member-record.js';
import {
  decodeStoreCallReply,
  serveStoreCall,
} from '../../src/fleet/store-call.js';
import {decodeOrder} from '../../src/groups/primary-order.js';
import {decodeHolder} from '../../src/groups/primary-right-record.js';
import {
  decodeRequest,
  decodeResult,
  encodeRequest,
} from '../../src/home/statement-codec.js';
import {StoreError} from '../../src/infra/store.js';
import {decodeReport} from '../../src/load/report-codec.js';
import {FrameDecoder, encodeFrame} from '../../src/peers/framing.js';
import {parseMessage} from '../../src/peers/messages.js';
import {decodeTokenRequest} from '../../src/quota/types.js';
import {createLogger} from '../../src/telemetry/log.js';
import {mutatedArb, mutatedTextArb, oddValueArb} from './values.js';

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 1_500);
const SEED = Number(process.env['FUZZ_SEED'] ?? 38);
/** A decoder that takes longer for one small input keeps others waiting. */
const MAX_MS = 250;
const MAX_LOG_LINE = 1_000;

/** Errors by which a decoder rejects input; others are faults of its own. */
const REJECTIONS = new Set([
  'ZodError',
  'SyntaxError',
  'StoreError',
  'HistoryGoneError',
  'LeaseGoneError',
  'ProtocolError',
  'FrameError',
  'LineError',
  'PlatformSettingsError',
]);

interface Decoder {
  readonly name: string;
  readonly input: fc.Arbitrary<unknown>;
  decode(input: never): unknown;
  /** Further errors by which it rejects input. */
  readonly rejections?: readonly string[];
}

const REQUEST = {
  sessionId: 's',
  group: 'g',
  team: 't',
  kind: 'write',
  priority: 1,
  deadlineMs: 800,
  commits: true,
  pin: undefined,
  statement: {requestId: 'r', access: 'write', text: 'WRITE a b'},
  consistency: 'session',
  maxStalenessMs: 0,
  latencyGoalMs: 100,
  position: {term: 1, offset: 2},
  values: {a: 'b'},
  opens: undefined,
} as const;
const RESULT = [0, 1, 'p', [1, 2], ['row'], 'sig', 0];
const CONFIG = {
  version: 3,
  routes: [
    {
      database: 'd',
      type: 'primary',
      service: 'g',
      timeout_ms: 800,
      target_latency_ms: 200,
      priority: 1,
    },
  ],
  services: [{name: 'g', max_connections: 16, sync_replicas: 1}],
  limits: {tx_idle_ms: 3_000},
  tenants: [{name: 't', api_keys: ['k'], rate_per_s: 5, burst: 5}],
};
const ENTRY = {
  service: 'g',
  address: '127.0.0.1:5000',
  zone: 'z',
  slots: 2,
  state: 'ready',
  sequence: 4,
  born: 1_700_000_000_000,
  cold_remaining_ms: 0,
};
const MEMBER = {
  id: 'n',
  host: 'h',
  port: 1,
  dataCentre: 'z',
  instance: 'i',
  cores: 1,
  isLeaving: false,
};
const ITEM = {key: 'k', value: 'eA==', revision: 3};
const ANSWERS = [
  {items: [ITEM], has_more: false, as_of: 3},
  {events: [ITEM, {key: 'k', revision: 4, removed: true}], as_of: 4},
  {revision: 5},
  {lease: 7, ttl_ms: 1_000},
];
const SETTINGS = `node_name=n\nip=10.1.0.26\nzone=z\nlisten_addrs.front=10.1.0.26:1
listen_addrs.ready=10.1.0.26:2\ninternal_ports=3,4\nplatform.address=10.2.0.1:5
cloud.address=10.2.0.2:6\nbounds.grace_s=6\n`;
const FRAME = Buffer.from(
  encodeFrame({kind: 'req', id: 1, method: 'm', body: [1, 'x']}),
).toString('latin1');

function jsonArb(sound: unknown): fc.Arbitrary<string> {
  const encode = (value: unknown) => {
    try {
      return JSON.stringify(value) ?? '';
    } catch {
      return '';
    }
  };
  return fc.oneof(
    mutatedArb(sound).map(encode),
    mutatedTextArb(JSON.stringify(sound)),
  );
}

/** Decodes a value of the store, and checks the log lines that it leaves. */
function decodeStored(key: string, value: string): unknown {
  const lines: string[] = [];
  const log = createLogger('info', {}, line => lines.push(line));
  const at = {era: 0, revision: 1};
  const change = new CatalogDecoder(log).decode({key, value, at});
  expect(lines.length).toBeLessThan(2);
  for (const line of lines) expect(line.length).toBeLessThan(MAX_LOG_LINE);
  return change;
}

/** Calls each operation of a store that responds with `res`. */
async function callStore(res: HttpResponse): Promise<void> {
  const client = {call: async () => res} as unknown as HttpClient;
  const store = new PlatformStore(client);
  const after = {era: 0, revision: 1};
  const calls = [
    store.changes('', after, 10),
    store.swap('k', 1, 'v'),
    store.grant(1_000),
    store.renew('7'),
    store.revoke('7'),
  ];
  for (const call of await Promise.allSettled(calls)) {
    if (call.status === 'rejected') rejectUnexpected(call.reason, []);
  }
}

function rejectUnexpected(err: unknown, further: readonly string[]): void {
  const name = err instanceof Error ? err.name : typeof err;
  if (REJECTIONS.has(name) || further.includes(name)) return;
  throw new Error(`rejected by a ${name}`, {cause: err});
}

const textArb = (text: string) => mutatedTextArb(text);

const DECODERS: readonly Decoder[] = [
  {
    name: "callers' START",
    input: textArb('START claims red-key'),
    decode: (line: string) => parseStart(line),
  },
  {
    name: "callers' statements",
    input: fc.oneof(
      ...[
        'WRITE a b',
        'BEGIN READ',
        'SET a b',
        'PREPARE s WRITE q',
        'EXECUTE s a b',
        'COMMIT',
      ].map(textArb),
    ),
    decode: (text: string) => {
      const command = parseCommand('id', text);
      if (command.kind !== 'run') return;
      const {statement} = command;
      const sent = formatCommand({...command, preparedName: undefined});
      expect(sent).toBe(`QUERY id ${text}\r\n`);
      return statement;
    },
  },
  {
    name: "databases' READY and STATUS",
    input: fc.oneof(textArb('T 3.1209'), textArb('replica 3 3.1209 0 12 2 17')),
    decode: (text: string) => [parseReady(text), parseStateRow(text)],
  },
  {
    name: 'lines, cut anywhere',
    input: fc.array(textArb('ROW x\r\nDONE s\r\nREADY I 1.1\r\n')),
    decode: (parts: readonly string[]) => {
      const lines: string[] = [];
      const splitter = new LineSplitter();
      for (const part of parts) splitter.add(part, line => lines.push(line));
      const whole = parts.join('').split('\r\n').slice(0, -1);
      expect(lines).toEqual(whole);
    },
  },
  {
    name: 'the configuration',
    input: jsonArb(CONFIG),
    decode: (text: string) => decodeStored('op/config', text),
  },
  {
    name: 'announcements',
    input: jsonArb(ENTRY),
    decode: (text: string) => decodeStored('servers/odd', text),
  },
  {
    name: "the store's answers and watches",
    input: fc.record({
      status: fc.constantFrom(200, 404, 409, 410, 412, 429, 503),
      body: fc.oneof(...ANSWERS.map(answer => mutatedArb(answer)), oddValueArb),
      headers: fc.constantFrom({}, {'store-era': '1e400'}, {'store-era': '-1'}),
    }),
    decode: (res: HttpResponse) => callStore(res),
  },
  {
    name: 'members',
    input: jsonArb(MEMBER),
    decode: (text: string) => decodeMember(text),
  },
  {
    name: 'orders',
    input: jsonArb({
      databaseId: 'd',
      term: 1,
      wasReplica: true,
      token: 2,
      orderer: 'n',
    }),
    decode: (text: string) => decodeOrder(text),
  },
  {
    name: 'rights',
    input: jsonArb({id: 'n', host: 'h', port: 1}),
    decode: (text: string) => decodeHolder(text),
  },
  {
    name: 'frames of nodes',
    input: textArb(FRAME),
    decode: (text: string) => {
      const decoder = new FrameDecoder();
      for (const {value} of decoder.push(Buffer.from(text, 'latin1')))
        parseMessage(value);
    },
  },
  {
    name: 'messages of nodes',
    input: mutatedArb({kind: 'req', id: 1, method: 'm', body: 1}),
    decode: (value: unknown) => parseMessage(value),
    // Objects without a prototype, which no frame holds; it closes the connection.
    rejections: ['TypeError'],
  },
  {
    name: 'statements of nodes',
    input: mutatedArb(encodeRequest(REQUEST)),
    decode: (body: unknown) => decodeRequest(body),
    // The node that sent it gets an error as the reply.
    rejections: ['TypeError'],
  },
  {
    name: 'results of nodes',
    input: mutatedArb(RESULT),
    decode: (body: unknown) => decodeResult(body),
    // The forwarder takes an answer that can't be decoded for a lost home.
    rejections: ['TypeError'],
  },
  {
    name: 'relay requests',
    input: mutatedArb({after: 1, era: 0, known: 2, keys: ['k'], deflate: true}),
    decode: (body: unknown) => decodeRelayRequest(body),
  },
  {
    name: 'relay replies',
    input: mutatedArb({
      changes: [['k', 'v', 1]],
      held: [['h', 1]],
      asOf: 1,
      era: 0,
      ageMs: 1,
      interruptedMsAgo: null,
    }),
    decode: (body: unknown) => decodeRelayReply(body),
    // zlib's errors of a compressed value; the feed reads from another source.
    rejections: ['Error', 'RangeError'],
  },
  {
    name: 'store calls for other nodes',
    input: mutatedArb({op: 'swap', key: 'k', expected: 1, value: 'v'}),
    decode: (body: unknown) =>
      serveStoreCall(
        {
          list: async () => Promise.reject(new StoreError('notSent', 'x')),
          swap: async () => Promise.reject(new StoreError('notSent', 'x')),
          grant: async () => Promise.reject(new StoreError('notSent', 'x')),
          renew: async () => Promise.reject(new StoreError('notSent', 'x')),
        },
        body,
      ),
  },
  {
    name: 'replies to store calls',
    input: mutatedArb({kind: 'done', result: 1}),
    decode: (body: unknown) => decodeStoreCallReply(body),
  },
  {
    name: 'load reports',
    input: mutatedArb(['g', 'i', 3, [['d', 1, 2, 3]]]),
    decode: (body: unknown) => decodeReport(body),
  },
  {
    name: 'token requests',
    input: mutatedArb({team: 't', wanted: 3, atLeast: 1, returned: 0}),
    decode: (body: unknown) => decodeTokenRequest(body),
  },
  {
    name: 'settings',
    input: textArb(SETTINGS),
    decode: (text: string) => parseSettings(text, 'boot.conf'),
  },
];

describe('decoders', () => {
  const rows: string[] = [];
  afterAll(() => console.log(rows.join('\n')));

  it.each(DECODERS)(
    'take or reject odd $name, and nothing else happens',
    async ({name, input, decode, rejections = []}) => {
      let rejected = 0;
      const startedAt = performance.now();
      await fc.assert(
        fc.asyncProperty(input, async value => {
          const from = performance.now();
          try {
            await decode(value as never);
          } catch (err) {
            rejected += 1;
            rejectUnexpected(err, rejections);
          }
          expect(performance.now() - from).toBeLessThan(MAX_MS);
        }),
        {numRuns: RUNS, seed: SEED},
      );
      const perSecond = (RUNS / (performance.now() - startedAt)) * 1_000;
      rows.push(
        `| ${name} | ${RUNS} | ${Math.round(perSecond)} | ${rejected} |`,
      );
    },
  );
});
