import {beforeEach, describe, expect, test} from 'vitest';
import {GroupDatabases} from '../../src/home/group-databases.js';
import {ReadLoop} from '../../src/home/read-loop.js';
import {ReadPath} from '../../src/home/read-path.js';
import type {AnswerObserver, BatchOutcome} from '../../src/targets/types.js';
import {TargetError, type TargetConnection} from '../../src/targets/types.js';
import {RetryBudget} from '../../src/verdict/retry.js';
import {FakeGroup} from '../fakes/fake-group.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const DEADLINE_MS = 1_000;
/** More than the 60% of the deadline that the second try has left. */
const SLOW_MS = 700;
const FAST_MS = 10;
const START = {term: 1, offset: 0};
/** The read; any other frames are a liveness check. */
const QUERY = new Uint8Array([0x51, 0, 0, 0, 4]);
const ROW = Buffer.concat([Buffer.from('D'), Buffer.from([0, 0, 0, 4])]);
/** More than is buffered until the answer is confirmed. */
const LARGE = Buffer.concat(Array.from({length: 4_000}, () => ROW));
const END = Buffer.concat([Buffer.from('C'), Buffer.from([0, 0, 0, 4])]);

/** Timing of one run: when its first and its last part arrive. */
interface Script {
  readonly rows?: Buffer;
  readonly rowsAtMs?: number;
  readonly endAtMs: number;
  /** True if the database is too far behind for the session. */
  readonly isStale?: boolean;
}

const SILENT: Script = {endAtMs: Infinity};
const SLOW: Script = {endAtMs: SLOW_MS};
const FAST: Script = {endAtMs: FAST_MS};

/** A connection that runs as scripted until it is closed. */
class ScriptedConnection implements TargetConnection {
  readonly transaction = 'idle';
  readonly calls: string[] = [];
  readonly #broken = new AbortController();

  constructor(
    readonly databaseId: string,
    readonly script: () => Script,
  ) {}

  get usable(): boolean {
    return !isDown && !this.#broken.signal.aborted;
  }

  async run(
    frames: Uint8Array,
    observer: AnswerObserver,
  ): Promise<BatchOutcome> {
    const end: BatchOutcome = {
      transaction: 'idle',
      position: START,
      failed: false,
    };
    if (frames !== QUERY) return end;
    this.calls.push('run');
    ran.push(this);
    const {rows = ROW, rowsAtMs, endAtMs, isStale} = this.script();
    await this.#wait(rowsAtMs ?? endAtMs);
    observer.onStart?.(isStale ? undefined : START);
    await observer.onFrames(rows);
    await this.#wait(endAtMs - (rowsAtMs ?? endAtMs));
    await observer.onFrames(END);
    return end;
  }

  async cancel(): Promise<void> {
    this.calls.push('cancel');
  }

  close(): void {
    if (this.usable) this.calls.push('close');
    this.#broken.abort();
  }

  async #wait(ms: number): Promise<void> {
    const {signal} = this.#broken;
    await time.sleep(ms, signal);
    if (signal.aborted) throw new TargetError('lost', 'closed');
  }
}

let time: VirtualClock;
/** True if all connections are broken and no new one can be opened. */
let isDown: boolean;
/** The connections of the runs so far, in order. */
let ran: ScriptedConnection[];
let loop: ReadLoop;
/** The script of the next run, given the number of runs before it. */
let script: (run: number, databaseId: string) => Script;

beforeEach(async () => {
  time = new VirtualClock();
  isDown = false;
  ran = [];
  const group = new FakeGroup(time);
  const controls = group.controlsFor('vm-1', time.forNode());
  const databases = new GroupDatabases({
    clock: time,
    random: {next: () => 0.5},
    spec: group.spec,
    dataCentre: 'dc-2',
    instanceId: 'vm-1/a',
    access: {
      control: spec => {
        const control = controls.find(item => item.spec.id === spec.id);
        return Object.assign(control!, {close: () => {}});
      },
      connect: async ({id}) => {
        if (isDown) throw new TargetError('notSent', 'down');
        return new ScriptedConnection(id, () => script(ran.length - 1, id));
      },
    },
    reachability: {canReach: async () => []},
    connectionLimit: () => 12,
    weightOf: () => 1,
    onFailover: () => {},
  });
  const path = new ReadPath({
    databases,
    weights: () => ({old: 1, new: 0}),
    maxWaitMs: 0,
  });
  loop = new ReadLoop({databases, path, retries: new RetryBudget()});
  databases.start();
  await time.advance(1_000);
});

/** Runs one read and advances the clock until it has ended. */
async function read(staleMs: number) {
  const startedAt = time.now();
  const parts: Uint8Array[] = [];
  const req = {
    sessionId: 's1',
    group: 'claims',
    team: 'red',
    kind: 'read',
    priority: 1,
    deadlineMs: DEADLINE_MS,
    token: START,
    staleMs,
    frames: QUERY,
    commits: false,
    pin: undefined,
  } as const;
  let endedAt: number | undefined;
  const sink = (part: Uint8Array) => void parts.push(part);
  const {signal} = new AbortController();
  const result = loop
    .run({
      req,
      sink,
      deadlineAt: startedAt + DEADLINE_MS,
      signal,
      cancelled: signal,
    })
    .finally(() => (endedAt = time.now()));
  await time.advanceUntil(() => endedAt !== undefined, DEADLINE_MS * 2);
  const {verdict, servedBy} = await result;
  const answer = Buffer.concat(parts);
  return {verdict, servedBy, answer, tookMs: (endedAt ?? 0) - startedAt};
}

describe('slow reads', () => {
  test.each([
    ['a replica', 5_000],
    ['the primary', 0],
  ])('may use the whole deadline at %s', async (_, staleMs) => {
    script = () => SLOW;
    const {verdict, answer, tookMs} = await read(staleMs);
    expect(verdict).toEqual({kind: 'done'});
    expect(answer).toEqual(Buffer.concat([ROW, END]));
    expect(tookMs).toBe(SLOW_MS);
  });

  test('are retried at another database if a connection is silent', async () => {
    script = run => (run === 0 ? SILENT : FAST);
    const {verdict, answer, tookMs} = await read(5_000);
    expect(verdict).toEqual({kind: 'done'});
    expect(answer).toEqual(Buffer.concat([ROW, END]));
    expect(tookMs).toBeLessThan(DEADLINE_MS / 2);
    await time.advance(100);
    expect(ran.map(({calls}) => calls)).toEqual([
      ['run', 'cancel', 'close'],
      ['run'],
    ]);
    expect(ran[0]?.databaseId).not.toBe(ran[1]?.databaseId);
  });

  test('are retried on another connection if one to the primary is silent', async () => {
    script = run => (run === 0 ? SILENT : FAST);
    const {verdict, servedBy, tookMs} = await read(0);
    expect({verdict, servedBy}).toEqual({
      verdict: {kind: 'done'},
      servedBy: 'primary',
    });
    expect(tookMs).toBeLessThan(DEADLINE_MS * 0.6);
  });

  test('give one answer if both tries end', async () => {
    script = run => ({endAtMs: run === 0 ? 500 : 100});
    const {answer} = await read(5_000);
    await time.advance(DEADLINE_MS);
    expect(answer).toEqual(Buffer.concat([ROW, END]));
    expect(ran.length).toBe(2);
  });

  test('run once if the answer has begun to arrive', async () => {
    script = () => ({rows: LARGE, rowsAtMs: 100, endAtMs: 900});
    const {verdict, answer} = await read(5_000);
    expect(verdict).toEqual({kind: 'done'});
    expect(answer).toEqual(Buffer.concat([LARGE, END]));
    expect(ran.length).toBe(1);
  });

  test('report that a read may have run if every try is silent', async () => {
    script = () => SILENT;
    const {verdict, tookMs} = await read(5_000);
    expect(verdict.kind).toBe('mayHaveRun');
    expect(tookMs).toBeLessThan(DEADLINE_MS + 200);
  });

  test.each([0, 5_000])(
    'report that a read may have run even if no later try reached a database (staleMs %d)',
    async staleMs => {
      script = () => SILENT;
      const reading = read(staleMs);
      await time.advance(FAST_MS);
      isDown = true;
      ran[0]?.close();
      const {verdict} = await reading;
      expect(ran.length).toBe(1);
      expect(verdict.kind).toBe('mayHaveRun');
    },
  );

  test('go to the primary however often a replica falls short', async () => {
    script = (_, databaseId) => ({...FAST, isStale: databaseId !== 'db-1'});
    for (let n = 0; n < 20; n++) {
      const {verdict, servedBy} = await read(5_000);
      expect([verdict.kind, servedBy]).toEqual(['done', 'primary']);
    }
  });

  test('are still served once the retry budget is spent', async () => {
    script = () => SLOW;
    for (let n = 0; n < 20; n++) {
      const {verdict} = await read(5_000);
      expect(verdict).toEqual({kind: 'done'});
    }
    // The retry budget: a reserve of ten, and one retry per ten reads.
    expect(ran.length).toBeLessThanOrEqual(20 + 10 + 2);
  });
});
