/** The switches of the stand-in over HTTP, for tests in other processes. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody, readInt, sendJson, type Body} from './messages.js';
import type {StoreServer} from './server.js';

/** The paths of the switches begin so. */
export const CONTROL_PREFIX = '/standin/';

/** Sets one switch, or answers with the calls so far. */
export async function serveControlRequest(
  server: StoreServer,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const name = (req.url ?? '').slice(CONTROL_PREFIX.length);
  if (name === 'calls') return sendJson(res, 200, server.calls);
  const body = await readBody(req);
  switch (name) {
    case 'slow':
      server.faults.slowMs = readInt(body, 'ms');
      return sendJson(res, 200, {});
    case 'lostAnswers':
      server.faults.loseAnswers(readInt(body, 'count'));
      return sendJson(res, 200, {});
    case 'compact':
      server.compact();
      return sendJson(res, 200, {});
    case 'outage':
      return controlOutage(server, body, res);
    default:
      return sendJson(res, 404, {message: `no switch ${name}`});
  }
}

/** `{ms}` refuses connections for a time; `{on}` resets them until told. */
async function controlOutage(
  server: StoreServer,
  body: Body,
  res: ServerResponse,
): Promise<void> {
  const ms = readInt(body, 'ms');
  if (ms === 0) {
    if (body.on === true) await server.startOutage('reset');
    else await server.endOutage();
    return sendJson(res, 200, {});
  }
  // The answer goes first: the outage cuts this connection too.
  const answered = new Promise(resolve => res.once('close', resolve));
  sendJson(res, 200, {});
  await answered;
  await server.startTimedOutage(ms);
}
