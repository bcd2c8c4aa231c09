/** Stand-in for one database that speaks the line protocol. */
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';

/** A commit in the log, numbered from 1. */
export interface Commit {
  readonly term: number;
  readonly number: number;
  readonly writes: readonly (readonly [item: string, data: string])[];
}

/** Record of an executed statement. */
export interface StatementRun {
  readonly id: string;
  readonly text: string;
  readonly team: string;
  /** Number of the open transaction on its connection; 0 if none. */
  readonly transaction: number;
  readonly connection: number;
  /** Session variables of its connection as `name=value` pairs. */
  readonly values: string;
  /** When it ran, in Unix milliseconds. */
  readonly at: number;
}

/** Settings of a database. */
export interface LineDatabaseOptions {
  readonly id: string;
  readonly group: string;
  readonly maxConnections: number;
  /** Called after each commit, to replicate it. */
  readonly onCommit: (commit: Commit, from: LineDatabase) => void;
}

/** Faults that tests inject. */
export interface DatabaseFaults {
  /** The database answers nothing, not even new connections. */
  unresponsive: boolean;
  /** Statements run, but their answers are dropped. */
  loseAnswers: boolean;
  /** Service time of each read, write and commit. */
  serviceMs: number;
}

interface Connection {
  readonly number: number;
  readonly socket: Socket;
  team: string;
  /** Idle, in a transaction, or in a failed transaction. */
  state: 'I' | 'T' | 'E';
  /** Number of the open transaction; 0 if none. */
  transaction: number;
  /** True in a transaction that was begun for writing, on a primary. */
  isReadWrite: boolean;
  writes: [string, string][];
  readonly values: Map<string, string>;
  readonly prepared: Map<string, string>;
}

/** Statements that take `serviceMs`; all others are answered at once. */
const TIMED_STATEMENT = /^(READ|WRITE|COMMIT|EXECUTE)\b/;

/** One database of a group, with its own listener. */
export class LineDatabase {
  readonly id: string;
  readonly faults: DatabaseFaults = {
    unresponsive: false,
    loseAnswers: false,
    serviceMs: 0,
  };
  readonly runs: StatementRun[] = [];
  readonly commits: Commit[] = [];
  /** When each line arrived, of any kind, in Unix milliseconds. */
  readonly requests: {readonly at: number; readonly line: string}[] = [];
  isStopped = false;
  term = 1;
  #isPrimary = false;
  readonly #options: LineDatabaseOptions;
  readonly #server: Server;
  readonly #connections = new Set<Connection>();
  #openedConnections = 0;
  #transactions = 0;

  constructor(options: LineDatabaseOptions) {
    this.#options = options;
    this.id = options.id;
    this.#server = createServer({noDelay: true}, socket =>
      this.#accept(socket),
    );
  }

  get isPrimary(): boolean {
    return this.#isPrimary;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#connections.size;
  }

  /** Number of connections opened since the start. */
  get openedConnections(): number {
    return this.#openedConnections;
  }

  /** Returns the latest committed value of an item; empty if there is none. */
  latestValueOf(item: string): string {
    for (const {writes} of this.commits.toReversed()) {
      const lastWrite = writes.findLast(([name]) => name === item);
      if (lastWrite !== undefined) return lastWrite[1];
    }
    return '';
  }

  listen(): Promise<void> {
    return new Promise(resolve => this.#server.listen(0, '127.0.0.1', resolve));
  }

  becomePrimary(term: number): void {
    this.#isPrimary = true;
    this.term = term;
  }

  becomeReplica(): void {
    this.#isPrimary = false;
  }

  apply(commit: Commit): void {
    if (this.#isPrimary || this.commits.length !== commit.number - 1) return;
    this.commits.push(commit);
    this.term = commit.term;
  }

  /** Removes the commits that the promoted database does not have. */
  truncateTo(primary: LineDatabase): void {
    this.commits.splice(primary.commits.length);
    this.term = primary.term;
  }

  /** Closes all connections and stops, as killing a process does. */
  async stop(): Promise<void> {
    this.isStopped = true;
    this.#isPrimary = false;
    for (const {socket} of this.#connections) socket.destroy();
    await new Promise(resolve => this.#server.close(resolve));
  }

  /** Position of the last commit; of an older term until the first commit. */
  get #position(): string {
    const term = this.commits.at(-1)?.term ?? 1;
    return `${term}.${this.commits.length}`;
  }

  #accept(socket: Socket): void {
    socket.setEncoding('latin1');
    socket.on('error', () => socket.destroy());
    const connection: Connection = {
      number: ++this.#openedConnections,
      socket,
      team: '',
      state: 'I',
      transaction: 0,
      isReadWrite: false,
      writes: [],
      values: new Map(),
      prepared: new Map(),
    };
    this.#connections.add(connection);
    socket.on('close', () => this.#connections.delete(connection));
    let rest = '';
    let lastStatement = Promise.resolve();
    socket.on('data', (chunk: string | Buffer) => {
      const lines = (rest + String(chunk)).split('\r\n');
      rest = lines.pop() ?? '';
      for (const line of lines) {
        lastStatement = lastStatement.then(() => this.#serve(connection, line));
      }
    });
  }

  async #serve(connection: Connection, line: string): Promise<void> {
    this.requests.push({at: Date.now(), line});
    if (this.faults.unresponsive) return;
    const [word, ...fields] = line.split(' ');
    if (word === 'START') return this.#start(connection, fields);
    if (word !== 'QUERY') {
      connection.socket.destroy();
      return;
    }
    const [id = '', ...words] = fields;
    const text = words.join(' ');
    if (
      TIMED_STATEMENT.test(text.replace(/^AFTER \S+ /, '')) &&
      this.faults.serviceMs > 0
    ) {
      await new Promise(resolve => setTimeout(resolve, this.faults.serviceMs));
    }
    const answer = this.#run(connection, id, text);
    if (this.faults.unresponsive || this.faults.loseAnswers) return;
    connection.socket.write(
      `${answer}\r\nREADY ${connection.state} ${this.#position}\r\n`,
      'latin1',
    );
  }

  #start(connection: Connection, [group, team = '', id]: string[]): void {
    const {socket} = connection;
    if (group !== this.#options.group || (id !== undefined && id !== this.id)) {
      socket.end('ERROR MISROUTED other database\r\n');
      return;
    }
    if (this.#connections.size > this.#options.maxConnections) {
      socket.end('ERROR TOOMANY connections\r\n');
      return;
    }
    connection.team = team;
    socket.write(`READY I ${this.#position}\r\n`);
  }

  #run(connection: Connection, id: string, text: string): string {
    const after = /^AFTER (\d+)\.(\d+) (.*)$/s.exec(text);
    if (after !== null) {
      const [, term, number, rest = ''] = after;
      const isBehind =
        Number(number) > this.commits.length || Number(term) > this.term;
      if (isBehind) return this.#fail(connection, 'LAGGING');
      return this.#run(connection, id, rest);
    }
    const [word = '', first = '', ...rest] = text.split(' ');
    switch (word) {
      case 'BEGIN':
        if (first !== 'READ' && !this.#isPrimary) return 'ERROR READONLY';
        connection.state = 'T';
        connection.transaction = ++this.#transactions;
        connection.isReadWrite = first !== 'READ';
        return 'DONE -';
      case 'ROLLBACK':
        this.#end(connection);
        return 'DONE -';
      case 'SET':
        connection.values.set(first, rest.join(' '));
        return 'DONE -';
      case 'RESET':
        connection.values.clear();
        connection.prepared.clear();
        return 'DONE -';
      case 'PREPARE':
        connection.prepared.set(first, rest.join(' '));
        return 'DONE -';
      case 'STATUS':
        return this.#status();
      case 'STEPDOWN':
        if (Number(first) > this.term) this.becomeReplica();
        return this.#status();
      case 'EXECUTE': {
        const access = connection.prepared.get(first)?.split(' ')[0];
        if (access === undefined) return this.#fail(connection, 'NOSTMT');
        return this.#runAccess(connection, id, text, access, rest);
      }
      default:
        return this.#runAccess(connection, id, text, word, [first, ...rest]);
    }
  }

  #status(): string {
    const role = this.#isPrimary ? 'primary' : 'replica';
    const {term} = this;
    return `ROW ${role} ${term} ${this.#position} ${term} 0 0 1\r\nDONE -`;
  }

  #runAccess(
    connection: Connection,
    id: string,
    text: string,
    access: string,
    [item = '', ...data]: string[],
  ): string {
    const wasDemoted = connection.isReadWrite && !this.#isPrimary;
    const isWrite = access === 'WRITE';
    if (
      (isWrite || (connection.state === 'T' && wasDemoted)) &&
      !this.#isPrimary
    ) {
      return this.#fail(connection, `READONLY ${this.id}`);
    }
    this.runs.push({
      id,
      text,
      team: connection.team,
      transaction: connection.transaction,
      connection: connection.number,
      values: [...connection.values].map(pair => pair.join('=')).join(','),
      at: Date.now(),
    });
    if (access === 'READ') {
      return `ROW ${this.latestValueOf(item)}\r\nDONE ${this.id}.${id}`;
    }
    if (isWrite) connection.writes.push([item, data.join(' ')]);
    const isCommit = access === 'COMMIT' || connection.state === 'I';
    if (isCommit) this.#commit(connection);
    return `DONE ${this.id}.${id}`;
  }

  #commit(connection: Connection): void {
    const {writes} = connection;
    this.#end(connection);
    if (writes.length === 0) return;
    const number = this.commits.length + 1;
    const commit = {term: this.term, number, writes};
    this.commits.push(commit);
    this.#options.onCommit(commit, this);
  }

  #end(connection: Connection): void {
    connection.state = 'I';
    connection.transaction = 0;
    connection.isReadWrite = false;
    connection.writes = [];
  }

  #fail(connection: Connection, code: string): string {
    if (connection.state === 'T') connection.state = 'E';
    return `ERROR ${code}`;
  }
}
