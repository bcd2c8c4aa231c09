/** Starts and stops child processes for the demo, benchmarks and fleet tests. */
import {spawn, type ChildProcess} from 'node:child_process';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** Path of `dist`, both when run from `dist/demo` and from source by the test runner. */
const DIST = join(
  dirname(fileURLToPath(import.meta.url)).replace(
    /[/\\]dist[/\\]demo$|[/\\]demo$/,
    '',
  ),
  'dist',
);
const START_TIMEOUT_MS = 20_000;

/** Running child processes; killed when this process exits. */
const runningChildren = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of runningChildren) child.kill('SIGKILL');
});

/** A child process with its captured standard output and standard error. */
export class FleetProcess {
  readonly #child: ChildProcess;
  #stderr = '';
  #output = '';
  readonly #exited: Promise<void>;

  /**
   * @param script path under `dist`
   * @param args command line arguments
   * @param env environment variables, added to those of this process
   */
  constructor(
    script: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ) {
    this.#child = spawn(process.execPath, [join(DIST, script), ...args], {
      env: {...process.env, ...env},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child.stdout?.on('data', chunk => (this.#output += String(chunk)));
    this.#child.stderr?.on('data', chunk => (this.#stderr += String(chunk)));
    runningChildren.add(this.#child);
    this.#child.once('exit', () => runningChildren.delete(this.#child));
    this.#exited = new Promise(resolve =>
      this.#child.once('exit', () => resolve()),
    );
  }

  get pid(): number {
    return this.#child.pid ?? -1;
  }

  /** Standard error so far, which carries the log. */
  get log(): string {
    return this.#stderr;
  }

  /** Standard output so far. */
  get output(): string {
    return this.#output;
  }

  /**
   * Resolves once either stream contains `text`; throws if the process exits
   * first or does not write it in time.
   */
  async waitFor(text: string): Promise<void> {
    const deadlineAt = Date.now() + START_TIMEOUT_MS;
    while (!this.#output.includes(text) && !this.#stderr.includes(text)) {
      if (this.#child.exitCode !== null || Date.now() > deadlineAt) {
        throw new Error(`process did not write "${text}":\n${this.#stderr}`);
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGINT' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#child.kill(name);
  }

  /** Resolves when the process has exited. */
  exited(): Promise<void> {
    return this.#exited;
  }

  /** Kills the process, if it still runs, and waits for its exit. */
  async kill(): Promise<void> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null)
      return;
    this.signal('SIGKILL');
    await this.#exited;
  }
}
