import {describe, expect, it} from 'vitest';
import {useHarness, type TestClient} from './harness.js';

const LAG_MS = 2_000;
const INSERT = 'INSERT INTO claims (id, team, value) VALUES ($1, $2, $3)';
const READ = 'SELECT value FROM claims WHERE id = $1';

describe('session parameters', () => {
  const harness = useHarness({databases: {lagMs: LAG_MS}});

  async function tokenOf(client: TestClient): Promise<string> {
    const {rows} = await client.query('SHOW zinnia.session');
    return (rows[0] as Record<string, string>)['zinnia.session'] ?? '';
  }

  it('reports the token after each write and returns it by SHOW', async () => {
    const client = await harness.connect();
    await client.query(INSERT, ['t1', 'red', 1]);
    const first = client.token;
    expect(first).toBeTruthy();
    expect(await tokenOf(client)).toBe(first);
    await client.query(INSERT, ['t2', 'red', 1]);
    expect(client.token).not.toBe(first);
  });

  it('reads its own writes after a move by either way', async () => {
    const second = await harness.addNode();
    const writer = await harness.connect();
    for (const n of [1, 2, 3]) {
      const id = `moved-${n}`;
      await writer.query(INSERT, [id, 'red', n]);
      const byOption = await harness.connect({
        node: second,
        options: `-c zinnia.session=${writer.token}`,
      });
      expect((await byOption.query(READ, [id])).rows).toHaveLength(1);
      const bySet = await harness.connect({node: second});
      await bySet.query(`SET zinnia.session = '${writer.token}'`);
      expect((await bySet.query(READ, [id])).rows).toHaveLength(1);
    }
  });

  it('reads its own writes without a token', async () => {
    const writer = await harness.connect();
    await writer.query(INSERT, ['no-token', 'red', 1]);
    const reader = await harness.connect();
    expect((await reader.query(READ, ['no-token'])).rows).toHaveLength(1);
  });

  it('merges a token into the token of the session', async () => {
    const [first, second] = [await harness.connect(), await harness.connect()];
    await first.query(INSERT, ['merge-1', 'red', 1]);
    await second.query(INSERT, ['merge-2', 'red', 1]);
    await second.query(`SET zinnia.session = '${first.token}'`);
    expect(await tokenOf(second)).toBe(second.token);
    await second.query('RESET zinnia.session');
    expect(await tokenOf(second)).not.toBe(second.token);
  });

  it('refuses a forged or truncated token with an error that names it', async () => {
    const client = await harness.connect();
    await client.query(INSERT, ['forged', 'red', 1]);
    const token = client.token ?? '';
    const altered = token.slice(0, -4) + 'AAAA';
    for (const forged of [altered, token.slice(0, 8), 'nonsense']) {
      await expect(
        client.query(`SET zinnia.session = '${forged}'`),
      ).rejects.toMatchObject({
        code: '22023',
        message: expect.stringMatching(/token/),
      });
      await expect(
        harness.connect({options: `-c zinnia.session=${forged}`}),
      ).rejects.toMatchObject({code: '22023', severity: 'FATAL'});
    }
    expect(await tokenOf(client)).toBe(token);
  });

  it.each([
    ["zinnia.deadline_ms = '0'", '22023', /whole milliseconds/],
    ["zinnia.deadline_ms = '1.5'", '22023', /whole milliseconds/],
    ["zinnia.deadline_ms = '600001'", '22023', /whole milliseconds/],
    ["zinnia.deadline_ms = 'soon'", '22023', /whole milliseconds/],
    ["zinnia.deadline_ms = ''", '22023', /whole milliseconds/],
    ["zinnia.priority = 'high'", '22023', /urgent, ordinary or default/],
    ["zinnia.colour = 'red'", '42704', /known are/],
  ])('refuses SET %s', async (assignment, code, message) => {
    const client = await harness.connect();
    await expect(client.query(`SET ${assignment}`)).rejects.toMatchObject({
      code,
      message: expect.stringMatching(message),
    });
    const [name = '', value = ''] = assignment.split(/ = '|'/);
    await expect(
      harness.connect({options: `-c ${name}=${value}`}),
    ).rejects.toMatchObject({code});
  });

  it('sets, shows and resets deadline and priority', async () => {
    const client = await harness.connect({
      options: '-c zinnia.deadline_ms=1234 -c zinnia.priority=urgent',
    });
    const show = async (name: string) =>
      Object.values((await client.query(`SHOW ${name}`)).rows[0] as object);
    expect(await show('zinnia.deadline_ms')).toEqual(['1234']);
    expect(await show('zinnia.priority')).toEqual(['urgent']);
    await client.query('RESET zinnia.deadline_ms');
    await client.query('SET zinnia.priority TO DEFAULT');
    expect(await show('zinnia.deadline_ms')).toEqual(['5000']);
    expect(await show('zinnia.priority')).toEqual(['default']);
  });

  it('cancels statements at their deadline, also at the databases', async () => {
    const client = await harness.connect();
    await client.query("SET zinnia.deadline_ms = '200'");
    for (let round = 0; round < 4; round++) {
      await expect(client.query('SELECT pg_sleep(20)')).rejects.toMatchObject({
        code: expect.stringMatching(/^08007$|^53300$/),
      });
    }
    await client.query('RESET zinnia.deadline_ms');
    expect((await client.query('SELECT 1')).rowCount).toBe(1);
  });
});
