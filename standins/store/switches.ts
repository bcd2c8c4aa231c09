/** HTTP interface to the injected faults, for tests in other processes. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readBody, readInt, sendJson, type Body} from './messages.js';
import type {StoreServer} from './server.js';

/** Path prefix of the control requests. */
export const CONTROL_PREFIX = '/standin/';

/** Serves a control request: injects a fault or returns the call counts. */
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

/**
 * `{ms}` refuses connections for that time. `{on: true}` resets them until a
 * request without it.
 */
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
  // The response is sent first, as the outage also closes this connection.
  const answered = new Promise(resolve => res.once('close', resolve));
  sendJson(res, 200, {});
  await answered;
  await server.startTimedOutage(ms);
}
