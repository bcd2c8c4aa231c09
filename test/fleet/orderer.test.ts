import pg from 'pg';
import {describe, expect, test} from 'vitest';
import {longestGap} from '../../demo/run-metrics.js';
import {
  TARGET_PASSWORD,
  TARGET_USER,
  type Fleet,
  type FleetDatabase,
  type FleetNode,
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
/** The users' bound on one change of primary. */
const MAX_PROMOTION_MS = 12_000;
/** Long enough for another node to promote first. */
const FREEZE_MS = 8_000;
/** Longer than any test: orders are let go by hand. */
const HOLD_MS = 60_000;
const SETTLE_MS = 1_000;

/** Where the order stands when its node is lost. */
const PROMOTION_STEPS = [
  ['before it fences', {order: 'fence', moment: 'before'}],
  ['between fence and promotion', {order: 'promote', moment: 'before'}],
  ['after the promotion', {order: 'promote', moment: 'after'}],
] as const;

type PromotionStep = (typeof PROMOTION_STEPS)[number][1];
type Fault = 'SIGKILL' | 'SIGSTOP';

/** Whether a database commits a write that reaches it past the nodes. */
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

/** Loses the primary, and the node that orders the promotion at a step. */
async function failPrimaryAndOrderer(
  running: Fleet,
  orderer: FleetNode,
  step: PromotionStep,
  fault: Fault,
) {
  const [primary, ...replicas] = running.databases as [
    FleetDatabase,
    ...FleetDatabase[],
  ];
  const hold = (ms: number) => {
    const body = {...step, orderer: `${orderer.vm}/`, ms};
    const order = (one: FleetDatabase) =>
      running.controlDatabase(one, 'hold', body);
    return Promise.all(replicas.map(order));
  };
  await hold(HOLD_MS);
  const lostAt = performance.now();
  primary.process.signal(fault);
  await waitUntil('an order is held', MAX_PROMOTION_MS, async () => {
    const held = await Promise.all(
      replicas.map(one =>
        running.readDatabase<readonly unknown[]>(one, 'held'),
      ),
    );
    return held.flat().length > 0 ? true : undefined;
  }).catch(async (err: unknown) => {
    // Which node promoted instead, if one did, tells whose fault it was.
    const statuses = await Promise.all(
      replicas.map(one => running.readDatabase(one, 'status')),
    );
    throw new Error(`${orderer.vm}: ${JSON.stringify(statuses)}`, {cause: err});
  });
  orderer.process.signal(fault);
  return {primary, replicas, lostAt, letGo: () => hold(0)};
}

describe.each(PROMOTION_STEPS)(
  'the node that orders a promotion is lost %s',
  (title, step) => {
    test.each(['SIGKILL', 'SIGSTOP'] as const)('by %s', async fault => {
      const running = await startFleet();
      const home = await findHome(running, running.nodes[0]!);
      const nodes = running.nodes.filter(node => node !== home);
      const roaming = startLoad(running, SEED, {team: OTHER_TEAM});
      // A caller of a frozen node waits for it, so the gap is measured elsewhere.
      const elsewhere = startLoad(running, SEED, {mix: WRITE_ONLY_LOAD, nodes});
      await waitForProgress(elsewhere, STATEMENTS);

      const lost = await failPrimaryAndOrderer(running, home, step, fault);
      const {primary, replicas, lostAt} = lost;
      await waitForProgress(elsewhere, STATEMENTS);
      // What the lost node ordered arrives after another's promotion.
      await lost.letGo();
      if (fault === 'SIGSTOP') {
        await sleep(Math.max(0, lostAt + FREEZE_MS - performance.now()));
        home.process.signal('SIGCONT');
        primary.process.signal('SIGCONT');
        await waitForProgress(roaming, STATEMENTS);
      }
      const records = [await roaming.stop(), await elsewhere.stop()];
      await sleep(SETTLE_MS);

      const writes = records[1]!.completions.filter(({at}) => at >= lostAt);
      const gapMs = longestGap([{at: lostAt}, ...writes]);
      console.log(`${fault} ${title}: gap of ${Math.round(gapMs)} ms`);
      expect.soft(gapMs).toBeLessThan(MAX_PROMOTION_MS);
      const alive = fault === 'SIGSTOP' ? [primary, ...replicas] : replicas;
      const statuses = await Promise.all(
        alive.map(one => running.readDatabase<DatabaseStatus>(one, 'status')),
      );
      const leading = statuses.filter(({role}) => role === 'primary');
      expect.soft(leading).toHaveLength(1);
      const accepting = await Promise.all(alive.map(acceptsDirectWrite));
      expect.soft(accepting.filter(Boolean)).toHaveLength(1);
      for (const record of records) {
        expect.soft(await findGuaranteeViolations(running, record)).toEqual([]);
      }
    });
  },
);
