import net, {type AddressInfo} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {serialize} from 'pg-protocol';
import {describe, expect, it} from 'vitest';
import {
  buildFrame,
  FrameReader,
  int16,
  int32,
  splitFrames,
} from '../../src/targets/frames.js';
import type {Position} from '../../src/session/position.js';
import {queryRows} from '../../src/targets/query-rows.js';
import type {AnswerObserver} from '../../src/targets/types.js';
import {expectFailure, expectSqlstate} from '../fakes/failures.js';
import {
  closeLater,
  connectTarget,
  countStatements,
  startDatabase,
  until,
} from '../standins/fixture.js';

const AUTHENTICATION_OK = buildFrame('R', int32(0));
const READY = buildFrame('Z', Buffer.from('I'));

function connect(port: number, password = 'zinnia') {
  return connectTarget(port, {password, maxFrameBytes: 4096});
}

async function connectToDatabase() {
  const database = await startDatabase();
  return {database, connection: await connect(database.port)};
}

/** Connects to a fake database that calls `answer` for each message. */
async function connectToFake(answer: (socket: net.Socket) => void) {
  const server = net.createServer(async socket => {
    socket.on('error', () => {});
    const reader = new FrameReader(socket);
    await reader.nextUntyped();
    socket.write(Buffer.concat([AUTHENTICATION_OK, READY]));
    while (await reader.next().catch(() => undefined)) answer(socket);
  });
  closeLater(() => new Promise(resolve => server.close(resolve)));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return await connect((server.address() as AddressInfo).port);
}

/** An extended-query batch that returns `last` rows. */
function seriesBatch(last: number): Buffer {
  return Buffer.concat([
    serialize.parse({text: 'SELECT generate_series(1,$1)'}),
    serialize.bind({values: [String(last)]}),
    serialize.describe({type: 'P'}),
    serialize.execute(),
    serialize.sync(),
  ]);
}

class AnswerRecorder implements AnswerObserver {
  readonly chunks: Uint8Array[] = [];
  startedAt: Position | undefined;

  onStart(position: Position | undefined): boolean {
    this.startedAt = position;
    return true;
  }

  onFrames(frames: Uint8Array): void {
    this.chunks.push(frames);
  }

  get types(): string {
    const frames = splitFrames(Buffer.concat(this.chunks));
    return [...frames].map(({type}) => type).join('');
  }
}

describe('target connection', () => {
  it('streams the answer of an extended batch and returns its outcome', async () => {
    const {connection} = await connectToDatabase();
    const batch = seriesBatch(3);
    const position = {term: 1, offset: 1};
    const recorder = new AnswerRecorder();
    expect(await connection.run(batch, recorder)).toEqual({
      transaction: 'idle',
      position,
      failed: false,
    });
    expect(recorder.startedAt).toEqual(position);
    expect(recorder.types).toBe('12TDDDC');
  });

  it('reports the position before an answer that is sent in parts', async () => {
    const {connection} = await connectToDatabase();
    const recorder = new AnswerRecorder();
    await connection.run(seriesBatch(20_000), recorder);
    expect(recorder.chunks.length).toBeGreaterThan(1);
    expect(recorder.startedAt).toEqual({term: 1, offset: 1});
  });

  it('returns failure and transaction status with the answer', async () => {
    const {connection} = await connectToDatabase();
    const run = (sql: string) =>
      connection.run(serialize.query(sql), new AnswerRecorder());
    expect((await run('BEGIN')).transaction).toBe('open');
    expect(await run('VACUUM')).toMatchObject({
      failed: true,
      transaction: 'failed',
    });
    expect((await run('ROLLBACK')).transaction).toBe('idle');
    expect(connection.usable).toBe(true);
  });

  it('fails to connect with a wrong password', async () => {
    const {database} = await connectToDatabase();
    await expect(connect(database.port, 'wrong')).rejects.toMatchObject({
      kind: 'refused',
      code: '28P01',
    });
  });

  it('reports an unreachable database as not sent', async () => {
    const {database} = await connectToDatabase();
    await database.close();
    await expectFailure(connect(database.port), 'notSent');
  });

  it('stops reading while the observer is busy', async () => {
    const rows = Buffer.concat(
      Array.from({length: 256}, () => buildFrame('D', Buffer.alloc(4000))),
    );
    const total = 64 * rows.length;
    let sent = 0;
    let received = 0;
    const connection = await connectToFake(socket => {
      const send = () => {
        while (sent < total && socket.write(rows)) sent += rows.length;
        if (sent >= total) socket.write(READY);
        else socket.once('drain', () => (sent += rows.length) && send());
      };
      send();
    });
    await connection.run(serialize.query('SELECT 1'), {
      onFrames: async frames => {
        // Without backpressure everything would be sent during these rounds.
        const rounds = received === 0 ? 5000 : 0;
        for (let round = 0; round < rounds; round++) await setImmediate();
        if (received === 0) expect(sent).toBeLessThan(total);
        received += frames.length;
      },
    });
    expect(received).toBe(total);
  });

  it('is not reused after its answer was abandoned at the start', async () => {
    const {connection} = await connectToDatabase();
    const recorder = new AnswerRecorder();
    const onFrames = recorder.onFrames.bind(recorder);
    const abandoned = connection.run(serialize.query('SELECT 1'), {
      onStart: () => false,
      onFrames,
    });
    await expectFailure(abandoned, 'lost');
    expect(recorder.chunks).toEqual([]);
    expect(connection.usable).toBe(false);
    await expectFailure(
      connection.run(serialize.query('SELECT 1'), recorder),
      'notSent',
    );
  });

  it('is not reused after its observer failed', async () => {
    const {connection} = await connectToDatabase();
    const failed = connection.run(serialize.query('SELECT 1'), {
      onFrames: () => {
        throw new Error('the caller left');
      },
    });
    await expect(failed).rejects.toThrow('the caller left');
    expect(connection.usable).toBe(false);
  });

  it('reports a batch as lost when the database closes during it', async () => {
    const {database, connection} = await connectToDatabase();
    const sleeping = connection.run(
      serialize.query('SELECT pg_sleep(20)'),
      new AnswerRecorder(),
    );
    const lost = expectFailure(sleeping, 'lost');
    await database.close();
    await lost;
    expect(connection.usable).toBe(false);
  });

  it('detects while idle that the database closed it', async () => {
    const {database, connection} = await connectToDatabase();
    await queryRows(connection, 'SELECT 1');
    await database.close();
    await until(() => !connection.usable);
    await expectFailure(queryRows(connection, 'SELECT 1'), 'notSent');
  });

  it('cancels the running batch and stays usable', async () => {
    const {database, connection} = await connectToDatabase();
    const sleeping = queryRows(connection, 'SELECT pg_sleep(20)');
    const stopped = expectSqlstate(sleeping, '57014');
    await until(async () => (await countStatements(database)) > 0);
    await connection.cancel();
    await stopped;
    expect(await queryRows(connection, 'SELECT current_user')).toEqual([
      {current_user: 'zinnia'},
    ]);
  });

  it('closes on a COPY or an oversized frame', async () => {
    for (const frame of [
      buildFrame('G', Buffer.alloc(1), int16(0)),
      buildFrame('D', Buffer.alloc(5000)),
    ]) {
      const connection = await connectToFake(socket => socket.write(frame));
      await expectFailure(queryRows(connection, 'SELECT 1'), 'lost');
      expect(connection.usable).toBe(false);
    }
  });

  it('closes on an unsolicited answer', async () => {
    let socket: net.Socket | undefined;
    const connection = await connectToFake(target => {
      socket = target;
      target.write(READY);
    });
    await queryRows(connection, 'SELECT 1');
    socket!.write(Buffer.concat([buildFrame('C', Buffer.from('X\0')), READY]));
    await until(() => !connection.usable);
  });
});
