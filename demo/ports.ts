/** Ports for the processes and nodes that demos, benchmarks and tests start. */
import {mkdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/**
 * All ports lie below the ephemeral range: an outgoing connection could take an
 * ephemeral port before its process listens.
 */
const FIRST_PORT = 10_000;
const PORTS_PER_BLOCK = 400;
const BLOCKS = 50;
const CLAIMS = join(tmpdir(), 'zinnia-ports');
const OWNER_FILE = 'pid';

let block: number | undefined;
let used = 0;

/**
 * Finds free ports on the loopback interface. They come from a block that no
 * other process uses meanwhile, since a port is free until its process listens.
 *
 * @throws Error if no block or too few of its ports are free
 */
export async function findPorts(count: number): Promise<readonly number[]> {
  block ??= claimBlock();
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > PORTS_PER_BLOCK) {
      throw new Error(`only ${ports.length} of ${count} ports are free`);
    }
    const port = FIRST_PORT + block * PORTS_PER_BLOCK + used;
    used = (used + 1) % PORTS_PER_BLOCK;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/** Claims a block by creating its directory, which only one process can. */
function claimBlock(): number {
  mkdirSync(CLAIMS, {recursive: true});
  for (let n = 0; n < BLOCKS; n++) {
    const claim = join(CLAIMS, String(n));
    removeStale(claim);
    try {
      mkdirSync(claim);
    } catch {
      continue;
    }
    writeFileSync(join(claim, OWNER_FILE), String(process.pid));
    process.once('exit', () => rmSync(claim, {recursive: true, force: true}));
    return n;
  }
  throw new Error(
    `all blocks of ports are in use; remove stale ones in ${CLAIMS}`,
  );
}

/** Removes the claim of a process that ended without removing it. */
function removeStale(claim: string): void {
  let owner: number;
  try {
    owner = Number(readFileSync(join(claim, OWNER_FILE), 'utf8'));
  } catch {
    // Not claimed, or its owner is about to write the file.
    return;
  }
  if (owner > 0 && !isRunning(owner)) rmSync(claim, {recursive: true});
}

function isRunning(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch (err) {
    return (err as NodeJS.ErrnoException).code === 'EPERM';
  }
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
