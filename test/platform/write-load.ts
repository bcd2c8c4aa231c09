/** Callers that write at every node of a test fleet. */
import {sleep, type Platform} from './fixture.js';
import type {LineClient} from './line-client.js';

const WRITE_INTERVAL_MS = 10;

/** One caller at each node, which writes again and again until it is stopped. */
export class WriteLoad {
  /** The last lines of all replies so far; a closed connection has one as well. */
  readonly replies: string[] = [];
  readonly #running: Promise<unknown>;
  #isOver = false;

  private constructor(clients: readonly LineClient[]) {
    this.#running = Promise.all(clients.map(client => this.#write(client)));
  }

  /** Opens the callers' sessions and begins to write. */
  static async start(platform: Platform): Promise<WriteLoad> {
    const clients = await Promise.all(
      platform.nodes.map((_, at) => platform.session('now red-key', at)),
    );
    return new WriteLoad(clients);
  }

  /** Resolves once no write is under way any more. */
  async stop(): Promise<void> {
    this.#isOver = true;
    await this.#running;
  }

  async #write(client: LineClient): Promise<void> {
    for (let n = 0; !this.#isOver; n++) {
      const {end} = await client.query(`WRITE a ${n}`).catch(connectionClosed);
      this.replies.push(end);
      await sleep(WRITE_INTERVAL_MS);
    }
  }
}

function connectionClosed(): {readonly end: string} {
  return {end: 'the connection is closed'};
}
