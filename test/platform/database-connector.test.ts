import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {DatabaseConnector} from '../../platform/database-connector.js';
import {TargetError} from '../../src/targets/types.js';

describe('the connection to a database', () => {
  let server: Server | undefined;
  afterEach(() => server?.close());

  /** Connects to a server that sends `replies` in turn, one for each segment. */
  async function connectTo(replies: readonly string[], team = 'red') {
    const received: string[] = [];
    server = createServer(socket => {
      let n = 0;
      socket.setEncoding('latin1');
      socket.on('error', () => {});
      socket.on('data', chunk => {
        received.push(String(chunk));
        socket.write(replies[n++] ?? '', 'latin1');
      });
    });
    await new Promise<void>(done => server?.listen(0, '127.0.0.1', done));
    const {port} = server.address() as AddressInfo;
    const database = {id: 'd1', group: 'g', host: '127.0.0.1', port};
    const connecting = new DatabaseConnector().connect(database, team, 1_000);
    return {connecting, received};
  }

  const READ_A = {
    kind: 'run',
    statement: {requestId: 'r1', access: 'read', text: 'READ a'},
    preparedName: undefined,
    after: undefined,
  } as const;

  it('takes rows, signatures and errors with line feeds as they are', async () => {
    const {connecting} = await connectTo([
      'READY I 1.1\r\n',
      'ROW x\nDONE paid\nREADY I 1.1\r\nROW \n\r\nDONE s\nig\r\nREADY I 1.2\r\n',
      'ERROR FAILED two\nlines\r\nREADY I 1.2\r\n',
    ]);
    const connection = await connecting;
    expect(await connection.run([READ_A])).toMatchObject([
      {rows: ['x\nDONE paid\nREADY I 1.1', '\n'], signature: 's\nig'},
    ]);
    expect(await connection.run([READ_A])).toMatchObject([
      {kind: 'error', code: 'failed', detail: 'two\nlines'},
    ]);
    connection.close();
  });

  // Lines left over from before were taken for the answer of the next statement.
  it('closes instead of taking bytes that nothing asked for as an answer', async () => {
    for (const extra of ['DONE old\r\nREADY I 1.1\r\n', 'ERROR BU']) {
      const {connecting, received} = await connectTo([
        'READY I 1.1\r\n',
        `DONE new\r\nREADY I 1.1\r\n${extra}`,
        'DONE newer\r\nREADY I 1.1\r\n',
      ]);
      const connection = await connecting;
      await connection.run([READ_A]);
      const second = connection.run([READ_A]);
      await expect(second).rejects.toMatchObject({kind: 'notSent'});
      expect(connection.usable).toBe(false);
      expect(received).toHaveLength(2);
    }
  });

  it.each([
    ['a row after the end', 'DONE s\r\nROW x\r\nREADY I 1.1\r\n'],
    ['two ends', 'ERROR BUSY\r\nDONE s\r\nREADY I 1.1\r\n'],
    ['no end', 'READY I 1.1\r\n'],
  ])('fails on an answer with %s', async (_, answer) => {
    const {connecting} = await connectTo(['READY I 1.1\r\n', answer]);
    const connection = await connecting;
    const running = connection.run([READ_A]);
    await expect(running).rejects.toMatchObject({kind: 'lost'});
    expect(connection.usable).toBe(false);
  });

  // Written as one byte each, these two characters are CR and LF.
  it('sends the name of a team as UTF-8', async () => {
    const {connecting, received} = await connectTo(
      ['READY I 1.1\r\n'],
      '\u010d\u010aQUERY',
    );
    (await connecting).close();
    const sent = Buffer.from(received.join(''), 'latin1').toString('utf8');
    expect(sent).toBe('START g \u010d\u010aQUERY d1\r\n');
  });

  it('sends no START whose fields a database would read otherwise', async () => {
    for (const team of ['a b', 'a\r\nQUERY - WRITE x y', '']) {
      const {connecting, received} = await connectTo([], team);
      await expect(connecting).rejects.toThrow(TargetError);
      await expect(connecting).rejects.toThrow(/team/);
      expect(received).toEqual([]);
    }
  });
});
