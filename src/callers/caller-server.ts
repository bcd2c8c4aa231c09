/** The port for callers: one task for each connection. */
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from 'node:net';
import type {SecureContext} from 'node:tls';
import {toErrorFields} from '../verdict/sqlstate.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import {BodyReader} from './body-reader.js';
import {CallerSession} from './caller-session.js';
import {CancelKeys} from './cancel-keys.js';
import {endSocket} from './end-socket.js';
import {
  askCleartextPassword,
  authenticationOk,
  backendKeyData,
  errorResponse,
  negotiateVersion,
  parameterStatus,
  type ErrorFields,
} from './messages.js';
import {REPORTED_DEFAULTS, SessionParameters} from './session-parameters.js';
import {ProtocolError} from './socket-reader.js';
import {
  parseOptions,
  readStartup,
  type CancelKey,
  type Startup,
} from './startup.js';
import type {Authority, SessionDeps} from './types.js';

const MAX_PASSWORD_BYTES = 4_096;
/** A caller that has not finished its start-up by then is disconnected. */
const STARTUP_TIMEOUT_MS = 10_000;
const TOO_MANY_CONNECTIONS = '53300';
const TOO_MANY_RETRY_MS = 1_000;
const SHUTDOWN: ErrorFields = toErrorFields(
  notRun(
    'shuttingDown',
    'this VM is leaving; the session may go on at another',
    0,
  ),
);

/** Settings of the callers' port. */
export interface CallerServerOptions {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
  readonly maxCallers: number;
  readonly tls: SecureContext | undefined;
  readonly deps: SessionDeps;
  /** Called with cancel requests for sessions of other VMs. */
  readonly forwardCancel: (key: CancelKey) => void;
}

/** Accepts callers and keeps their sessions. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #sessions = new Set<CallerSession>();
  readonly #cancelKeys: CancelKeys<CallerSession>;
  readonly #sockets = new Set<Socket>();
  #draining = false;
  #whenEmpty: (() => void) | undefined;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#cancelKeys = new CancelKeys(options.vm);
    this.#server = createServer(
      {noDelay: true, keepAlive: true},
      socket => void this.#serve(socket),
    );
  }

  /** The port that it listens on; known once open. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Sessions that are open. */
  get sessions(): number {
    return this.#sessions.size;
  }

  /** Resolves once the port is open. */
  listen(): Promise<void> {
    const {port, host} = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  /** Cancels the statement of a session of this VM; false if not found. */
  cancel(key: CancelKey): boolean {
    const session = this.#cancelKeys.find(key);
    session?.cancel();
    return session !== undefined;
  }

  /** Ends every session whose authority no longer holds. */
  closeRevoked(refusalOf: (authority: Authority) => NotRun | undefined): void {
    for (const session of this.#sessions) {
      const refusal = refusalOf(session.authority);
      if (refusal !== undefined) {
        session.close({...toErrorFields(refusal), severity: 'FATAL'}, false);
      }
    }
  }

  /**
   * Takes no new callers, lets running statements and open transactions end,
   * then closes; sessions left after `drainMs` are cut.
   */
  async drain(drainMs: number): Promise<number> {
    this.#draining = true;
    this.#server.close();
    for (const session of this.#sessions) session.close(SHUTDOWN, true);
    const cut = await this.#waitUntilEmpty(drainMs);
    for (const socket of this.#sockets) socket.destroy();
    return cut;
  }

  async #waitUntilEmpty(drainMs: number): Promise<number> {
    if (this.#sessions.size === 0) return 0;
    const stop = new AbortController();
    const empty = new Promise<void>(resolve => (this.#whenEmpty = resolve));
    const late = this.#options.deps.clock.sleep(drainMs, stop.signal);
    await Promise.race([empty, late]);
    stop.abort();
    return this.#sessions.size;
  }

  async #serve(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
    const timer = setTimeout(() => socket.destroy(), STARTUP_TIMEOUT_MS);
    try {
      const startup = await readStartup(socket, this.#options.tls);
      if (startup.kind === 'cancel') this.#cancelAnywhere(startup.key);
      if (startup.kind !== 'session') return endSocket(socket);
      startup.socket.on('error', () => socket.destroy());
      await this.#startSession(startup, timer);
    } catch (err) {
      this.#rejectProtocol(socket, err);
    } finally {
      clearTimeout(timer);
    }
  }

  #rejectProtocol(socket: Socket, err: unknown): void {
    const message = err instanceof Error ? err.message : String(err);
    const known = err instanceof ProtocolError;
    if (!known) this.#options.deps.log.error('callerFailed', {message});
    if (socket.destroyed) return;
    const verdict = notRun('badRequest', known ? message : 'internal error');
    endSocket(socket, errorResponse(toErrorFields(verdict)));
  }

  #cancelAnywhere(key: CancelKey): void {
    if (!this.cancel(key)) this.#options.forwardCancel(key);
  }

  async #startSession(
    startup: Extract<Startup, {kind: 'session'}>,
    timer: NodeJS.Timeout,
  ): Promise<void> {
    const {socket} = startup;
    const refusal = this.#refusalAtStart();
    if (refusal !== undefined) return endSocket(socket, errorResponse(refusal));
    const authority = await this.#authenticate(startup);
    clearTimeout(timer);
    if (authority === undefined) return;
    const {signer, deadlineMs} = this.#options.deps;
    const parameters = new SessionParameters(signer, deadlineMs);
    const fault = applyStartup(parameters, startup.params);
    if (fault !== undefined) return endSocket(socket, errorResponse(fault));
    const session = new CallerSession(
      startup,
      this.#options.deps,
      authority,
      parameters,
    );
    const key = this.#cancelKeys.issue(session);
    this.#sessions.add(session);
    try {
      socket.write(greeting(startup, key));
      await session.run();
    } finally {
      this.#cancelKeys.forget(key);
      this.#sessions.delete(session);
      if (this.#sessions.size === 0) this.#whenEmpty?.();
    }
  }

  #refusalAtStart(): ErrorFields | undefined {
    if (this.#draining) return SHUTDOWN;
    if (this.#sessions.size < this.#options.maxCallers) return undefined;
    return {
      severity: 'FATAL',
      sqlstate: TOO_MANY_CONNECTIONS,
      message: `this VM serves ${this.#options.maxCallers} callers already`,
      detail: `outcome=not_run reason=overloaded retry_after_ms=${TOO_MANY_RETRY_MS}`,
    };
  }

  /** Checks the caller's key; answers and returns undefined if it fails. */
  async #authenticate(
    startup: Extract<Startup, {kind: 'session'}>,
  ): Promise<Authority | undefined> {
    const {socket, reader, params} = startup;
    const {access} = this.#options.deps;
    const team = params.get('user') ?? '';
    const database = params.get('database') ?? team;
    const route = access.route(database);
    if (route.kind === 'refused') {
      endSocket(socket, errorResponse(toErrorFields(route.verdict)));
      return undefined;
    }
    if (route.kind === 'open') return access.openAuthority(database);
    socket.write(askCleartextPassword());
    const frame = await reader.readFrame(MAX_PASSWORD_BYTES);
    if (frame === undefined) return undefined;
    if (frame.type !== 'p') {
      throw new ProtocolError('a password message was expected');
    }
    const key = new BodyReader(frame.body).cstring();
    const outcome = access.authenticate(team, database, key);
    if (outcome.kind === 'accepted') return outcome.authority;
    endSocket(socket, errorResponse(toErrorFields(outcome.verdict)));
    return undefined;
  }
}

function applyStartup(
  parameters: SessionParameters,
  params: ReadonlyMap<string, string>,
): ErrorFields | undefined {
  const reserved = new Set(['user', 'database', 'options', 'replication']);
  const options = parseOptions(params.get('options') ?? '');
  for (const [name, value] of [...params, ...options]) {
    if (reserved.has(name) || name.startsWith('_pq_.')) continue;
    const fault = parameters.set(name, value);
    if (fault !== undefined) return {severity: 'FATAL', ...fault};
  }
  return undefined;
}

function greeting(
  startup: Extract<Startup, {kind: 'session'}>,
  key: CancelKey,
): Buffer {
  const unknown = [...startup.params.keys()].filter(n => n.startsWith('_pq_.'));
  const negotiate =
    startup.minor > 0 || unknown.length > 0 ? [negotiateVersion(unknown)] : [];
  const reports = [...REPORTED_DEFAULTS].map(([n, v]) => parameterStatus(n, v));
  return Buffer.concat([
    ...negotiate,
    authenticationOk(),
    ...reports,
    backendKeyData(key.processId, key.secret),
  ]);
}
