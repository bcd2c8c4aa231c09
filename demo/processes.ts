/** Child processes of the demo, the benches and the process tests. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** `dist`, whether this runs compiled or under the test runner. */
const DIST = join(
  dirname(fileURLToPath(import.meta.url)).replace(
    /[/\\]dist[/\\]demo$|[/\\]demo$/,
    '',
  ),
  'dist',
);
const START_TIMEOUT_MS = 20_000;
const FIRST_PORT = 10_000;
const PORTS = 20_000;

/** Processes still running, ended with this one whatever ends it. */
const running = new Set<ChildProcess>();
process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** One process and what it wrote to standard error. */
export class FleetProcess {
  readonly #child: ChildProcess;
  #errors = '';
  #output = '';
  readonly #exited: Promise<void>;

  /**
   * @param script path under `dist`
   * @param args its command line
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
    this.#child.stderr?.on('data', chunk => (this.#errors += String(chunk)));
    running.add(this.#child);
    this.#child.once('exit', () => running.delete(this.#child));
    this.#exited = new Promise(resolve =>
      this.#child.once('exit', () => resolve()),
    );
  }

  get pid(): number {
    return this.#child.pid ?? -1;
  }

  /** What it wrote to standard error: the log. */
  get log(): string {
    return this.#errors;
  }

  /** What it wrote to standard output. */
  get output(): string {
    return this.#output;
  }

  /** Resolves once `text` has been written to either stream. */
  async waitFor(text: string): Promise<void> {
    const until = Date.now() + START_TIMEOUT_MS;
    while (!this.#output.includes(text) && !this.#errors.includes(text)) {
      if (this.#child.exitCode !== null || Date.now() > until) {
        throw new Error(`process did not write "${text}":\n${this.#errors}`);
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  signal(name: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#child.kill(name);
  }

  /** Resolves at the process's end. */
  exited(): Promise<void> {
    return this.#exited;
  }

  async kill(): Promise<void> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null)
      return;
    this.signal('SIGKILL');
    await this.#exited;
  }
}

/**
 * Finds free ports on the loopback interface, below those that the system gives
 * to outgoing connections: such a connection could take one before its use.
 */
export async function findPorts(count: number): Promise<readonly number[]> {
  const servers: Server[] = [];
  while (servers.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    const server = await tryListen(port);
    if (server !== undefined) servers.push(server);
  }
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Undefined if the port is taken. */
function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}
