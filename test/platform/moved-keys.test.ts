import {afterEach, describe, expect, it} from 'vitest';
import {Platform, sleep, waitUntil} from './fixture.js';

const RED = {keys: ['red-key']};
/** The key of the team `red` belongs to the team `blue`. */
const MOVED = {keys: [], blueKeys: ['blue-key', 'red-key']};

let platform: Platform;
let version = 1;
afterEach(() => {
  version = 1;
  return platform.stop();
});

/** Puts a configuration in force on all nodes. */
async function configure(changes: typeof RED | typeof MOVED): Promise<void> {
  version += 1;
  platform.configure({version, ...changes});
  await waitUntil(() =>
    platform.nodes.every(({node}) => node.gauges.catalogVersion() === version),
  );
}

/** Starts two nodes and opens a session at each; one of them forwards. */
async function start() {
  platform = await Platform.start(2);
  const at = [0, 1].map(n => platform.session('now red-key', n));
  return Promise.all(at);
}

function teamsOf(text: RegExp): readonly string[] {
  return platform.group.primary.runs
    .filter(run => text.test(run.text))
    .map(({team}) => team);
}

describe('a key that moves to another team', () => {
  // Later statements and the COMMIT ran on the connection of the former team.
  it.each([
    ['statement', 'WRITE a 2', 'E'],
    ['prepared statement', 'EXECUTE s a 2', 'E'],
    ['COMMIT', 'COMMIT', 'I'],
  ])(
    'ends its open transaction at the next %s, and nothing of it is kept',
    async (_, text, state) => {
      const clients = await start();
      for (const client of clients) {
        await client.query('PREPARE s WRITE shape');
        await client.query('BEGIN');
        expect((await client.query('WRITE a 1')).state).toBe('T');
      }
      await configure(MOVED);
      for (const client of clients) {
        const refused = await client.query(text);
        expect(refused.end).toMatch(/^ERROR ABORTED retry_after_ms=0 /);
        expect(refused.state).toBe(state);
        if (state === 'E') {
          expect((await client.query('ROLLBACK')).end).toBe('DONE -');
        }
        expect((await client.query('WRITE b 3')).end).toMatch(/^DONE/);
      }
      expect(teamsOf(/a 2|COMMIT/)).toEqual([]);
      expect(teamsOf(/b 3/)).toEqual(['blue', 'blue']);
      expect(platform.group.primary.latestValueOf('a')).toBe('');
    },
  );

  it('leaves a transaction without statements, which begins as the new team', async () => {
    const clients = await start();
    for (const client of clients) await client.query('BEGIN');
    await configure(MOVED);
    for (const client of clients) {
      expect((await client.query('WRITE a 1')).state).toBe('T');
      expect((await client.query('COMMIT')).end).toMatch(/^DONE/);
    }
    expect(teamsOf(/a 1|COMMIT/)).toEqual(['blue', 'blue', 'blue', 'blue']);
  });

  it('and comes back does not revive a transaction that it ended', async () => {
    const clients = await start();
    const [ended, untouched] = clients;
    for (const client of clients) {
      await client.query('BEGIN');
      await client.query('WRITE a 1');
    }
    await configure(MOVED);
    expect((await ended!.query('WRITE a 2')).end).toMatch(/^ERROR ABORTED/);
    await configure(RED);
    expect((await ended!.query('COMMIT')).end).toMatch(/^ERROR ABORTED/);
    expect((await untouched!.query('COMMIT')).end).toMatch(/^DONE/);
    expect(new Set(teamsOf(/./))).toEqual(new Set(['red']));
  });

  it('during a COMMIT leaves its outcome, and returns the connection to its team', async () => {
    const clients = await start();
    for (const [n, client] of clients.entries()) {
      await client.query('BEGIN');
      await client.query(`WRITE a${n} 1`);
    }
    const {primary} = platform.group;
    primary.faults.serviceMs = 600;
    const commits = clients.map(client => client.query('COMMIT'));
    await sleep(50);
    platform.configure({version: ++version, ...MOVED});
    await sleep(50);
    primary.faults.serviceMs = 0;
    for (const commit of commits) {
      const {end} = await commit;
      const isCommitted = end.startsWith('DONE');
      expect(isCommitted || end.startsWith('ERROR UNKNOWN'), end).toBe(true);
    }
    await waitUntil(() =>
      platform.nodes.every(
        ({node}) => node.gauges.catalogVersion() === version,
      ),
    );
    for (const client of clients)
      expect((await client.query('WRITE c 1')).end).toMatch(/^DONE/);
    expect(teamsOf(/c 1/)).toEqual(['blue', 'blue']);
    const teamOf = new Map<number, string>();
    for (const {connection, team} of primary.runs) {
      expect(teamOf.get(connection) ?? team).toBe(team);
      teamOf.set(connection, team);
    }
  });
});
