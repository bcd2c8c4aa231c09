/**
 * `npm run bench -- path [options]`: compares reads through one node with reads
 * directly at a replica, by throughput and latency, and measures the node's
 * memory per idle caller.
 */
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

/** `maxConnections` leaves room for one connection per direct session and the node's pool. */
const PROFILE: Profile = {
  ...TASMAN,
  groups: [GROUP],
  maxConnections: 128,
  connectCostMs: 0,
};

/** Opens a client connection, either to the node or directly to a replica. */
type Connect = () => Promise<pg.Client>;

/** Runs the benchmark and prints its table. */
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
  // Measured before the load, whose garbage would distort the memory of idle callers.
  const idleMib = await measureIdleMemory(fleet, node, options.callers);
  const directLatency = await measureLatency(direct, options.statements);
  const nodeLatency = await measureLatency(node, options.statements);
  const directRate = await measureRate(direct, options);
  const nodeRate = await measureRate(node, options);
  const replicaPercent = await readReplicaPercent(fleet);
  const addedMs = (percentile: number) =>
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
          addedMs(50).toFixed(3),
          '',
          `< ${TARGET_ADDED_P50_MS}`,
        ],
        ['added p99 ms', '', addedMs(99).toFixed(3), '', ''],
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

/** Inserts the row that is read, then warms up with reads through the node. */
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

/** Measures the latencies of one session, in microseconds. */
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

/** Measures the statements per second of closed-loop sessions. */
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

/** Measures the growth of the node's resident memory per 1,000 idle callers, in MiB. */
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

/** Reads the percentage of reads served by replicas from the node's counters. */
async function readReplicaPercent(fleet: Fleet): Promise<number> {
  const [node] = fleet.nodes;
  if (node === undefined) return 0;
  const answer = await fleet.readNode<StatementsResponse>(node, 'statements');
  const reads = answer.slices.filter(({kind}) => kind === 'read');
  const done = reads.reduce((sum, slice) => sum + slice.done, 0);
  const served = reads.reduce((sum, slice) => sum + slice.atReplicas, 0);
  return done === 0 ? 0 : (served / done) * 100;
}

/** Reads the resident memory of a process from `/proc`. */
async function readResidentMib(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  if (match === null) throw new Error(`/proc/${pid}/status has no VmRSS line`);
  return Number(match[1]) / KIB_PER_MIB;
}

/** Returns a percentile in milliseconds. */
function toMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1_000;
}
