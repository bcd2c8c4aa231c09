/** HTTP server of a database: test controls, and replication for its peers. */
import http from 'node:http';
import type {Position} from '../../src/session/position.js';
import type {DatabaseCore} from './core.js';
import type {OrderKind, OrderPhase} from './order-gates.js';
import {DATABASE_HEADER} from './peer-client.js';
import {ENTRIES_PATH, STATE_PATH} from './replication-messages.js';
import {servePull, readPeerState} from './replication-source.js';

/** Body of a POST request; each path uses some of the fields. */
interface AdminRequestBody {
  readonly ms?: number;
  readonly from?: readonly string[];
  readonly order?: OrderKind;
  readonly moment?: OrderPhase;
  readonly orderer?: string;
}

type Handler = (url: URL, order: AdminRequestBody) => unknown;

/** Creates the server without starting to listen. */
export function createAdminServer(core: DatabaseCore): http.Server {
  const handlers = adminHandlers(core);
  return http.createServer((req, res) => {
    serve(core, handlers, req, res).catch(() => res.destroy());
  });
}

async function serve(
  core: DatabaseCore,
  handlers: ReadonlyMap<string, Handler>,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? '/', 'http://localhost');
  if (url.pathname === STATE_PATH || url.pathname === ENTRIES_PATH) {
    return serveReplication(core, url, req, res);
  }
  const handler = handlers.get(`${req.method} ${url.pathname}`);
  if (handler === undefined) return reply(res, 404, {error: 'unknown path'});
  const body = await readBody(req);
  try {
    const order = (body === '' ? {} : JSON.parse(body)) as AdminRequestBody;
    reply(res, 200, handler(url, order) ?? {ok: true});
  } catch (err) {
    reply(res, 400, {error: String(err)});
  }
}

async function serveReplication(
  core: DatabaseCore,
  url: URL,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): Promise<void> {
  const peer = String(req.headers[DATABASE_HEADER]);
  if (core.peers.isBlocked(peer)) return void res.destroy();
  await core.gate.waitUntilOpen();
  const answer =
    url.pathname === STATE_PATH
      ? readPeerState(core.member)
      : await servePull(core.member, readPosition(url));
  await core.gate.waitUntilOpen();
  if (core.peers.isBlocked(peer)) return void res.destroy();
  reply(res, 200, answer);
}

function adminHandlers(core: DatabaseCore): ReadonlyMap<string, Handler> {
  return new Map<string, Handler>([
    ['POST /partition', (_url, {from}) => core.peers.block(from ?? [])],
    ['POST /freeze', (_url, order) => core.gate.freeze(readMs(order))],
    ['POST /silence', () => core.silenceConnections()],
    ['POST /lag', (_url, order) => core.member.setLag(readMs(order))],
    [
      'POST /service',
      (_url, order) => core.runner.setServiceTime(readMs(order)),
    ],
    ['POST /hold', (_url, order) => holdOrders(core, order)],
    ['POST /narrow', (_url, {orderer}) => narrowHolds(core, orderer)],
    ['GET /held', () => core.member.orders.held],
    ['GET /status', () => core.member.status()],
    ['GET /log', () => core.member.log.after(0)],
    [
      'GET /rows',
      url => [...core.member.rows.rows(url.searchParams.get('table') ?? '')],
    ],
    ['GET /counts', () => core.counts()],
    ['GET /seen', () => core.seenCredentials()],
  ]);
}

function narrowHolds(core: DatabaseCore, orderer: unknown): void {
  core.member.orders.narrow(String(orderer));
}

function holdOrders(core: DatabaseCore, body: AdminRequestBody): void {
  const {order: kind = 'fence', moment = 'before', orderer = ''} = body;
  core.member.orders.hold({kind, moment, orderer}, readMs(body));
}

function readMs({ms}: AdminRequestBody): number {
  if (typeof ms === 'number' && ms >= 0) return ms;
  throw new Error('send {"ms": a number of milliseconds}');
}

function readPosition(url: URL): Position {
  const read = (name: string) => Number(url.searchParams.get(name));
  return {term: read('term'), offset: read('offset')};
}

async function readBody(req: http.IncomingMessage): Promise<string> {
  let body = '';
  for await (const chunk of req) body += String(chunk);
  return body;
}

function reply(res: http.ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}
