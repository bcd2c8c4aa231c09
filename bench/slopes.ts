/**
 * `npm run bench -- slopes`: measures control traffic, CPU time and memory of a
 * node by fleet size, with all nodes in this process under virtual time.
 */
import {ConfigDocument} from '../src/rollout/config-document.js';
import {decodeDocument, encodeDocument} from '../src/rollout/config-codec.js';
import {createTable} from '../src/rollout/table.js';
import {Fleet} from '../test/membership/fleet.js';
import {formatNumber, formatTable} from './figures.js';

const FLEET_SIZES: readonly number[] = [7, 50, 200, 1_000];
const SETTLE_MS = 8_000;
const MEASUREMENT_MS = 5_000;
const CONFIG_KEY = 'zinnia/config';
const CONFIG_LENGTH = 20_000;
const EDIT_TIMEOUT_MS = 20_000;
const MEBIBYTE = 2 ** 20;
const TEAMS = 2_000;
const GROUPS = 1_300;
const CODEC_RUNS = 20;

/** Runs the benchmark and prints its tables. */
export async function run(): Promise<void> {
  const rows: string[][] = [];
  for (const size of FLEET_SIZES) rows.push(await measureFleet(size));
  const header = [
    'nodes',
    'B/s mean',
    'B/s busiest (budget 5,000)',
    'CPU ms per node-second (budget 25)',
    'heap KiB per node',
    'edit held by all ms (target 4,000)',
  ];
  console.log('\ncontrol of one node: membership, dissemination, standing');
  console.log(formatTable(header, rows));
  measureConfigDocument();
}

/** Measures a fleet of one size; returns its table row. */
async function measureFleet(size: number): Promise<string[]> {
  const heapBefore = process.memoryUsage().heapUsed;
  const fleet = new Fleet({size});
  fleet.startAll();
  await fleet.clock.advance(SETTLE_MS);
  fleet.net.drainTraffic();
  const cpuBefore = process.cpuUsage();
  await fleet.clock.advance(MEASUREMENT_MS);
  const {user, system} = process.cpuUsage(cpuBefore);
  const heap = process.memoryUsage().heapUsed - heapBefore;
  const bytes = [...fleet.net.drainTraffic().values()].map(
    ({sentBytes, receivedBytes}) =>
      ((sentBytes + receivedBytes) * 1_000) / MEASUREMENT_MS,
  );
  const heldMs = await measureEditPropagation(fleet, size);
  await fleet.stop();
  const mean = bytes.reduce((sum, one) => sum + one, 0) / size;
  const cpuMs = (user + system) / 1_000 / size / (MEASUREMENT_MS / 1_000);
  return [
    String(size),
    formatNumber(mean),
    formatNumber(Math.max(...bytes)),
    formatNumber(cpuMs, 2),
    formatNumber(heap / 1_024 / size),
    formatNumber(heldMs),
  ];
}

/** Returns the virtual time until every node holds a configuration edit. */
async function measureEditPropagation(
  fleet: Fleet,
  size: number,
): Promise<number> {
  // Nodes that hold the edit.
  let held = 0;
  const startMs = fleet.clock.now();
  for (const {documents} of fleet.nodes.values()) {
    documents.onChange(() => held++);
  }
  fleet.store.put(CONFIG_KEY, 'x'.repeat(CONFIG_LENGTH));
  await fleet.clock.advanceUntil(() => held === size, EDIT_TIMEOUT_MS);
  return fleet.clock.now() - startMs;
}

/** Prints the size and decoding time of a configuration of the maximum expected size. */
function measureConfigDocument(): void {
  const teams = Array.from({length: TEAMS}, (_, i) => ({
    cells: {kind: 'team', name: `team-${i}`, rate: 100, burst: 50},
  }));
  const groups = Array.from({length: GROUPS}, (_, i) => ({
    cells: {
      kind: 'group',
      name: `group-${i}`,
      oldWeight: 50,
      newWeight: 50,
      staleMs: 1_000,
    },
  }));
  const table = createTable([...groups, ...teams]);
  const rows = [...table.groups.values(), ...table.teams.values()];
  const document = ConfigDocument.EMPTY.withRows(
    rows.map(row => ({kind: 'put', row}) as const),
  );
  const text = encodeDocument(document);
  const startedAt = performance.now();
  for (let i = 0; i < CODEC_RUNS; i++) decodeDocument(text);
  const decodeMs = (performance.now() - startedAt) / CODEC_RUNS;
  console.log(
    `\nconfiguration of ${GROUPS} groups and ${TEAMS} teams: ${formatNumber(text.length / 1_024)} KiB (limit 1 MB), decoded in ${formatNumber(decodeMs, 1)} ms; resident memory here ${formatNumber(process.memoryUsage().rss / MEBIBYTE)} MiB`,
  );
}
