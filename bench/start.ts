/**
 * Start of a node on the users' platform: time and CPU until it logs
 * `nodeStarted`, is ready, and has served its first statement.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {StandInSite} from '../standins/platform/site.js';
import {formatNumber, formatTable, quantile, sleep} from './figures.js';

/** V8 flags of the `run` line in the deploy file. */
const RUN_FLAGS = ['--max-old-space-size=160'];
const POLL_MS = 2;
const START_TIMEOUT_MS = 20_000;

interface StartFigures {
  readonly startedMs: number;
  readonly readyMs: number;
  readonly servedMs: number;
  /** CPU of all threads until the first statement was served. */
  readonly cpuMs: number;
  /** The part of it in user mode, in ticks of 10 ms. */
  readonly userMs: number;
  /** The steps that the node logs. */
  readonly line: string;
}

/** Measures `--starts` starts of `--program`, one after the other. */
export async function run(args: readonly string[]): Promise<void> {
  const {values} = parseArgs({
    args: [...args],
    options: {
      program: {type: 'string', default: 'target/zinnia-platform.mjs'},
      starts: {type: 'string', default: '10'},
    },
  });
  const figures: StartFigures[] = [];
  for (let n = 0; n < Number(values.starts); n++) {
    figures.push(await measureStart(values.program));
  }
  const row = (name: string, of: (one: StartFigures) => number) => {
    const all = figures.map(of);
    const shares = [0, 0.5, 1].map(share => formatNumber(quantile(all, share)));
    const mean = all.reduce((sum, value) => sum + value, 0) / all.length;
    return [name, formatNumber(mean, 1), ...shares];
  };
  console.log(`${values.program}, ${figures.length} starts, in ms`);
  console.log(
    formatTable(
      ['until', 'mean', 'least', 'median', 'most'],
      [
        row('nodeStarted', ({startedMs}) => startedMs),
        row('ready', ({readyMs}) => readyMs),
        row('first statement served', ({servedMs}) => servedMs),
        row('CPU until then, all threads', ({cpuMs}) => cpuMs),
        row('user CPU until then', ({userMs}) => userMs),
      ],
    ),
  );
  console.log(figures.at(-1)?.line ?? '');
}

async function measureStart(program: string): Promise<StartFigures> {
  const site = await StandInSite.start();
  const startedAt = performance.now();
  const child = spawn(process.execPath, [...RUN_FLAGS, program], {
    env: {...process.env, ZINNIAARCH_BOOT: site.settingsPath},
  });
  const exited = once(child, 'exit');
  const sinceStart = () => performance.now() - startedAt;
  try {
    const [{startedMs, line}, readyMs, servedMs] = await Promise.all([
      waitForStart(child, sinceStart),
      poll(() => site.isReady(), sinceStart),
      poll(() => site.isServed(), sinceStart),
    ]);
    return {
      startedMs,
      readyMs,
      servedMs,
      cpuMs: cpuMsOf(child),
      userMs: userMsOf(child),
      line,
    };
  } finally {
    child.kill('SIGKILL');
    await exited;
    await site.stop();
  }
}

/** Resolves once the node logs that it has started. */
function waitForStart(child: ChildProcess, sinceStart: () => number) {
  return new Promise<{startedMs: number; line: string}>((resolve, reject) => {
    let output = '';
    const onData = (chunk: unknown) => {
      output += String(chunk);
      const line = output
        .split('\n')
        .find(text => text.includes('event=nodeStarted'));
      if (line !== undefined) resolve({startedMs: sinceStart(), line});
    };
    child.stdout?.on('data', onData);
    child.stderr?.on('data', onData);
    child.on('exit', () => reject(new Error(`the node has ended:\n${output}`)));
  });
}

/** Resolves to the time at which `check` first succeeds. */
async function poll(check: () => Promise<boolean>, sinceStart: () => number) {
  while (sinceStart() < START_TIMEOUT_MS) {
    if (await check().catch(() => false)) return sinceStart();
    await sleep(POLL_MS);
  }
  throw new Error('the node did not start in time');
}

/** CPU time of all threads of a process, from the kernel's scheduler. */
function cpuMsOf({pid}: ChildProcess): number {
  const tasks = `/proc/${pid}/task`;
  const nanos = readdirSync(tasks).map(task =>
    Number(readFileSync(`${tasks}/${task}/schedstat`, 'utf8').split(' ')[0]),
  );
  return nanos.reduce((sum, value) => sum + value, 0) / 1e6;
}

/** User time of a process; the kernel counts it in hundredths of a second. */
function userMsOf({pid}: ChildProcess): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1];
  return Number(fields?.split(' ')[11]) * 10;
}
