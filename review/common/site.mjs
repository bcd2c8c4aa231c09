/** A small deployment on loopback addresses: stand-ins and nodes as processes. */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import process from 'node:process';
import {clearInterval, setInterval, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
/** The `run` line of the deploy file. */
const PROGRAM = ['--max-old-space-size=160', 'target/zinnia-platform.mjs'];
const HEARTBEAT_MS = 1_200;
const START_LIMIT_MS = 20_000;
/** Milliseconds from SIGTERM to SIGKILL, `grace_s`. */
export const GRACE_MS = 6_000;
export const ZONES = ['tas-hobart', 'tas-launceston', 'tas-devonport'];

/** The script can't run: exit code 2. */
export class SetupError extends Error {}

/** Writes what was sent, answered and run to record.txt in a case's folder. */
export class Record {
  #path;
  #startedAt = Date.now();

  constructor(moduleUrl) {
    this.#path = join(dirname(fileURLToPath(moduleUrl)), 'record.txt');
    writeFileSync(this.#path, '');
  }

  /** Milliseconds since the start of the script. */
  at(unixMs = Date.now()) {
    return unixMs - this.#startedAt;
  }

  add(event, fields = {}, unixMs = Date.now()) {
    const line = `${String(this.at(unixMs)).padStart(6)} ${event} ${JSON.stringify(fields)}\n`;
    appendFileSync(this.#path, line);
  }
}

/** Runs a case: exits with 1 if it reports violations, 0 if not, 2 on an error. */
export async function runCase(moduleUrl, play) {
  const record = new Record(moduleUrl);
  const isTroubled = process.env.TROUBLE !== '0';
  const site = new Site(record);
  // A hang of the script itself must not leave processes behind.
  const guard = setTimeout(() => {
    site.killAll();
    process.exit(2);
  }, 110_000);
  let code = 2;
  try {
    const violations = await play({site, record, isTroubled});
    for (const violation of violations) record.add('violation', violation);
    record.add('verdict', {violations: violations.length, isTroubled});
    code = violations.length > 0 ? 1 : 0;
    process.stdout.write(
      `${violations.length} violations, trouble ${isTroubled ? 'on' : 'off'}\n`,
    );
  } catch (err) {
    record.add('error', {message: String(err.stack ?? err)});
    process.stderr.write(`${String(err.stack ?? err)}\n`);
  } finally {
    await site.stop();
    globalThis.clearTimeout?.(guard);
  }
  process.exit(code);
}

/** The store, one group of databases, the promotion API and the nodes. */
export class Site {
  store;
  group;
  #orders;
  #nodes = [];
  #record;
  #heartbeat;
  #dir = mkdtempSync(join(tmpdir(), 'zinnia-review-'));
  #sequence = 0;
  #zones = [];

  constructor(record) {
    this.#record = record;
  }

  /** Starts the stand-ins; `config` is the operator's first configuration. */
  async startPlatform({config, databaseMs = 0, lagMs = 60, slots = 2, group}) {
    const {KvServer, FailoverOrderServer, LineGroup} = await importStandIns();
    this.store = await KvServer.start();
    this.group = group ?? (await startLineGroup(LineGroup, lagMs, databaseMs));
    this.#orders = await FailoverOrderServer.start(order => {
      const isDone = this.group.promote(order.id, order.token);
      this.#record.add('failover', {...order, isDone});
      return isDone;
    });
    this.#zones = ZONES;
    this.putConfig(config);
    const announce = () => this.#announce(slots);
    announce();
    this.#heartbeat = setInterval(announce, HEARTBEAT_MS);
  }

  /** Writes a version of the configuration; the return is the store's ack. */
  putConfig(config) {
    this.store.put('op/config', JSON.stringify(config));
    this.#record.add('config', {version: config.version});
  }

  /** Starts a node as the deploy file says; each has an address of its own. */
  startNode(n) {
    const pid = process.pid;
    const host = `127.${64 + ((pid >> 14) & 63)}.${(pid >> 6) & 255}.${((pid & 63) << 2) + n + 1}`;
    const name = `front-${ZONES[n % ZONES.length]}-${n + 1}`;
    const path = join(this.#dir, `boot-${n}.conf`);
    writeFileSync(path, this.#settings(name, host, ZONES[n % ZONES.length]));
    const {PATH, HOME, LANG} = process.env;
    const env = {PATH, HOME, LANG, ZINNIAARCH_BOOT: path};
    const child = spawn(process.execPath, PROGRAM, {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const node = {name, host, child, log: '', exit: undefined};
    child.stdout.on('data', chunk => (node.log += String(chunk)));
    child.stderr.on('data', chunk => (node.log += String(chunk)));
    node.ended = new Promise(done =>
      child.on('exit', (code, signal) => {
        node.exit = {code, signal, at: Date.now()};
        this.#record.add('nodeExit', {name, code, signal});
        done();
      }),
    );
    this.#nodes.push(node);
    this.#record.add('nodeStart', {name, host});
    return node;
  }

  /** Waits until all nodes report ready. */
  async waitUntilReady(nodes) {
    const until = Date.now() + START_LIMIT_MS;
    for (const node of nodes) {
      while ((await readinessOf(node)) !== 200) {
        if (Date.now() > until || node.exit !== undefined)
          throw new SetupError(`${node.name} is not ready: ${node.log}`);
        await sleep(100);
      }
    }
  }

  /** Sends SIGTERM, and SIGKILL after the grace period. */
  terminate(node) {
    this.#record.add('sigterm', {name: node.name});
    node.child.kill('SIGTERM');
    const kill = setTimeout(() => node.child.kill('SIGKILL'), GRACE_MS);
    void node.ended.then(() => globalThis.clearTimeout?.(kill));
    return Date.now();
  }

  killAll() {
    for (const {child, exit} of this.#nodes) {
      if (exit === undefined) child.kill('SIGKILL');
    }
  }

  async stop() {
    this.killAll();
    await Promise.all(this.#nodes.map(({ended}) => ended));
    clearInterval(this.#heartbeat);
    await this.#orders?.stop();
    await this.store?.stop();
    await this.group?.stop();
    rmSync(this.#dir, {recursive: true, force: true});
  }

  #announce(slots) {
    this.#sequence += 1;
    this.group.databases.forEach((database, n) => {
      if (database.isStopped) return;
      const entry = {
        service: this.group.name,
        address: `127.0.0.1:${database.port}`,
        zone: this.#zones[n],
        version: '1.0',
        slots,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence: this.#sequence,
        born: 1_700_000_000_000,
        db_role: database.isPrimary ? 'primary' : 'replica',
      };
      this.store.put(`servers/${database.id}`, JSON.stringify(entry));
    });
  }

  #settings(name, host, zone) {
    return `node_name=${name}
role=proxy
machine_class=front
serves=front
ip=${host}
zone=${zone}
region=tas
${ZONES.map(each => `zones.${each}=tas`).join('\n')}
listen_addrs.front=${host}:8465
listen_addrs.ready=${host}:8460
internal_ports=7560,7575
seeds=
bootstrap=true
in_tolerance=false
limits.cpu_share=0.675
limits.cores=1
limits.memory_mb=350
limits.max_fds=4300
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=${HEARTBEAT_MS}
contracts=base,drain,config,cost,recover,sql,tenants,quota,platform
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=7000
bounds.grace_s=${GRACE_MS / 1_000}
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.revert_slack_ms=250
bounds.max_stretch_ms=12000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.quota_window_s=5
bounds.quota_overage=0.1
bounds.quota_slack=20
bounds.recover_s=12
bounds.require_fencing=true
bounds.thaw_ms=300
platform.address=127.0.0.1:${this.store.port}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
cloud.address=127.0.0.1:${this.#orders.port}
cloud.rate_per_s=50.0
cloud.duties=failover
cloud.duty_per_s=50.0
`;
  }
}

/** The project's own stand-in for a service of three databases. */
async function startLineGroup(LineGroup, lagMs, databaseMs) {
  const group = await LineGroup.start({
    name: 'fund-core',
    databases: 3,
    lagMs,
    promoteMs: 300,
    maxConnections: 16,
  });
  for (const {faults} of group.databases) faults.serviceMs = databaseMs;
  return group;
}

/** The routes and tenants of a small deployment; `changes` replace fields. */
export function createConfig(changes = {}) {
  const route = (
    database,
    type,
    stalenessMs,
    timeoutMs,
    targetMs,
    priority,
  ) => ({
    name: database,
    database,
    type,
    service: 'fund-core',
    timeout_ms: timeoutMs,
    target_latency_ms: targetMs,
    max_staleness_ms: stalenessMs,
    priority,
    public: false,
  });
  return {
    version: 1,
    routes: [
      route('claim-lodge', 'primary', 0, 800, 120, 1),
      route('cover-lookup', 'bounded_staleness', 1_500, 1_500, 400, 2),
      route('contrib-ledger', 'read_your_writes', 2_500, 800, 200, 2),
    ],
    services: [{name: 'fund-core', max_connections: 16}],
    limits: {tx_idle_ms: 3_000},
    tenants: [
      {name: 'red', api_keys: ['red-key'], rate_per_s: 500, burst: 500},
      {name: 'blue', api_keys: ['blue-key'], rate_per_s: 500, burst: 500},
    ],
    ...changes,
  };
}

/** A consumer's session: one request at a time, as text lines over TCP. */
export class Session {
  #socket;
  #record;
  #name;
  #text = '';
  #wake = () => {};
  #nextId = 0;
  isClosed = false;

  constructor(name, record) {
    this.#name = name;
    this.#record = record;
  }

  async open(host, database, key) {
    const socket = connect({host, port: 8465, noDelay: true});
    this.#socket = socket;
    socket.setEncoding('latin1');
    socket.on('data', chunk => {
      this.#text += chunk;
      this.#wake();
    });
    const close = () => {
      this.isClosed = true;
      this.#wake();
    };
    socket.on('close', close);
    socket.on('end', close);
    socket.on('error', close);
    socket.write(`START ${database} ${key}\r\n`, 'latin1');
    const {lines} = await this.#readAnswer();
    this.#record.add('start', {session: this.#name, answer: lines.at(-1)});
    return lines.at(-1)?.startsWith('READY') ?? false;
  }

  /**
   * Sends a statement and waits for its answer, up to and including READY.
   * `isComplete` is false if the connection ended before.
   */
  async query(text, id = `${this.#name}-${++this.#nextId}`) {
    const sentAt = Date.now();
    this.#record.add('sent', {id, text});
    this.#socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
    const {lines, isComplete} = await this.#readAnswer();
    const endedAt = Date.now();
    const end = lines.find(line => /^(DONE|ERROR)/.test(line));
    const shown = lines.map(line => line.slice(0, 200));
    this.#record.add(isComplete ? 'answered' : 'cut', {id, lines: shown});
    const rows = lines
      .filter(line => line.startsWith('ROW '))
      .map(line => line.slice(4));
    return {id, text, sentAt, endedAt, isComplete, end, rows};
  }

  /**
   * As `query`, for a long statement: sends it in parts of `partBytes`, one each
   * `periodMs`, as when many senders share a link.
   */
  async queryInParts(text, {partBytes, periodMs}) {
    const id = `${this.#name}-${++this.#nextId}`;
    const line = `QUERY ${id} ${text}\r\n`;
    const sentAt = Date.now();
    const answer = this.#readAnswer();
    for (let at = 0; at < line.length && !this.isClosed; at += partBytes) {
      this.#socket.write(line.slice(at, at + partBytes), 'latin1');
      await sleep(
        Math.max(0, sentAt + (at / partBytes + 1) * periodMs - Date.now()),
      );
    }
    const {lines, isComplete} = await answer;
    const end = lines.find(each => /^(DONE|ERROR)/.test(each));
    return {id, sentAt, endedAt: Date.now(), isComplete, end};
  }

  /** Lines that arrived without a request outstanding. */
  async unaskedLines(waitMs) {
    await sleep(waitMs);
    const lines = this.#text.split('\r\n').filter(line => line !== '');
    this.#text = '';
    if (lines.length > 0)
      this.#record.add('unasked', {session: this.#name, lines});
    return lines;
  }

  close() {
    this.#socket.destroy();
  }

  async #readAnswer() {
    for (;;) {
      const match = /(^|\r\n)(READY[^\r]*|ERROR[^\r]*\r\nREADY[^\r]*)\r\n/.exec(
        this.#text,
      );
      if (match !== null) {
        const end = match.index + match[0].length;
        const lines = this.#text.slice(0, end).split('\r\n').slice(0, -1);
        this.#text = this.#text.slice(end);
        return {lines, isComplete: true};
      }
      if (this.isClosed) {
        const lines = this.#text.split('\r\n');
        this.#text = '';
        return {lines, isComplete: false};
      }
      await new Promise(resolve => (this.#wake = resolve));
    }
  }
}

/** HTTP status of a node's readiness probe; 0 if there is none. */
export function readinessOf({host}) {
  return new Promise(done => {
    const req = get({host, port: 8460, path: '/readiness'}, res => {
      res.resume();
      done(res.statusCode);
    });
    req.on('error', () => done(0));
    req.setTimeout(1_000, () => req.destroy());
  });
}

/** Writes what the databases ran to the record; returns all runs. */
export function recordRuns(site, record) {
  const runs = site.group.databases.flatMap(({id: database, runs: own}) =>
    own.map(run => ({database, ...run})),
  );
  for (const {at, database, id, team, text, transaction} of runs) {
    record.add('ran', {database, id, team, transaction, text}, at);
  }
  return runs;
}

async function importStandIns() {
  try {
    return await import(join(ROOT, 'target/review/standins.mjs'));
  } catch (err) {
    throw new SetupError(`run review/build.sh first: ${err.message}`);
  }
}
