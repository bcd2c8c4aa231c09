/** Shared helpers of the tests that run a fleet of processes under load. */
import pg from 'pg';
import {onTestFinished} from 'vitest';
import {RunningLoad} from '../../bench/load.js';
import {checkGuarantees} from '../../demo/guarantee-checks.js';
import {
  Fleet,
  type FleetDatabase,
  type FleetNode,
  type FleetOptions,
} from '../../demo/fleet.js';
import type {Profile} from '../../demo/profiles.js';
import type {Failure, LoadRecord} from '../../demo/load-record.js';
import {MIXED_LOAD, type LoadMix} from '../../demo/session-load.js';
import {GROUPS_KEY, type GroupSpec} from '../../src/groups/types.js';
import {EtcdStore} from '../../src/infra/etcd-store.js';

/** The one database group of the test fleet. */
export const GROUP = 'claims';
/** Team that most tests act on: its load, sessions and keys. */
export const TEAM = 'assessors';
/** A second team, for load beside that of {@link TEAM}. */
export const OTHER_TEAM = 'letters';

const NODES = 3;
const SESSIONS = 9;
const PACE_MS = 20;
const POLL_INTERVAL_MS = 20;
const UNLIMITED_RATE = 100_000;
const PROGRESS_TIMEOUT_MS = 12_000;

/** Profile of the test fleet. */
export const PROFILE: Profile = {
  name: 'fleet-test',
  dataCentres: ['hobart', 'launceston', 'devonport'],
  groups: [GROUP],
  slots: 2,
  maxConnections: 16,
  connectCostMs: 12,
  teams: [TEAM, OTHER_TEAM].map(name => ({
    name,
    sessions: SESSIONS,
    rate: UNLIMITED_RATE,
    burst: UNLIMITED_RATE,
  })),
};

/**
 * Starts three nodes, one group and a store, without effective rate limits; stops
 * them when the test finishes.
 */
export async function startFleet(
  options: Partial<FleetOptions> = {},
): Promise<Fleet> {
  const fleet = await Fleet.start({
    profile: PROFILE,
    nodes: NODES,
    ...options,
  });
  onTestFinished(() => fleet.stop());
  return fleet;
}

/**
 * Starts sessions that write, read their own writes and change nodes, over all
 * nodes by default.
 */
export function startLoad(
  fleet: Fleet,
  seed: number,
  {
    team = TEAM,
    mix = MIXED_LOAD,
    nodes = fleet.nodes,
  }: {team?: string; mix?: LoadMix; nodes?: readonly FleetNode[]} = {},
): RunningLoad {
  return new RunningLoad({
    fleet,
    nodes,
    group: GROUP,
    team,
    sessions: [{mix, count: SESSIONS}],
    paceMs: PACE_MS,
    seed,
  });
}

/** Polls until `check` returns a value; throws after the timeout. */
export async function waitUntil<Value>(
  description: string,
  timeoutMs: number,
  check: () => Promise<Value | undefined> | Value | undefined,
): Promise<Value> {
  const deadlineAt = performance.now() + timeoutMs;
  while (performance.now() < deadlineAt) {
    const value = await check();
    if (value !== undefined) return value;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`not within ${timeoutMs} ms: ${description}`);
}

/** Waits until the load has completed `count` more statements. */
export async function waitForProgress(
  {record}: RunningLoad,
  count: number,
  timeoutMs = PROGRESS_TIMEOUT_MS,
): Promise<void> {
  const from = record.completions.length;
  await waitUntil(`${count} more statements`, timeoutMs, () =>
    record.completions.length >= from + count ? true : undefined,
  );
}

/** Checks the consistency guarantees; returns one line per violation. */
export async function findGuaranteeViolations(
  fleet: Fleet,
  record: LoadRecord,
): Promise<readonly string[]> {
  const checks = await checkGuarantees(fleet, record);
  return checks.flatMap(({guarantee, violations}) =>
    violations.map(violation => `${guarantee}: ${violation}`),
  );
}

/** Returns the requests whose connection closed before a response of the proxy. */
export function findInterruptedRequests(
  record: LoadRecord,
): readonly Failure[] {
  return record.failures.filter(({sqlstate}) => !isSqlstate(sqlstate));
}

/** Counts failures by SQLSTATE and message. */
export function countFailures(
  failures: readonly Failure[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const {sqlstate, message} of failures) {
    const key = `${sqlstate} ${message}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

/** True if a client's error code is an SQLSTATE rather than a socket error code. */
export function isSqlstate(code: string | undefined): boolean {
  // The socket error EPIPE has the form of an SQLSTATE.
  return /^[0-9A-Z]{5}$/.test(code ?? '') && code !== 'EPIPE';
}

/** An error as `pg` reports it. */
export interface ClientError {
  readonly code?: string;
  readonly detail?: string;
  readonly message: string;
}

/** Connects a `pg` client to a node with the team's key. */
export async function connect(
  fleet: Fleet,
  node: FleetNode,
  team: string = TEAM,
  onError: (err: ClientError) => void = () => {},
): Promise<pg.Client> {
  const client = new pg.Client({
    host: '127.0.0.1',
    port: node.port,
    user: team,
    password: fleet.keys.get(team),
    database: GROUP,
  });
  client.on('error', onError);
  await client.connect();
  return client;
}

/** Inserts a row into `entries`. */
export async function insert(
  client: pg.Client,
  id: string,
  team: string = TEAM,
): Promise<void> {
  const sql = 'INSERT INTO entries (id, team, value) VALUES ($1, $2, $3)';
  await client.query(sql, [id, team, '1']);
}

/** Reads the ids of all entries at the group's primary. */
export async function readEntryIds(fleet: Fleet): Promise<readonly string[]> {
  const primary = await fleet.findPrimary(GROUP);
  if (primary === undefined) throw new Error('the group has no primary');
  const rows = await fleet.readDatabase<readonly {readonly id: string}[]>(
    primary,
    'rows?table=entries',
  );
  return rows.map(({id}) => id);
}

/** Removes a database from the platform's group list; its process keeps running. */
export async function removeFromGroup(
  fleet: Fleet,
  database: FleetDatabase,
): Promise<void> {
  const store = new EtcdStore({url: fleet.storeUrl});
  const stored = await store.get(GROUPS_KEY);
  const groups = JSON.parse(stored?.value ?? '[]') as readonly GroupSpec[];
  const value = JSON.stringify(
    groups.map(({name, databases}) => ({
      name,
      databases: databases.filter(({id}) => id !== database.spec.id),
    })),
  );
  await store.compareAndSwap(GROUPS_KEY, stored?.revision ?? 0, value);
}

/** Returns the group's home according to the node `observer`. */
export async function findHome(
  fleet: Fleet,
  observer: FleetNode,
): Promise<FleetNode> {
  const {homes} = await fleet.readNode<{
    readonly homes: Readonly<Record<string, string | null>>;
  }>(observer, 'groups');
  const home = fleet.nodes.find(({vm}) => vm === homes[GROUP]);
  if (home === undefined) throw new Error('the group has no home');
  return home;
}

/** Reads the configuration version in force at a node. */
export async function readVersion(
  fleet: Fleet,
  node: FleetNode,
): Promise<number> {
  const {config} = await fleet.readNode<{readonly config: number}>(
    node,
    'versions',
  );
  return config;
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}
