/** Starts the bundled program as a process, with a settings file of its own. */
import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Platform} from './fixture.js';

/** The ports of every node; nodes differ in their addresses. */
export const PORTS = {
  callers: 9_801,
  ready: 9_802,
  peers: 9_803,
  metrics: 9_464,
};

/** Settings of a process that differ from the defaults. */
export interface NodeProcessOptions {
  readonly platform: Platform;
  /** Number of the node, from 0. */
  readonly n?: number;
  /** Edits the settings file. */
  readonly changes?: (text: string) => string;
  /** Options of Node.js. */
  readonly flags?: readonly string[];
}

/** Builds the program into a folder of its own; returns its path. */
export function bundleProgram(): string {
  const dir = mkdtempSync(join(tmpdir(), 'zinnia-'));
  const program = join(dir, 'zinnia-platform.mjs');
  const args = ['run', '--silent', 'bundle', '--', `--outfile=${program}`];
  execFileSync('npm', args);
  return program;
}

/** An address of this process and node alone: the ports of the program are fixed. */
export function hostOf(n: number): string {
  const {pid} = process;
  return `127.${(pid >> 16) + 128 * Math.min(n, 1) + n}.${(pid >> 8) & 255}.${pid & 255}`;
}

/** A process of the program. */
export class NodeProcess {
  readonly host: string;
  readonly settingsPath: string;
  readonly child: ChildProcess;
  /** What the process has written. */
  readonly output: string[] = [];
  readonly #exit: Promise<number | null>;

  constructor(
    program: string,
    {platform, n = 0, changes = text => text, flags = []}: NodeProcessOptions,
  ) {
    this.host = hostOf(n);
    const dir = mkdtempSync(join(tmpdir(), 'zinnia-node-'));
    this.settingsPath = join(dir, 'boot.conf');
    const text = `node_name=node-${n + 1}
ip=${this.host}
zone=hobart
listen_addrs.front=${this.host}:${PORTS.callers}
listen_addrs.ready=${this.host}:${PORTS.ready}
internal_ports=${PORTS.peers},${PORTS.peers + 10}
platform.address=127.0.0.1:${platform.store.port}
cloud.address=127.0.0.1:${platform.duties.port}
bounds.grace_s=3
`;
    writeFileSync(this.settingsPath, changes(text));
    this.child = spawn(process.execPath, [...flags, program], {
      env: {...process.env, ZINNIAARCH_BOOT: this.settingsPath},
    });
    this.child.stdout?.on('data', chunk => this.output.push(String(chunk)));
    this.child.stderr?.on('data', chunk => this.output.push(String(chunk)));
    this.#exit = once(this.child, 'exit').then(([code]) => code as number);
  }

  /** Whether the process has not ended. */
  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** All that the process has written. */
  get text(): string {
    return this.output.join('');
  }

  kill(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Resolves to the exit code; null if a signal ended the process. */
  exited(): Promise<number | null> {
    return this.#exit;
  }

  /** HTTP status of the readiness probe; 0 if there is no answer. */
  readiness(): Promise<number> {
    return statusOf(`http://${this.host}:${PORTS.ready}/readiness`);
  }
}

/** HTTP status of a GET request; 0 if it fails. */
async function statusOf(url: string): Promise<number> {
  return fetch(url).then(
    res => res.status,
    () => 0,
  );
}
