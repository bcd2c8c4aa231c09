import {serialize} from 'pg-protocol';
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {Harness} from '../callers/harness.js';
import {keyOf} from '../callers/fakes.js';
import {SessionRecorder} from './recorder.js';

const INSERT = 'INSERT INTO claims (id, team, value) VALUES ($1, $2, $3)';
const DRAIN_MS = 5_000;

describe('whole sessions', () => {
  let harness: Harness;
  let recorder: SessionRecorder;

  beforeAll(async () => {
    harness = new Harness({});
    await harness.start();
  });
  afterEach(() => harness.reset());
  afterAll(() => harness.stop());

  async function logIn(params = {}): Promise<void> {
    recorder = await SessionRecorder.connect(harness);
    await recorder.logIn('red', 'claims', keyOf('red'), params);
  }

  it('start-up with a key', async () => {
    await logIn();
    recorder.send('Terminate', serialize.end());
    await recorder.receive();
    await expect(recorder.text).toMatchFileSnapshot('start-up.golden.txt');
  });

  it('simple queries', async () => {
    await logIn();
    await recorder.query(
      "INSERT INTO claims (id, team, value) VALUES ('simple', 'red', 1)",
    );
    await recorder.query(
      "SELECT id, team, value FROM claims WHERE id = 'simple'; SELECT 1",
    );
    await recorder.query('');
    await recorder.query('SELEC 1');
    await recorder.query('SET zinnia.priority = urgent');
    await recorder.query('SHOW zinnia.priority');
    await expect(recorder.text).toMatchFileSnapshot('simple-query.golden.txt');
  });

  it('extended queries', async () => {
    await logIn();
    await recorder.extendedQuery(INSERT, ['extended', 'red', '2']);
    await recorder.extendedQuery('SELECT id, value FROM claims WHERE id = $1', [
      'extended',
    ]);
    recorder.send(
      'Parse one: SELECT 1 / Describe one / Sync',
      serialize.parse({name: 'one', text: 'SELECT 1'}),
      serialize.describe({type: 'S', name: 'one'}),
      serialize.sync(),
    );
    await recorder.receive();
    recorder.send(
      'Bind one / Execute / Sync',
      serialize.bind({statement: 'one'}),
      serialize.execute(),
      serialize.sync(),
    );
    await recorder.receive();
    recorder.send(
      'Close one / Bind one / Sync',
      serialize.close({type: 'S', name: 'one'}),
      serialize.bind({statement: 'one'}),
      serialize.sync(),
    );
    await recorder.receive();
    await expect(recorder.text).toMatchFileSnapshot(
      'extended-query.golden.txt',
    );
  });

  it('a transaction with an error', async () => {
    await logIn();
    await recorder.query('BEGIN');
    await recorder.extendedQuery(INSERT, ['transaction', 'red', '1']);
    await recorder.extendedQuery(INSERT, ['transaction', 'red', '1']);
    await recorder.query('SELECT 1');
    await recorder.query('COMMIT');
    await recorder.query('BEGIN');
    await recorder.extendedQuery(INSERT, ['transaction', 'red', '2']);
    await recorder.query('COMMIT');
    await expect(recorder.text).toMatchFileSnapshot('transaction.golden.txt');
  });

  it('refusals', async () => {
    await logIn();
    harness.admission.refuseWithRetryMs = 120;
    await recorder.query('SELECT 1');
    harness.admission.refuseWithRetryMs = undefined;
    await recorder.query('COPY claims FROM STDIN');
    await recorder.query('BEGIN');
    await recorder.query('LISTEN claims');
    await recorder.query('SELECT 1');
    await recorder.query('COMMIT');
    await expect(recorder.text).toMatchFileSnapshot('refusals.golden.txt');
  });

  it('refusals at start-up', async () => {
    const route = await SessionRecorder.connect(harness);
    route.send(
      'StartupMessage user=red database=nowhere',
      serialize.startup({user: 'red', database: 'nowhere'}),
    );
    await route.receive();
    const key = await SessionRecorder.connect(harness);
    await key.logIn('red', 'claims', 'wrong');
    await expect(`${route.text}\n${key.text}`).toMatchFileSnapshot(
      'start-up-refusals.golden.txt',
    );
  });

  it('session token passed to another session', async () => {
    const writer = await harness.connect();
    await writer.query(INSERT, ['handed-over', 'red', '3']);
    await logIn({options: `-c zinnia.session=${writer.token}`});
    await recorder.query("SELECT value FROM claims WHERE id = 'handed-over'");
    await recorder.query("SET zinnia.session = 'forged'");
    await expect(recorder.text).toMatchFileSnapshot('token.golden.txt');
  });

  it('shutdown', async () => {
    const leaving = new Harness({});
    await leaving.start();
    recorder = await SessionRecorder.connect(leaving);
    await recorder.logIn('red', 'claims', keyOf('red'));
    await recorder.query('BEGIN');
    const drained = leaving.node.server.drain(DRAIN_MS);
    await recorder.query('SELECT 1');
    await recorder.query('COMMIT');
    await recorder.receive();
    expect(await drained).toBe(0);
    await leaving.stop();
    await expect(recorder.text).toMatchFileSnapshot('shutdown.golden.txt');
  });
});
