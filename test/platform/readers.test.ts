import {afterEach, describe, expect, it} from 'vitest';
import {Platform} from './fixture.js';

const DATA_CENTRES = ['hobart', 'launceston', 'devonport'];
/** The node and the database at the same place in the list of data centres. */
const AWAY = 1;

let platform: Platform;
afterEach(() => platform.stop());

/** A session away from the home, once the reader there has a certificate. */
async function openAway(start: string) {
  platform = await Platform.start(3, {dataCentres: DATA_CENTRES});
  const client = await platform.session(start, AWAY);
  const served = async () => (await client.query('READ a')).end;
  await expect.poll(served, {timeout: 5_000}).toMatch(/^DONE claims-1/);
  return {client, served};
}

describe('reads away from the group home', () => {
  it('are served by the replica in the data centre of their caller', async () => {
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

  it('go to the group home once that replica is gone', async () => {
    const {served} = await openAway('recent red-key');
    await platform.group.databases[AWAY]!.stop();
    for (let n = 0; n < 20; n++) expect(await served()).toMatch(/^DONE/);
  });

  it('stay with the transaction that was opened there', async () => {
    const {client} = await openAway('recent red-key');
    for (const text of ['BEGIN READ', 'READ a', 'READ b', 'COMMIT']) {
      expect((await client.query(text)).end, text).toMatch(/^DONE/);
    }
  });

  it('and no write takes the way over the reader', async () => {
    const {client} = await openAway('recent red-key');
    expect((await client.query('WRITE a 1')).end).toMatch(/^DONE claims-0/);
  });
});
