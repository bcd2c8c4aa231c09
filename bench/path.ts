/** Measures what one node adds to a statement, beside the database itself. */
import {readFile} from 'node:fs/promises';
import {build, type Histogram} from 'hdr-histogram-js';
import pg from 'pg';
import yargs from 'yargs';
import {Fleet} from '../demo/fleet.js';
import {TASMAN, type Profile} from '../demo/profiles.js';
import type {StatementKind} from '../src/telemetry/statement-metrics.js';
import {formatTable} from './figures.js';

const GROUP = 'members';
const TEAM = 'assessors';
const UNLIMITED_RATE = 1_000_000;
const TARGET_STATEMENTS_PER_SECOND = 5_000;
const TARGET_ADDED_P50_MS = 1;
const WARM_UP_STATEMENTS = 500;
const CONNECT_BATCH_SIZE = 50;
const MAX_LATENCY_US = 60_000_000;
const READ = 'SELECT id, team, value FROM counters WHERE id = $1';
const INSERT = 'INSERT INTO counters (id, team, value) VALUES ($1, $2, $3)';
const ROW_ID = 'bench-row';
const KIB_PER_MIB = 1_024;

/** Direct sessions need a connection each, beside the node's own. */
const PROFILE: Profile = {
  ...TASMAN,
  groups: [GROUP],
  maxConnections: 128,
  connectCostMs: 0,
};

/** Opens a client to one of the two ends that are compared. */
type Connect = () => Promise<pg.Client>;

/** Runs the bench. */
export async function run(args: readonly string[]): Promise<void> {
  const options = await yargs([...args])
    .option('seconds', {type: 'number', default: 5})
    .option('sessions', {type: 'number', default: 32})
    .option('statements', {type: 'number', default: 3_000})
    .option('callers', {type: 'number', default: 1_000})
    .strict()
    .parse();
  const fleet = await Fleet.start({
    profile: PROFILE,
    nodes: 1,
    serviceMs: 0,
    staleMs: 60_000,
    teams: [{name: TEAM, rate: UNLIMITED_RATE, burst: UNLIMITED_RATE}],
  });
  try {
    await insertRow(createNodeConnect(fleet));
    await measureAll(fleet, options);
  } finally {
    await fleet.stop();
  }
}

interface BenchOptions {
  readonly seconds: number;
  readonly sessions: number;
  readonly statements: number;
  readonly callers: number;
}

async function measureAll(fleet: Fleet, options: BenchOptions): Promise<void> {
  const node = createNodeConnect(fleet);
  const direct = createReplicaConnect(fleet);
  // Before the load, whose garbage would hide what the callers take.
  const idleMib = await measureIdleMemory(fleet, node, options.callers);
  const directLatency = await measureLatency(direct, options.statements);
  const nodeLatency = await measureLatency(node, options.statements);
  const directRate = await measureRate(direct, options);
  const nodeRate = await measureRate(node, options);
  const replicaPercent = await readReplicaPercent(fleet);
  const added = (percentile: number) =>
    toMs(nodeLatency, percentile) - toMs(directLatency, percentile);
  console.log(
    formatTable(
      ['measure', 'direct', 'node', 'ratio', 'target'],
      [
        [
          `statements/s, ${options.sessions} sessions`,
          directRate.toFixed(0),
          nodeRate.toFixed(0),
          (nodeRate / directRate).toFixed(2),
          `${TARGET_STATEMENTS_PER_SECOND} at the node`,
        ],
        ...[50, 99].map(percentile => [
          `p${percentile} ms, one session`,
          toMs(directLatency, percentile).toFixed(3),
          toMs(nodeLatency, percentile).toFixed(3),
          (
            toMs(nodeLatency, percentile) / toMs(directLatency, percentile)
          ).toFixed(2),
          '',
        ]),
        [
          'added p50 ms',
          '',
          added(50).toFixed(3),
          '',
          `< ${TARGET_ADDED_P50_MS}`,
        ],
        ['added p99 ms', '', added(99).toFixed(3), '', ''],
        ['MiB per 1,000 idle callers', '', idleMib.toFixed(1), '', ''],
        ['reads at replicas, %', '100', replicaPercent.toFixed(1), '', ''],
      ],
    ),
  );
}

function createNodeConnect(fleet: Fleet): Connect {
  const [node] = fleet.nodes;
  return () =>
    connect(node?.port, {
      user: TEAM,
      password: fleet.keys.get(TEAM),
      database: GROUP,
    });
}

function createReplicaConnect(fleet: Fleet): Connect {
  const replica = fleet.databases[1];
  const valueOf = (flag: string) =>
    replica?.args
      .find(arg => arg.startsWith(`--${flag}=`))
      ?.slice(flag.length + 3);
  return () =>
    connect(replica?.spec.port, {
      user: valueOf('node-user'),
      password: valueOf('node-password'),
      database: 'app',
    });
}

async function connect(
  port: number | undefined,
  config: pg.ClientConfig,
): Promise<pg.Client> {
  const client = new pg.Client({host: '127.0.0.1', port, ...config});
  await client.connect();
  return client;
}

/** Writes the row that is read, and waits until the replicas show it. */
async function insertRow(open: Connect): Promise<void> {
  const client = await open();
  await client.query(INSERT, [ROW_ID, TEAM, '1']);
  for (let n = 0; n < WARM_UP_STATEMENTS; n++) await read(client);
  await client.end();
}

async function read(client: pg.Client): Promise<void> {
  const {rowCount} = await client.query(READ, [ROW_ID]);
  if (rowCount !== 1) throw new Error(`the read returned ${rowCount} rows`);
}

/** Latencies of one session, in microseconds. */
async function measureLatency(
  open: Connect,
  statements: number,
): Promise<Histogram> {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  const client = await open();
  for (let n = 0; n < WARM_UP_STATEMENTS; n++) await read(client);
  for (let n = 0; n < statements; n++) {
    const startedAt = performance.now();
    await read(client);
    const elapsedUs = (performance.now() - startedAt) * 1_000;
    histogram.recordValue(Math.max(1, Math.round(elapsedUs)));
  }
  await client.end();
  return histogram;
}

/** Statements a second of sessions that each wait for their answer. */
async function measureRate(
  open: Connect,
  {sessions, seconds}: BenchOptions,
): Promise<number> {
  const clients = await Promise.all(Array.from({length: sessions}, open));
  let done = 0;
  const startedAt = performance.now();
  const endsAt = startedAt + seconds * 1_000;
  await Promise.all(
    clients.map(async client => {
      while (performance.now() < endsAt) {
        await read(client);
        done++;
      }
    }),
  );
  const elapsedSeconds = (performance.now() - startedAt) / 1_000;
  await Promise.all(clients.map(client => client.end()));
  return done / elapsedSeconds;
}

/** Growth of the node's resident memory, for each 1,000 callers. */
async function measureIdleMemory(
  fleet: Fleet,
  open: Connect,
  callers: number,
): Promise<number> {
  const pid = fleet.nodes[0]?.process.pid ?? -1;
  const before = await readResidentMib(pid);
  const clients: pg.Client[] = [];
  while (clients.length < callers) {
    const count = Math.min(CONNECT_BATCH_SIZE, callers - clients.length);
    clients.push(...(await Promise.all(Array.from({length: count}, open))));
  }
  const after = await readResidentMib(pid);
  await Promise.all(clients.map(client => client.end()));
  return ((after - before) / callers) * 1_000;
}

interface StatementsResponse {
  readonly slices: readonly {
    readonly kind: StatementKind;
    readonly done: number;
    readonly atReplicas: number;
  }[];
}

/** Share of the node's reads that a replica served, by its own count. */
async function readReplicaPercent(fleet: Fleet): Promise<number> {
  const [node] = fleet.nodes;
  if (node === undefined) return 0;
  const answer = await fleet.readNode<StatementsResponse>(node, 'statements');
  const reads = answer.slices.filter(({kind}) => kind === 'read');
  const done = reads.reduce((sum, slice) => sum + slice.done, 0);
  const served = reads.reduce((sum, slice) => sum + slice.atReplicas, 0);
  return done === 0 ? 0 : (served / done) * 100;
}

/** The kernel's figure for a process of this bench. */
async function readResidentMib(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  if (match === null) throw new Error(`process ${pid} shows no VmRSS`);
  return Number(match[1]) / KIB_PER_MIB;
}

function toMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1_000;
}
