import {setTimeout} from 'node:timers/promises';
import {expect, test} from 'vitest';
import type {FleetNode} from '../../demo/fleet.js';
import {LoadRecord} from '../../demo/load-record.js';
import {SessionLoad, WRITE_ONLY_LOAD} from '../../demo/session-load.js';
import {createDatabase} from '../../standins/database/index.js';

const PACE_MS = 5;
const FREEZE_MS = 60_000;
/** Time for the session to send a statement to the frozen database. */
const SEND_WAIT_MS = 100;

test('counts a write whose connection closes before the response as unknown, even after another session records a refusal', async () => {
  const database = await createDatabase({primary: true});
  const record = new LoadRecord();
  let isOver = false;
  const running = new SessionLoad({
    id: 's1',
    team: 'zinnia',
    key: 'zinnia',
    group: 'app',
    nodes: [{port: database.port} as FleetNode],
    record,
    paceMs: PACE_MS,
    mix: WRITE_ONLY_LOAD,
    random: () => 0.5,
    isOver: () => isOver,
  }).run();
  const [counter] = record.counters;
  await expect.poll(() => counter?.acknowledged).toBeGreaterThan(0);
  await fetch(`http://127.0.0.1:${database.adminPort}/freeze`, {
    method: 'POST',
    body: JSON.stringify({ms: FREEZE_MS}),
  });
  await setTimeout(SEND_WAIT_MS);
  const outcome = 'notRun';
  const foreign = {at: 0, team: 'other', outcome, sqlstate: '57P03'} as const;
  record.failures.push({...foreign, message: 'refused'});
  await database.close();
  isOver = true;
  await running;
  expect(counter?.unknown).toBe(1);
});
