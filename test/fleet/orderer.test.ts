import pg from 'pg';
import {describe, expect, test} from 'vitest';
import {longestGap} from '../../demo/run-metrics.js';
import {
  TARGET_PASSWORD,
  TARGET_USER,
  type Fleet,
  type FleetDatabase,
} from '../../demo/fleet.js';
import {WRITE_ONLY_LOAD} from '../../demo/session-load.js';
import type {DatabaseStatus} from '../../src/groups/types.js';
import {
  OTHER_TEAM,
  findGuaranteeViolations,
  findHome,
  sleep,
  startFleet,
  startLoad,
  waitForProgress,
  waitUntil,
} from './fixture.js';

const SEED = 49;
const STATEMENTS = 200;
/** The users' upper bound on the duration of a failover. */
const MAX_PROMOTION_MS = 12_000;
/** Long enough for another node to promote a replica before the freeze ends. */
const FREEZE_MS = 8_000;
/** Longer than any test; the test releases held orders explicitly. */
const HOLD_MS = 60_000;
const SETTLE_MS = 1_000;

/** Steps of a promotion at which its node is lost. */
const PROMOTION_STEPS = [
  ['before it fences', {order: 'fence', moment: 'before'}],
  ['between fence and promotion', {order: 'promote', moment: 'before'}],
  ['after the promotion', {order: 'promote', moment: 'after'}],
] as const;

type PromotionStep = (typeof PROMOTION_STEPS)[number][1];
type Fault = 'SIGKILL' | 'SIGSTOP';

/** True if a database commits a write sent to it directly, bypassing the nodes. */
async function acceptsDirectWrite({spec}: FleetDatabase): Promise<boolean> {
  const client = new pg.Client({
    host: spec.host,
    port: spec.port,
    user: TARGET_USER,
    password: TARGET_PASSWORD,
    database: 'app',
  });
  await client.connect();
  const sql = 'INSERT INTO entries (id, team, value) VALUES ($1, $2, $3)';
  const values = [`direct-${spec.id}`, 'direct', '1'];
  const done = await client.query(sql, values).then(
    () => true,
    () => false,
  );
  await client.end();
  return done;
}

/**
 * Holds promotion orders at a step, kills or freezes the primary and, once an
 * order is held, the node that gave it as well. Any node with an open home may be
 * the first to order.
 */
async function failPrimaryAndOrderer(
  fleet: Fleet,
  step: PromotionStep,
  fault: Fault,
) {
  const [primary, ...replicas] = fleet.databases as [
    FleetDatabase,
    ...FleetDatabase[],
  ];
  const hold = (ms: number) => {
    const body = {...step, orderer: '', ms};
    const order = (database: FleetDatabase) =>
      fleet.controlDatabase(database, 'hold', body);
    return Promise.all(replicas.map(order));
  };
  await hold(HOLD_MS);
  const lostAt = performance.now();
  primary.process.signal(fault);
  const orderer = await waitUntil(
    'an order is held',
    MAX_PROMOTION_MS,
    async () => {
      const held = await Promise.all(
        replicas.map(replica =>
          fleet.readDatabase<readonly {orderer: string}[]>(replica, 'held'),
        ),
      );
      const vm = held.flat()[0]?.orderer.split('/')[0];
      return fleet.nodes.find(node => node.vm === vm);
    },
  );
  orderer.process.signal(fault);
  // The orders of the other nodes must go through from now on.
  const body = {orderer: `${orderer.vm}/`};
  await Promise.all(
    replicas.map(replica => fleet.controlDatabase(replica, 'narrow', body)),
  );
  return {primary, replicas, orderer, lostAt, releaseOrders: () => hold(0)};
}

describe.each(PROMOTION_STEPS)(
  'the node that orders a promotion is lost %s',
  (title, step) => {
    test.each(['SIGKILL', 'SIGSTOP'] as const)('by %s', async fault => {
      const fleet = await startFleet();
      const home = await findHome(fleet, fleet.nodes[0]!);
      const nodes = fleet.nodes.filter(node => node !== home);
      const allNodesLoad = startLoad(fleet, SEED, {team: OTHER_TEAM});
      // Callers of a frozen node wait for it, so the gap is measured on the other nodes.
      const otherNodesLoad = startLoad(fleet, SEED, {
        mix: WRITE_ONLY_LOAD,
        nodes,
      });
      await waitForProgress(otherNodesLoad, STATEMENTS);

      const lost = await failPrimaryAndOrderer(fleet, step, fault);
      const {primary, replicas, orderer, lostAt} = lost;
      await waitForProgress(otherNodesLoad, STATEMENTS);
      // The held orders proceed only after another node's promotion.
      await lost.releaseOrders();
      if (fault === 'SIGSTOP') {
        await sleep(Math.max(0, lostAt + FREEZE_MS - performance.now()));
        orderer.process.signal('SIGCONT');
        primary.process.signal('SIGCONT');
        await waitForProgress(allNodesLoad, STATEMENTS);
      }
      const records = [await allNodesLoad.stop(), await otherNodesLoad.stop()];
      await sleep(SETTLE_MS);

      const writes = records[1]!.completions.filter(({at}) => at >= lostAt);
      const gapMs = longestGap([{at: lostAt}, ...writes]);
      console.log(`${fault} ${title}: gap of ${Math.round(gapMs)} ms`);
      expect.soft(gapMs).toBeLessThan(MAX_PROMOTION_MS);
      const alive = fault === 'SIGSTOP' ? [primary, ...replicas] : replicas;
      const statuses = await Promise.all(
        alive.map(replica =>
          fleet.readDatabase<DatabaseStatus>(replica, 'status'),
        ),
      );
      const primaries = statuses.filter(({role}) => role === 'primary');
      expect.soft(primaries).toHaveLength(1);
      const accepting = await Promise.all(alive.map(acceptsDirectWrite));
      expect.soft(accepting.filter(Boolean)).toHaveLength(1);
      for (const record of records) {
        expect.soft(await findGuaranteeViolations(fleet, record)).toEqual([]);
      }
    });
  },
);
