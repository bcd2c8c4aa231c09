/**
 * Stand-in for one service of databases as PROTOCOL.md describes them, with slots,
 * replication that may be cut, and `sync_replicas`.
 */
import {createServer} from 'node:net';
import {setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';

const NETWORK_MS = 1;
/** Statements that take a slot for the time of their work. */
const WORK = /^(READ|WRITE|COMMIT|EXECUTE)\b/;

/** A primary and its replicas. */
export class DatabaseGroup {
  databases;
  name;
  /** Promotions that took effect: the database, the time and its log then. */
  promotions = [];
  #options;
  #tokens = [];

  constructor(options) {
    this.#options = options;
    this.name = options.name;
    this.databases = Array.from(
      {length: options.databases},
      (_, n) => new Database(`${options.name}-${n}`, this, options),
    );
    this.databases[0].isPrimary = true;
  }

  async listen() {
    await Promise.all(this.databases.map(database => database.listen()));
  }

  get primary() {
    return this.databases.find(({isPrimary}) => isPrimary);
  }

  /** Carries a promotion out later; false if it is refused. */
  promote(id, token) {
    const chosen = this.databases.find(database => database.id === id);
    if (token < Math.max(0, ...this.#tokens)) return false;
    if (chosen === undefined || chosen.isStopped) return false;
    this.#tokens.push(token);
    if (chosen.isPrimary) return true;
    setTimeout(() => {
      if (chosen.isStopped) return;
      const term = Math.max(...this.databases.map(each => each.term)) + 1;
      for (const each of this.databases) each.isPrimary = false;
      chosen.lead(term);
      this.promotions.push({id, at: Date.now(), log: [...chosen.log]});
      for (const each of this.databases) {
        if (each !== chosen) each.follow(chosen);
      }
    }, this.#options.promoteMs);
    return true;
  }

  /** Sends a commit to the replicas; resolves as `sync_replicas` asks. */
  async replicate(from, commit) {
    const {syncReplicas} = this.#options;
    const receipts = this.databases
      .filter(each => each !== from && !each.isStopped && !each.isDeaf)
      .map(each => sleep(NETWORK_MS).then(() => each.receive(from, commit)));
    if (syncReplicas === 0) return;
    // Without a receipt the commit is never acknowledged.
    await Promise.any(receipts).catch(() => new Promise(() => {}));
  }

  async stop() {
    await Promise.all(this.databases.map(database => database.stop()));
  }
}

class Database {
  id;
  log = [];
  applied = 0;
  term = 1;
  isPrimary = false;
  /** Whether it receives no commits. */
  isDeaf = false;
  isStopped = false;
  runs = [];
  /** Queries for its state that found no free slot. */
  busyStates = 0;
  /** When it answered those that found one. */
  states = [];
  #group;
  #options;
  #server;
  #running = 0;
  #waiting = [];
  #connections = new Set();

  constructor(id, group, options) {
    this.id = id;
    this.#group = group;
    this.#options = options;
    this.#server = createServer({noDelay: true}, socket =>
      this.#accept(socket),
    );
  }

  listen() {
    return new Promise(done => this.#server.listen(0, '127.0.0.1', done));
  }

  get port() {
    return this.#server.address()?.port;
  }

  /** Ends at once, as a process that crashes. */
  async stop() {
    if (this.isStopped) return;
    this.isStopped = true;
    this.isPrimary = false;
    for (const socket of this.#connections) socket.destroy();
    await new Promise(done => this.#server.close(done));
  }

  lead(term) {
    this.isPrimary = true;
    this.term = term;
    this.applied = this.log.length;
  }

  /** Rolls back what the new primary doesn't have. */
  follow(primary) {
    this.log.splice(primary.log.length);
    this.applied = Math.min(this.applied, this.log.length);
    this.term = primary.term;
  }

  receive(from, commit) {
    if (this.isDeaf || this.isStopped || !from.isPrimary)
      throw new Error('not received');
    // Also what it has missed.
    this.log.push(...from.log.slice(this.log.length, commit.number));
    this.term = commit.term;
    setTimeout(() => {
      if (this.log[commit.number - 1] === commit)
        this.applied = Math.max(this.applied, commit.number);
    }, this.#options.lagMs);
  }

  get #position() {
    const term = this.log[this.applied - 1]?.term ?? 1;
    return `${term}.${this.applied}`;
  }

  #accept(socket) {
    if (this.isStopped) return socket.destroy();
    const connection = {socket, team: '', state: 'I', isReadWrite: false};
    Object.assign(connection, {writes: [], values: new Map()});
    connection.prepared = new Map();
    this.#connections.add(socket);
    socket.on('close', () => this.#connections.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.setEncoding('latin1');
    let rest = '';
    let last = Promise.resolve();
    socket.on('data', chunk => {
      const lines = (rest + chunk).split('\r\n');
      rest = lines.pop();
      for (const line of lines)
        last = last.then(() => this.#serve(connection, line));
    });
  }

  async #serve(connection, line) {
    const {socket} = connection;
    const [word, ...fields] = line.split(' ');
    if (word === 'START') return this.#start(connection, fields);
    if (word !== 'QUERY') return socket.destroy();
    const [id, ...words] = fields;
    const answer = await this.#answer(connection, id, words.join(' '));
    if (this.isStopped) return;
    socket.write(
      `${answer}\r\nREADY ${connection.state} ${this.#position}\r\n`,
    );
  }

  #start(connection, [service, team, id]) {
    const {socket} = connection;
    if (service !== this.#group.name || (id !== undefined && id !== this.id))
      return socket.end('ERROR MISROUTED\r\n');
    if (this.#connections.size > this.#options.maxConnections)
      return socket.end('ERROR TOOMANY\r\n');
    connection.team = team;
    socket.write(`READY I ${this.#position}\r\n`);
  }

  async #answer(connection, id, text) {
    const after = /^AFTER (\d+)\.(\d+) (.*)$/.exec(text);
    if (after !== null) {
      const [, term, number, rest] = after;
      const isBehind =
        Number(number) > this.applied || Number(term) > this.term;
      if (isBehind) return this.#fail(connection, 'LAGGING');
      return this.#answer(connection, id, rest);
    }
    const isStatus = /^(STATUS|STEPDOWN)\b/.test(text);
    if (!WORK.test(text) && !isStatus) return this.#setUp(connection, text);
    if (connection.state === 'E') return 'ERROR MALFORMED';
    const {slots, queue = 0} = this.#options;
    if (this.#running >= slots) {
      if (this.#waiting.length >= queue) {
        if (isStatus) this.busyStates += 1;
        return 'ERROR BUSY';
      }
      // Takes over the slot of the statement that ends next.
      await new Promise(resolve => this.#waiting.push(resolve));
    } else this.#running += 1;
    try {
      if (!isStatus) await sleep(this.#workMsOf(text));
      if (isStatus) {
        this.states.push(Date.now());
        return this.#status(text);
      }
      return await this.#run(connection, id, text);
    } finally {
      const next = this.#waiting.shift();
      if (next === undefined) this.#running -= 1;
      else next();
    }
  }

  #workMsOf(text) {
    const {readMs, writeMs} = this.#options;
    return text.startsWith('READ') ? readMs : writeMs;
  }

  #setUp(connection, text) {
    const [word, name, ...rest] = text.split(' ');
    switch (word) {
      case 'BEGIN':
        if (name !== 'READ' && !this.isPrimary)
          return this.#fail(connection, `READONLY ${this.id}`);
        connection.state = 'T';
        connection.isReadWrite = name !== 'READ';
        return 'DONE -';
      case 'ROLLBACK':
        this.#end(connection);
        return 'DONE -';
      case 'SET':
        connection.values.set(name, rest.join(' '));
        return 'DONE -';
      case 'PREPARE':
        connection.prepared.set(name, rest[0]);
        return 'DONE -';
      case 'RESET':
        connection.values.clear();
        connection.prepared.clear();
        return 'DONE -';
      default:
        return 'ERROR MALFORMED';
    }
  }

  #status(text) {
    const [word, term] = text.split(' ');
    if (word === 'STEPDOWN' && Number(term) > this.term) this.isPrimary = false;
    const role = this.isPrimary ? 'primary' : 'replica';
    const received = `${this.log.at(-1)?.term ?? 1}.${this.log.length}`;
    return `ROW ${role} ${this.term} ${received} ${this.term} 0 0 1\r\nDONE -`;
  }

  async #run(connection, id, text) {
    const [word, ...words] = text.split(' ');
    const isPrepared = word === 'EXECUTE';
    const access = isPrepared ? connection.prepared.get(words[0]) : word;
    if (access === undefined) return this.#fail(connection, 'NOSTMT');
    const [item, ...data] = isPrepared ? words.slice(1) : words;
    const hasLostLead = connection.isReadWrite && !this.isPrimary;
    const needsLead = access === 'WRITE' || connection.writes.length > 0;
    if (hasLostLead && access !== 'COMMIT')
      return this.#fail(connection, `READONLY ${this.id}`);
    if (needsLead && !this.isPrimary)
      return this.#fail(connection, `READONLY ${this.id}`);
    const {team} = connection;
    this.runs.push({id, text, team, at: Date.now(), transaction: 0});
    if (access === 'READ')
      return `ROW ${this.#valueOf(item)}\r\nDONE ${this.id}.${id}`;
    if (access === 'WRITE') connection.writes.push([item, data.join(' ')]);
    if (access === 'COMMIT' || connection.state === 'I') {
      const {writes} = connection;
      this.#end(connection);
      if (writes.length > 0) await this.#commit(id, writes);
    }
    return `DONE ${this.id}.${id}`;
  }

  #valueOf(item) {
    for (const {writes} of this.log.slice(0, this.applied).toReversed()) {
      const write = writes.findLast(([name]) => name === item);
      if (write !== undefined) return write[1];
    }
    return '';
  }

  async #commit(id, writes) {
    const number = this.log.length + 1;
    const commit = {id, term: this.term, number, writes};
    this.log.push(commit);
    this.applied = this.log.length;
    await this.#group.replicate(this, commit);
  }

  #end(connection) {
    connection.state = 'I';
    connection.isReadWrite = false;
    connection.writes = [];
  }

  #fail(connection, code) {
    if (connection.state === 'T') connection.state = 'E';
    return `ERROR ${code}`;
  }
}
