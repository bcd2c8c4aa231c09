import {afterEach, describe, expect, it} from 'vitest';
import {Platform} from './fixture.js';

const DATA_CENTRES = ['hobart', 'launceston', 'devonport'];
/** Index of a node and of the replica in the same data centre, not the home's. */
const AWAY = 1;

let platform: Platform;
afterEach(() => platform.stop());

/**
 * Opens a session at a node outside the home's data centre and waits until its
 * local replica serves reads. Local reads need a certificate first: a log
 * position that is proven to cover every commit up to a recent time.
 */
async function openAway(start: string, sharesLoad = false) {
  const options = {dataCentres: DATA_CENTRES, sharesLoad};
  platform = await Platform.start(3, options);
  const client = await platform.session(start, AWAY);
  const served = async () => (await client.query('READ a')).end;
  await expect.poll(served, {timeout: 5_000}).toMatch(/^DONE claims-1/);
  return {client, served};
}

describe('reads at a node in another data centre than the group home', () => {
  it('are served by the local replica', async () => {
    const {served} = await openAway('recent red-key');
    for (let n = 0; n < 20; n++) {
      expect(await served()).toMatch(/^DONE claims-1/);
    }
  });

  it('see what their session has written, however far the replica is behind', async () => {
    const {client, served} = await openAway('own red-key');
    platform.group.lagMs = 300;
    for (let n = 0; n < 5; n++) {
      expect((await client.query(`WRITE a v${n}`)).end).toMatch(
        /^DONE claims-0/,
      );
      const read = await client.query('READ a');
      expect(read.end).toMatch(/^DONE/);
      expect(read.rows).toEqual([`v${n}`]);
    }
    await expect.poll(served, {timeout: 5_000}).toMatch(/^DONE claims-1/);
  });

  it('go to the group home once the local replica has stopped', async () => {
    const {served} = await openAway('recent red-key');
    await platform.group.databases[AWAY]!.stop();
    for (let n = 0; n < 20; n++) expect(await served()).toMatch(/^DONE/);
  });

  it('of a read-only transaction succeed through to its commit', async () => {
    const {client} = await openAway('recent red-key');
    for (const text of ['BEGIN READ', 'READ a', 'READ b', 'COMMIT']) {
      expect((await client.query(text)).end, text).toMatch(/^DONE/);
    }
  });

  it('are passed on by a full replica by what the home has reported', async () => {
    await openAway('recent red-key', true);
    for (const {faults} of platform.group.databases) faults.serviceMs = 60;
    const clients = await Promise.all(
      Array.from({length: 16}, () => platform.session('recent red-key', AWAY)),
    );
    const logged = (text: string) =>
      platform.nodes.flatMap(({lines}) =>
        lines.filter(line => line.includes(text)),
      );
    // On a busy machine a read may miss its deadline, so waves are repeated.
    const runWave = async () => {
      const answers = clients.map(client => client.query('READ a'));
      const ends = (await Promise.all(answers)).map(({end}) => end);
      const hasReport = logged('readPassedOn').some(line =>
        line.includes('reportAgeMs='),
      );
      return hasReport && ends.every(end => end.startsWith('DONE'));
    };
    await expect.poll(runWave, {timeout: 10_000}).toBe(true);
    expect(logged('loadReportIgnored')).toEqual([]);
  });

  it('do not divert writes from the primary', async () => {
    const {client} = await openAway('recent red-key');
    expect((await client.query('WRITE a 1')).end).toMatch(/^DONE claims-0/);
  });
});
