/** Ports for the processes and nodes that demos, benchmarks and tests start. */
import {createServer, type Server} from 'node:net';

const HOST = '127.0.0.1';
/**
 * All ports lie below the ephemeral range: an outgoing connection could take an
 * ephemeral port before its process listens. They lie above port 10080, to which
 * `fetch` never connects.
 */
const FIRST_PORT = 10_400;
const PORTS_PER_BLOCK = 400;
const BLOCKS = 50;

/** First port of the block of this process. */
let block: Promise<number> | undefined;
let used = 0;

/**
 * Finds free ports on the loopback interface. They come from a block that no
 * other process uses meanwhile, since a port is free until its process listens.
 *
 * @throws Error if no block or too few of its ports are free
 */
export async function findPorts(count: number): Promise<readonly number[]> {
  block ??= claimBlock();
  const firstPort = await block;
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > PORTS_PER_BLOCK) {
      throw new Error(`only ${ports.length} of ${count} ports are free`);
    }
    // The first one holds the claim.
    const port = firstPort + 1 + used;
    used = (used + 1) % (PORTS_PER_BLOCK - 1);
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * Claims a block by listening on its first port, which only one process can and
 * which ends with the process, however that ends.
 */
async function claimBlock(): Promise<number> {
  for (let n = 0; n < BLOCKS; n++) {
    const firstPort = FIRST_PORT + n * PORTS_PER_BLOCK;
    const claim = await listen(firstPort);
    if (claim === undefined) continue;
    claim.unref();
    return firstPort;
  }
  throw new Error(
    'all blocks of ports are in use; end a process that uses one',
  );
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (server === undefined) return false;
  await new Promise(resolve => server.close(resolve));
  return true;
}

/** Listens on a port; undefined if it is in use. */
function listen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}
