import {describe, expect, it} from 'vitest';
import {BatchRuns} from '../../src/home/batch-runs.js';
import {SystemClock} from '../../src/infra/clock.js';
import type {BatchOutcome, TargetConnection} from '../../src/targets/types.js';
import {expectFailure} from '../fakes/failures.js';

const END: BatchOutcome = {
  transaction: 'idle',
  position: undefined,
  failed: false,
};

function withResolvers<Value>() {
  let resolve!: (value: Value) => void;
  let reject!: (err: Error) => void;
  const promise = new Promise<Value>((done, fail) => {
    resolve = done;
    reject = fail;
  });
  return {promise, resolve, reject};
}

/** A connection whose batch and cancel request end when the test ends them. */
function createConnection() {
  const batch = withResolvers<BatchOutcome>();
  const cancelled = withResolvers<void>();
  const calls: string[] = [];
  const connection: TargetConnection = {
    get usable() {
      return !calls.includes('close');
    },
    transaction: 'idle',
    run: () => batch.promise,
    cancel: () => {
      calls.push('cancel');
      return cancelled.promise;
    },
    close: () => {
      calls.push('close');
      batch.reject(new Error('closed'));
    },
  };
  return {batch, cancelled, connection, calls};
}

function start(connection: TargetConnection, deadlineMs = 10_000) {
  const clock = new SystemClock();
  const runs = new BatchRuns(clock);
  let ended = false;
  const run = runs
    .run({
      sessionId: 's1',
      databaseId: 'db1',
      connection,
      frames: new Uint8Array(),
      observer: {onFrames: () => {}},
      deadlineAt: clock.now() + deadlineMs,
    })
    .finally(() => (ended = true));
  return {runs, run, hasEnded: () => ended};
}

describe('batch runs', () => {
  it('keep a connection until its cancel request has ended', async () => {
    const {batch, cancelled, connection} = createConnection();
    const {runs, run, hasEnded} = start(connection);
    runs.cancel('s1');
    batch.resolve(END);
    await new Promise(resolve => setImmediate(resolve));
    expect(hasEnded()).toBe(false);
    cancelled.resolve();
    expect(await run).toEqual(END);
  });

  it('cancel only the given session', async () => {
    const {batch, connection, calls} = createConnection();
    const {runs, run} = start(connection);
    runs.cancel('s2');
    batch.resolve(END);
    expect(await run).toEqual(END);
    expect(calls).toEqual([]);
  });

  it('cancel at the deadline, then close the connection', async () => {
    const {connection, calls} = createConnection();
    const {run} = start(connection, 1);
    await expectFailure(run, 'lost');
    expect(calls).toEqual(['cancel', 'close']);
  });

  it('report no answer that arrives after the deadline', async () => {
    const {batch, cancelled, connection, calls} = createConnection();
    const {run} = start(connection, 1);
    const outcome = expectFailure(run, 'lost');
    while (!calls.includes('cancel')) {
      await new Promise(resolve => setImmediate(resolve));
    }
    batch.resolve(END);
    cancelled.resolve();
    await outcome;
  });

  it('abandon the batches on a silent database', async () => {
    const {connection} = createConnection();
    const {runs, run} = start(connection);
    runs.abandon('db2');
    runs.abandon('db1');
    await expect(run).rejects.toThrow('closed');
  });
});
