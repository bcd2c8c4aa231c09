import {createServer, type AddressInfo, type Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {DatabaseConnector} from '../../platform/database-connector.js';

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
});
