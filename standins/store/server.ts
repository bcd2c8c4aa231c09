/** Store stand-in: serves a subset of the etcd v3 JSON gateway over HTTP. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {GROUPS_KEY, type GroupSpec} from '../../src/groups/types.js';
import {VM_LIST_KEY, type VmRecord} from '../../src/infra/vm-list.js';
import {ROUTES, type Route} from './calls.js';
import {CallCounts, Faults} from './faults.js';
import {Leases} from './leases.js';
import {GatewayError, readBody, sendJson, type Body} from './messages.js';
import {Revisions} from './revisions.js';
import {CONTROL_PREFIX, serveControlRequest} from './switches.js';
import {WatchStream} from './watch.js';

const HOST = '127.0.0.1';

/** Kind of outage: connections are refused, or accepted and reset. */
export type OutageKind = 'refuse' | 'reset';

/** Settings of a store stand-in. */
export interface StoreServerOptions {
  /** Port to listen on; a free port by default. */
  readonly port?: number;
  /** Initial list of the platform's VMs. */
  readonly vms?: readonly VmRecord[];
  /** Initial list of the platform's database groups. */
  readonly groups?: readonly GroupSpec[];
}

/**
 * Starts a stand-in for the platform's key-value store.
 *
 * @example
 * const server = await createStoreServer({vms});
 * const store = new EtcdStore({url: server.url});
 * await server.close();
 */
export async function createStoreServer(
  options: StoreServerOptions = {},
): Promise<StoreServer> {
  const server = new StoreServer();
  if (options.vms !== undefined) server.setVms(options.vms);
  if (options.groups !== undefined) server.setGroups(options.groups);
  await server.listen(options.port ?? 0);
  return server;
}

/** A running store stand-in. */
export class StoreServer {
  /** Injected faults; may be changed at any time. */
  readonly faults = new Faults();

  readonly #revisions = new Revisions();
  readonly #leases = new Leases(this.#revisions);
  readonly #calls = new CallCounts();
  readonly #watches = new Set<ServerResponse>();
  readonly #http: Server;
  #port = 0;
  #outageTimer: NodeJS.Timeout | undefined;

  constructor() {
    this.#http = createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
  }

  get port(): number {
    return this.#port;
  }

  get url(): string {
    return `http://${HOST}:${this.#port}`;
  }

  /** Number of open watches. */
  get openWatches(): number {
    return this.#watches.size;
  }

  /** Number of calls so far by kind, and of open watches. */
  get calls(): Readonly<Record<string, number>> {
    return {...this.#calls.snapshot(), openWatches: this.openWatches};
  }

  /** Replaces the platform's list of VMs. */
  setVms(vms: readonly VmRecord[]): void {
    this.put(VM_LIST_KEY, JSON.stringify(vms));
  }

  /** Replaces the platform's database groups. */
  setGroups(groups: readonly GroupSpec[]): void {
    this.put(GROUPS_KEY, JSON.stringify(groups));
  }

  /** Writes a key directly, regardless of injected faults. */
  put(key: string, value: string): void {
    const toBinary = (text: string) => Buffer.from(text).toString('latin1');
    const request = {key: toBinary(key), value: toBinary(value)};
    this.#revisions.put([{...request, lease: undefined}]);
  }

  /** Reads a key directly, regardless of injected faults. */
  get(key: string): string | undefined {
    const binaryKey = Buffer.from(key).toString('latin1');
    const entry = this.#revisions.get(binaryKey);
    if (entry === undefined) return undefined;
    return Buffer.from(entry.value, 'latin1').toString();
  }

  /** Discards the history below the current revision. */
  compact(): void {
    this.#revisions.compact(this.#revisions.revision);
  }

  async listen(port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#http.once('error', reject);
      this.#http.listen(port, HOST, () => {
        this.#http.off('error', reject);
        resolve();
      });
    });
    this.#port = (this.#http.address() as AddressInfo).port;
  }

  /** Starts an outage that lasts until {@link endOutage}. */
  async startOutage(kind: OutageKind): Promise<void> {
    if (kind === 'reset') {
      this.faults.reset = true;
      for (const watch of this.#watches) watch.destroy();
      return;
    }
    await this.#stopListening();
  }

  /** Refuses connections for `ms`. */
  async startTimedOutage(ms: number): Promise<void> {
    await this.startOutage('refuse');
    this.#outageTimer = setTimeout(() => void this.endOutage(), ms);
  }

  /** Ends an outage of either kind. */
  async endOutage(): Promise<void> {
    clearTimeout(this.#outageTimer);
    this.faults.reset = false;
    if (!this.#http.listening) await this.listen(this.#port);
  }

  async close(): Promise<void> {
    clearTimeout(this.#outageTimer);
    this.#leases.close();
    await this.#stopListening();
  }

  async #stopListening(): Promise<void> {
    if (!this.#http.listening) return;
    await new Promise<void>(resolve => {
      this.#http.close(() => resolve());
      this.#http.closeAllConnections();
    });
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const path = req.url ?? '/';
    if (path.startsWith(CONTROL_PREFIX))
      return serveControlRequest(this, req, res);
    if (this.faults.reset) {
      res.destroy();
      return;
    }
    const body = await readBody(req);
    if (path === '/v3/watch') return this.#serveWatch(body, res);
    const route = ROUTES.get(path);
    if (route === undefined) {
      return sendJson(res, 404, {code: 5, message: 'Not Found'});
    }
    await this.#serveCall(route, body, res);
  }

  async #serveCall(
    route: Route,
    body: Body,
    res: ServerResponse,
  ): Promise<void> {
    this.#calls.add(route.kind);
    const {status, answer, wrote} = this.#call(route, body);
    if (wrote && this.faults.consumeLostAnswer()) {
      res.destroy();
      return;
    }
    await delay(this.faults.slowMs);
    if (this.faults.reset) res.destroy();
    else sendJson(res, status, answer);
  }

  #call(route: Route, body: Body) {
    try {
      const {body: answer, wrote} = route.handle(
        {revisions: this.#revisions, leases: this.#leases},
        body,
      );
      return {status: 200, answer, wrote};
    } catch (err) {
      if (!(err instanceof GatewayError)) throw err;
      const {status, code, message} = err;
      return {status, answer: {error: message, code, message}, wrote: false};
    }
  }

  async #serveWatch(body: Body, res: ServerResponse): Promise<void> {
    this.#calls.add('watch');
    await delay(this.faults.slowMs);
    this.#watches.add(res);
    res.on('close', () => this.#watches.delete(res));
    new WatchStream(this.#revisions, res, body).start();
  }
}

async function delay(ms: number): Promise<void> {
  if (ms > 0) await new Promise(resolve => setTimeout(resolve, ms));
}
