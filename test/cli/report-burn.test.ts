import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, test} from 'vitest';
import {reportBurn} from '../../src/cli/report-burn.js';
import {EtcdStore} from '../../src/infra/etcd-store.js';
import type {BurnReport} from '../../src/telemetry/burn-report.js';
import {ManualClock} from '../admission/manual-clock.js';
import {
  createReport,
  createSlice,
  NOW,
  OBJECTIVE,
  VMS,
  WINDOWS,
} from '../telemetry/fixture.js';
import {createStoreServer} from '../../standins/store/server.js';
import {runCli} from './cli-fixture.js';
import {useStubFleet, type AdminRoutes} from './stub-fleet.js';

const fleet = useStubFleet();

/** A slice of one minute ago by the system clock, with refusals. */
function recentSlices(errors: number) {
  const startedAt = Math.floor((Date.now() - 60_000) / 10_000) * 10_000;
  return [createSlice(0, [10, 20], {startedAt, refused: {noPrimary: errors}})];
}

const startFleet = (slices: Readonly<Record<string, unknown>>) =>
  fleet.start(
    Object.fromEntries(
      Object.entries(slices).map(([vm, body]) => [
        vm,
        {
          'GET /statements': () =>
            body === undefined ? 'hangUp' : {body: {vm, slices: body}},
        } satisfies AdminRoutes,
      ]),
    ),
  );

const run = (...args: readonly string[]) =>
  runCli(fleet.server.url, 'report', 'burn', ...args);

describe('zinnia report burn', () => {
  test('computes the report from the counts of the listed vms', async () => {
    await startFleet(Object.fromEntries(VMS.map(v => [v.vm, v.slices])));
    const store = new EtcdStore({url: fleet.server.url});
    const clock = new ManualClock(NOW);
    const options = {windows: WINDOWS, objective: OBJECTIVE};
    const report = await reportBurn({store, clock}, options);
    expect(report).toEqual(createReport());
  });

  test('prints a table and names the vms that did not answer', async () => {
    await startFleet({vm1: recentSlices(0), vm2: undefined});
    const {code, out, err} = await run();
    expect(code).toBe(0);
    expect(out).toContain('from 1 of 2 VMs; no answer, so missing here: vm2');
    expect(out).toMatch(/^assessors {2}claims {2}read /m);
    expect(err).toBe('no answer from vm2');
  });

  test.each([
    ['a malformed list of slices', [{team: 'x'}]],
    ['negative counts', [createSlice(0, [1], {done: -1})]],
  ])('treats a response with %s as no answer', async (_, slices) => {
    await startFleet({vm1: slices});
    expect((await run()).err).toBe('no answer from vm1');
  });

  test('ignores the response of another vm at a listed address', async () => {
    await startFleet({vm1: recentSlices(0)});
    fleet.server.setVms(fleet.admins.map(({vm}) => ({...vm, id: 'gone'})));
    expect((await run()).err).toBe('no answer from gone');
  });

  test('writes json', async () => {
    await startFleet({vm1: recentSlices(1)});
    const {code, out} = await run('--format', 'json', '--window', '5m');
    const report = JSON.parse(out) as BurnReport;
    expect(code).toBe(0);
    expect(report.rows).toHaveLength(1);
    expect(report.rows[0]).toMatchObject({done: 2, wrongful: 1});
    expect(report.windows).toEqual([{label: '5m', ms: 300_000}]);
  });

  test('writes html to a file', async () => {
    await startFleet({vm1: recentSlices(1)});
    const dir = await mkdtemp(join(tmpdir(), 'burn-'));
    try {
      const path = join(dir, 'burn.html');
      const {code, out} = await run('--format', 'html', '--output', path);
      expect({code, out}).toEqual({code: 0, out: ''});
      expect(await readFile(path, 'utf8')).toMatch(/^<!doctype html>[^]*<svg /);
    } finally {
      await rm(dir, {recursive: true});
    }
  });

  test('exits with 1 if a burn rate is above the limit', async () => {
    await startFleet({vm1: recentSlices(1)});
    const failed = await run('--fail-above', '10');
    expect(failed.code).toBe(1);
    expect(failed.err).toBe(
      'error: burn rate 333.33 is above 10; the report names the rows',
    );
    expect((await run('--fail-above', '400')).code).toBe(0);
  });

  test('exits with 1 if no vm answers and a limit is given', async () => {
    await startFleet({vm1: undefined});
    const {code, err} = await run('--fail-above', '10');
    expect(code).toBe(1);
    expect(err).toContain('no VM answered, so no burn rate is known');
    expect((await run()).code).toBe(0);
  });

  test('exits with 4 if the store is unreachable', async () => {
    const {url} = fleet.server;
    await fleet.server.close();
    const {code, err} = await runCli(url, 'report', 'burn');
    expect(code).toBe(4);
    expect(err).toMatch(/^error: /);
    fleet.server = await createStoreServer({vms: []});
  });

  test.each([
    ['--window', '2h', 'window 2h'],
    ['--window', '5', '5 is no window'],
    ['--window', '1s', 'window 1s'],
    ['--objective-availability', '100', 'below 100'],
    ['--objective-latency-ms', '0', 'above 0'],
    ['--fail-above', 'x', 'takes a burn rate'],
  ])('rejects %s %s', async (flag, value, message) => {
    const {code, err} = await run(flag, value);
    expect(code).toBe(1);
    expect(err).toContain(message);
  });
});
