/**
 * Plays a seeded schedule of stops, kills and changes on processes of the bundled
 * program, under callers that keep their connections until these are closed, and
 * judges by what callers and databases saw.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Platform, sleep} from './fixture.js';
import {LineClient, type LineReply} from './line-client.js';
import {hostOf, NodeProcess, PORTS} from './node-process.js';

const GRACE_MS = 3_000;
/** Time for a process to end after its grace period, on a busy machine. */
const EXIT_SLACK_MS = 2_000;
const START_LIMIT_MS = 20_000;
const RECONNECT_MS = 20;
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;
/** Replies that promise that nothing of the request is kept. */
const PROMISES = new Set(['BUSY', 'ABORTED', 'LAGGING', 'READONLY']);
/** Data that a wrong reader of lines takes for messages. */
const SUFFIXES = ['', '\nHobart', '\r', '\nQUERY w9 WRITE x y', ' a \r\r b'];

/** Settings of one run. */
export interface SoakOptions {
  readonly seed: number;
  readonly nodes: number;
  readonly callers: number;
  readonly durationMs: number;
}

/** What a run found. */
export interface SoakReport {
  /** Broken rules, one line each; empty if all held. */
  readonly violations: readonly string[];
  readonly requests: number;
  readonly done: number;
  readonly refused: number;
  /** Requests whose connection closed before their answer. */
  readonly cut: number;
  readonly stops: number;
  readonly kills: number;
}

/** Whole numbers from a seed. */
class Dice {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** A whole number from 0 to `limit - 1`. */
  below(limit: number): number {
    return uniformInt(this.#generator, 0, limit - 1);
  }

  pick<T>(values: readonly T[]): T {
    return values[this.below(values.length)]!;
  }
}

/** A request and its reply; undefined if the connection closed before. */
interface SentRequest {
  readonly id: string;
  readonly text: string;
  readonly process: NodeProcess;
  readonly endedAt: number;
  readonly reply: LineReply | undefined;
}

/** One write, alone or in a transaction. */
interface Write {
  readonly item: string;
  readonly data: string;
  /** Undefined while or if its outcome is unknown. */
  outcome?: 'acknowledged' | 'refused' | undefined;
}

/** A machine, on which a process runs again after each end. */
class Machine {
  readonly #program: string;
  readonly #platform: Platform;
  readonly #n: number;
  readonly violations: string[] = [];
  process: NodeProcess;
  /** Whether the process was asked to end, or killed. */
  isEnding = false;

  constructor(program: string, platform: Platform, n: number) {
    this.#program = program;
    this.#platform = platform;
    this.#n = n;
    this.process = this.#start();
  }

  async waitUntilReady(): Promise<void> {
    const until = Date.now() + START_LIMIT_MS;
    while ((await this.process.readiness()) !== 200) {
      if (Date.now() > until)
        throw new Error(`not ready: ${this.process.text}`);
      await sleep(50);
    }
  }

  /** Sends signals in series, and expects a regular end. */
  async stop(signals: readonly NodeJS.Signals[], gapMs: number): Promise<void> {
    const {process} = this;
    this.isEnding = true;
    const startedAt = Date.now();
    for (const signal of signals) {
      process.kill(signal);
      await sleep(gapMs);
    }
    const limit = sleep(GRACE_MS + EXIT_SLACK_MS).then(() => 'late');
    const code = await Promise.race([process.exited(), limit]);
    // Until the program is loaded, a signal ends the process; it serves nobody.
    const isLoaded = process.text.includes('event=programLoaded');
    if (code === 0 || (code === null && !isLoaded)) return;
    const tookMs = Date.now() - startedAt;
    this.violations.push(
      `END: node ${this.#n}: ${code} after ${tookMs} ms and ${signals.join(' ')}`,
    );
    process.kill('SIGKILL');
    await process.exited();
  }

  async kill(): Promise<void> {
    this.isEnding = true;
    this.process.kill('SIGKILL');
    await this.process.exited();
  }

  restart(): void {
    this.process = this.#start();
    this.isEnding = false;
  }

  #start(): NodeProcess {
    const node = new NodeProcess(this.#program, {
      platform: this.#platform,
      n: this.#n,
    });
    void node.exited().then(code => {
      if (this.process === node && !this.isEnding)
        this.violations.push(`END: node ${this.#n} by itself, code ${code}`);
    });
    return node;
  }
}

/** Runs one schedule. */
export class Soak {
  readonly #program: string;
  readonly #options: SoakOptions;
  readonly #dice: Dice;
  readonly #requests: SentRequest[] = [];
  readonly #writes: Write[] = [];
  readonly #killed = new Set<NodeProcess>();
  #platform!: Platform;
  #machines: readonly Machine[] = [];
  #isOver = false;
  #version = 1;
  #stops = 0;

  constructor(program: string, options: SoakOptions) {
    this.#program = program;
    this.#options = options;
    this.#dice = new Dice(options.seed);
  }

  /**
   * Plays the schedule and returns what it found.
   *
   * @throws Error if a process does not become ready
   */
  async run(): Promise<SoakReport> {
    const {nodes, callers, durationMs, seed} = this.#options;
    this.#platform = await Platform.start(0, {maxConnections: 64});
    try {
      this.#machines = Array.from(
        {length: nodes},
        (_, n) => new Machine(this.#program, this.#platform, n),
      );
      await Promise.all(this.#machines.map(m => m.waitUntilReady()));
      const load = Array.from({length: callers}, (_, n) =>
        this.#call(`c${n}`, new Dice(seed * 1_000 + n)),
      );
      await this.#disturb(Date.now() + durationMs);
      this.#isOver = true;
      await Promise.all(load);
      await Promise.all(this.#machines.map(m => m.stop(['SIGTERM'], 0)));
      return this.#judge();
    } finally {
      for (const {process} of this.#machines) process.kill('SIGKILL');
      await this.#platform.stop();
    }
  }

  async #disturb(until: number): Promise<void> {
    const dice = this.#dice;
    const running: Promise<void>[] = [];
    while (Date.now() < until) {
      await sleep(100 + dice.below(400));
      const others = this.#machines.filter(({isEnding}) => !isEnding);
      const kind = dice.below(8);
      if (kind < 4 && others.length > 1)
        running.push(this.#endAndRestart(dice.pick(others), kind === 0));
      else if (kind === 4) this.#platform.configure({version: ++this.#version});
      else if (kind === 5) this.#platform.store.put('servers/odd', '[[[1e400');
      else if (kind === 6) this.#platform.announceAll();
      else this.#setStatementMs(dice.below(60));
    }
    await Promise.all(running);
  }

  async #endAndRestart(machine: Machine, isKill: boolean): Promise<void> {
    const dice = this.#dice;
    this.#stops += 1;
    if (isKill) {
      this.#killed.add(machine.process);
      await machine.kill();
    } else {
      const further = Array.from({length: dice.below(3)}, () =>
        dice.pick([...STOP_SIGNALS, 'SIGHUP'] as const),
      );
      const signals = [dice.pick(STOP_SIGNALS), ...further];
      await machine.stop(signals, dice.below(700));
    }
    await sleep(dice.below(500));
    machine.restart();
    await machine.waitUntilReady();
  }

  #setStatementMs(statementMs: number): void {
    for (const {faults} of this.#platform.group.databases)
      faults.serviceMs = statementMs;
  }

  /** One caller: uses a connection until it is closed, then opens another. */
  async #call(name: string, dice: Dice): Promise<void> {
    let n = 0;
    while (!this.#isOver) {
      const at = dice.below(this.#machines.length);
      const {process} = this.#machines[at]!;
      const route = dice.pick(['now', 'own']);
      const opened = await LineClient.open(
        PORTS.callers,
        `${route} red-key`,
        hostOf(at),
      ).catch(() => undefined);
      if (opened === undefined || !opened.hello.startsWith('READY')) {
        opened?.client.close();
        await sleep(RECONNECT_MS);
        continue;
      }
      const {client} = opened;
      const send = async (text: string) =>
        this.#send(client, process, `${name}-${++n}`, text, dice);
      while (!this.#isOver && (await this.#operate(send, name, dice))) {
        if (dice.below(2) === 0) await sleep(dice.below(30));
      }
      client.close();
    }
  }

  /** Runs one operation; false once the connection is closed. */
  async #operate(
    send: (text: string) => Promise<LineReply | undefined>,
    name: string,
    dice: Dice,
  ): Promise<boolean> {
    const kind = dice.below(3);
    if (kind === 0) return (await send(`READ ${name}`)) !== undefined;
    if (kind === 1) {
      const write = this.#createWrite(name, dice);
      const reply = await send(`WRITE ${write.item} ${write.data}`);
      write.outcome = outcomeOf(reply);
      return reply !== undefined;
    }
    const begun = await send('BEGIN');
    if (begun?.state !== 'T') return begun !== undefined;
    const writes: Write[] = [];
    for (let left = 1 + dice.below(3); left > 0; left--) {
      if (dice.below(2) === 0) await sleep(dice.below(20));
      const write = this.#createWrite(name, dice);
      writes.push(write);
      const reply = await send(`WRITE ${write.item} ${write.data}`);
      if (reply?.state === 'T') continue;
      // Without a COMMIT, nothing of a transaction may be kept.
      for (const each of writes) each.outcome = 'refused';
      return reply !== undefined && (await send('ROLLBACK')) !== undefined;
    }
    const isCommit = dice.below(4) > 0;
    const ended = await send(isCommit ? 'COMMIT' : 'ROLLBACK');
    for (const each of writes)
      each.outcome = isCommit ? outcomeOf(ended) : 'refused';
    return ended !== undefined;
  }

  #createWrite(item: string, dice: Dice): Write {
    const data = `v${this.#writes.length}${dice.pick(SUFFIXES)}`;
    const write: Write = {item, data};
    this.#writes.push(write);
    return write;
  }

  async #send(
    client: LineClient,
    process: NodeProcess,
    id: string,
    text: string,
    dice: Dice,
  ): Promise<LineReply | undefined> {
    const message = `QUERY ${id} ${text}\r\n`;
    const at = dice.below(4) === 0 ? dice.below(message.length) : 0;
    const parts =
      at === 0 ? [message] : [message.slice(0, at), message.slice(at)];
    const reply = await client.request(parts);
    const endedAt = Date.now();
    this.#requests.push({id, text, process, endedAt, reply});
    return reply;
  }

  #judge(): SoakReport {
    const requests = this.#requests;
    const count = (test: (end: string) => boolean) =>
      requests.filter(({reply}) => reply !== undefined && test(reply.end))
        .length;
    return {
      violations: [
        ...this.#machines.flatMap(({violations}) => violations),
        ...this.#findUnasked(),
        ...this.#findCut(),
        ...this.#findWrongWrites(),
      ],
      requests: requests.length,
      done: count(end => end.startsWith('DONE')),
      refused: count(end => end.startsWith('ERROR')),
      cut: requests.filter(({reply}) => reply === undefined).length,
      stops: this.#stops - this.#killed.size,
      kills: this.#killed.size,
    };
  }

  /** Statements that no caller sent, or not with this text. */
  #findUnasked(): readonly string[] {
    const sent = new Map(this.#requests.map(({id, text}) => [id, text]));
    return this.#platform.group.databases
      .flatMap(({runs}) => runs)
      .filter(({id, text}) => sent.get(id) !== text.replace(/^AFTER \S+ /, ''))
      .map(({id, text}) => `UNASKED: ${id} ${JSON.stringify(text)}`);
  }

  /** Requests that a database had and whose process was not killed. */
  #findCut(): readonly string[] {
    const arrivals = new Map(
      this.#platform.group.databases.flatMap(({requests}) =>
        requests.map(({line, at}) => [line.split(' ')[1], at] as const),
      ),
    );
    return this.#requests
      .filter(({reply, process}) => !reply && !this.#killed.has(process))
      .filter(({id, endedAt}) => (arrivals.get(id) ?? Infinity) <= endedAt)
      .map(({id, text}) => `LOST: ${id} ${JSON.stringify(text)} was cut`);
  }

  #findWrongWrites(): readonly string[] {
    const counts = new Map<string, number>();
    for (const {writes} of this.#platform.group.primary.commits) {
      for (const [item, data] of writes) {
        const key = `${item} ${data}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
      }
    }
    return this.#writes.flatMap(({item, data, outcome}) => {
      const key = `${item} ${data}`;
      const count = counts.get(key) ?? 0;
      const shown = JSON.stringify(key);
      if (count > 1) return [`TWICE: ${shown} ${count} times`];
      if (outcome === 'acknowledged' && count === 0) return [`LOST: ${shown}`];
      if (outcome === 'refused' && count > 0) return [`REFUSED: ${shown}`];
      return [];
    });
  }
}

function outcomeOf(reply: LineReply | undefined): Write['outcome'] {
  if (reply === undefined) return undefined;
  if (reply.end.startsWith('DONE')) return 'acknowledged';
  const [, code = ''] = reply.end.split(' ');
  return PROMISES.has(code) ? 'refused' : undefined;
}
