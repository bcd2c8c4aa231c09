/** Runs the operators' commands in this process against a stand-in store. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {vi} from 'vitest';
import yargs from 'yargs';
import {configurationCommands} from '../../src/cli/commands.js';
import type {VmRecord} from '../../src/platform/vm-list.js';

/** What a command printed and how it ended. */
export interface CliRun {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

/** Runs one command line. */
export async function runCli(
  url: string,
  ...args: readonly string[]
): Promise<CliRun> {
  const out: string[] = [];
  const err: string[] = [];
  const log = vi.spyOn(console, 'log').mockImplementation(line => {
    out.push(String(line));
  });
  const error = vi.spyOn(console, 'error').mockImplementation(line => {
    err.push(String(line));
  });
  vi.stubEnv('ZINNIA_STORE', url);
  vi.stubEnv('ZINNIA_BY', 'ana');
  process.exitCode = undefined;
  try {
    const cli = yargs().strict().exitProcess(false).fail(false);
    for (const command of configurationCommands) cli.command(command);
    await cli.parseAsync([...args]);
    const code = Number(process.exitCode ?? 0);
    return {code, out: out.join('\n'), err: err.join('\n')};
  } finally {
    process.exitCode = undefined;
    vi.unstubAllEnvs();
    log.mockRestore();
    error.mockRestore();
  }
}

/** A VM's admin port that says which configuration version is in force. */
export class FakeAdmin {
  config = 0;
  readonly id: string;
  readonly #http: Server;
  #port = 0;

  constructor(id: string) {
    this.id = id;
    this.#http = createServer((_req, res) => {
      res.end(JSON.stringify({vm: this.id, config: this.config}));
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>(resolve =>
      this.#http.listen(0, '127.0.0.1', resolve),
    );
    this.#port = (this.#http.address() as AddressInfo).port;
  }

  get vm(): VmRecord {
    return {
      id: this.id,
      host: '127.0.0.1',
      peerPort: 1,
      adminPort: this.#port,
      dataCentre: 'hobart',
      state: 'live',
    };
  }

  async close(): Promise<void> {
    await new Promise<void>(resolve => {
      this.#http.close(() => resolve());
      this.#http.closeAllConnections();
    });
  }
}
