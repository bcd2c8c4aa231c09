import {beforeEach, expect, test, vi} from 'vitest';
import {runCli} from './cli-fixture.js';
import {useStubFleet, type AdminRoutes} from './stub-fleet.js';

const VM_COUNT = 7;

const fleet = useStubFleet();
/** The version in force on each VM. */
let configs: number[];

beforeEach(async () => {
  configs = Array.from({length: VM_COUNT}, () => 0);
  const routes = configs.map((_, i): readonly [string, AdminRoutes] => {
    const vm = `vm${i + 1}`;
    const answer = () => ({body: {vm, config: configs[i]}});
    return [vm, {'GET /versions': answer}];
  });
  await fleet.start(Object.fromEntries(routes));
});

const run = (...args: readonly string[]) => runCli(fleet.server.url, ...args);

const setLab = ['table', 'set', 'team', 'lab', 'rate=5', 'burst=5', '--wait'];

test('waits until the version is in force on every vm', async () => {
  const waiting = run(...setLab);
  await vi.waitFor(() => expect(fleet.server.calls.txn).toBe(1));
  configs.fill(1);
  const {code, out} = await waiting;
  expect(code).toBe(0);
  expect(out).toBe('accepted as version 1\nin force on 7 of 7');
});

test('names the vms that lag and exits with 3', async () => {
  configs.fill(1, 2);
  await fleet.admins[1]?.close();
  const {code, out, err} = await run(...setLab, '--timeout', '300ms');
  expect(code).toBe(3);
  expect(out.split('\n')).toEqual([
    'accepted as version 1',
    'in force on 5 of 7',
    'lagging: vm1 has version 0',
    expect.stringMatching(/^lagging: vm2 gave no answer at 127\.0\.0\.1:\d+$/),
  ]);
  expect(err).toContain('it stays accepted');
});

test('ignores the response of another vm at a listed address', async () => {
  configs.fill(1);
  const vms = fleet.admins.map(admin => admin.vm);
  fleet.server.setVms(
    vms.map(vm => (vm.id === 'vm7' ? {...vm, id: 'gone'} : vm)),
  );
  const {code, out} = await run(...setLab, '--timeout', '100ms');
  expect(code).toBe(3);
  expect(out).toContain('in force on 6 of 7');
});

test('does not report a version in force if no vm is listed', async () => {
  fleet.server.setVms([]);
  const {code, out} = await run(...setLab, '--timeout', '100ms');
  expect(code).toBe(3);
  expect(out).toContain('in force on 0 of 0');
});

test('lists the vms with their versions', async () => {
  await fleet.admins[1]?.close();
  fleet.server.setVms(fleet.admins.slice(0, 2).map(admin => admin.vm));
  const {out} = await run('vm', 'list');
  const [first, second] = out.split('\n');
  expect(first).toMatch(
    /^vm=vm1 dataCentre=hobart state=live admin=127\.0\.0\.1:\d+ config=0$/,
  );
  expect(second).toContain('config=unanswered');
});
