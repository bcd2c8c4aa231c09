/** TCP server of the PostgreSQL front end; accepts callers' connections. */
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
  authenticationCleartextPassword,
  authenticationOk,
  backendKeyData,
  errorResponse,
  negotiateVersion,
  parameterStatus,
  type ErrorFields,
} from './messages.js';
import {REPORTED_PARAMETERS, SessionParameters} from './session-parameters.js';
import {ProtocolError} from './socket-reader.js';
import {
  parseOptions,
  readStartup,
  type CancelKey,
  type Startup,
} from './startup.js';
import type {Authority, SessionDeps} from './types.js';

const MAX_PASSWORD_BYTES = 4_096;
/** Time within which a caller must complete start-up and authentication. */
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

/** Settings of the server. */
export interface CallerServerOptions {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
  readonly maxCallers: number;
  readonly tls: SecureContext | undefined;
  readonly deps: SessionDeps;
  /** Called with a cancel request whose key is not of a session at this VM. */
  readonly forwardCancel: (key: CancelKey) => void;
}

/** Accepts and authenticates callers and runs their sessions. */
export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  readonly #sessions = new Set<CallerSession>();
  readonly #cancelKeys: CancelKeys<CallerSession>;
  readonly #sockets = new Set<Socket>();
  #draining = false;
  #onEmpty: (() => void) | undefined;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.#cancelKeys = new CancelKeys(options.vm);
    this.#server = createServer(
      {noDelay: true, keepAlive: true},
      socket => void this.#serveConnection(socket),
    );
  }

  /** The port that the server listens on; valid only while it listens. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Number of open sessions. */
  get sessions(): number {
    return this.#sessions.size;
  }

  /** Starts to listen; resolves when the port is open. */
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

  /** Cancels a session's running statement; false if no session has the key. */
  cancel(key: CancelKey): boolean {
    const session = this.#cancelKeys.find(key);
    session?.cancel();
    return session !== undefined;
  }

  /** Ends every session for which `refusalOf` returns a refusal. */
  closeRevoked(refusalOf: (authority: Authority) => NotRun | undefined): void {
    for (const session of this.#sessions) {
      const refusal = refusalOf(session.authority);
      if (refusal !== undefined) {
        session.close({...toErrorFields(refusal), severity: 'FATAL'}, false);
      }
    }
  }

  /**
   * Refuses new callers and ends each session once it has no running statement
   * or open transaction. Then, or after `drainMs`, destroys the remaining
   * connections. Resolves to the number of sessions cut off by the timeout.
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
    const empty = new Promise<void>(resolve => (this.#onEmpty = resolve));
    const timeout = this.#options.deps.clock.sleep(drainMs, stop.signal);
    await Promise.race([empty, timeout]);
    stop.abort();
    return this.#sessions.size;
  }

  async #serveConnection(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.#sockets.delete(socket));
    const timer = setTimeout(() => socket.destroy(), STARTUP_TIMEOUT_MS);
    try {
      const startup = await readStartup(socket, this.#options.tls);
      if (startup.kind === 'cancel') this.#cancelOrForward(startup.key);
      if (startup.kind !== 'session') return endSocket(socket);
      startup.socket.on('error', () => socket.destroy());
      await this.#startSession(startup, timer);
    } catch (err) {
      this.#rejectConnection(socket, err);
    } finally {
      clearTimeout(timer);
    }
  }

  #rejectConnection(socket: Socket, err: unknown): void {
    const message = err instanceof Error ? err.message : String(err);
    const known = err instanceof ProtocolError;
    if (!known) this.#options.deps.log.error('callerFailed', {message});
    if (socket.destroyed) return;
    const verdict = notRun('badRequest', known ? message : 'internal error');
    endSocket(socket, errorResponse(toErrorFields(verdict)));
  }

  #cancelOrForward(key: CancelKey): void {
    if (!this.cancel(key)) this.#options.forwardCancel(key);
  }

  async #startSession(
    startup: Extract<Startup, {kind: 'session'}>,
    timer: NodeJS.Timeout,
  ): Promise<void> {
    const {socket} = startup;
    const refusal = this.#admissionError();
    if (refusal !== undefined) return endSocket(socket, errorResponse(refusal));
    const authority = await this.#authenticate(startup);
    clearTimeout(timer);
    if (authority === undefined) return;
    const {signer, deadlineMs} = this.#options.deps;
    const parameters = new SessionParameters(signer, deadlineMs);
    const fault = applyStartupParameters(parameters, startup.params);
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
      socket.write(startupResponse(startup, key));
      await session.run();
    } finally {
      this.#cancelKeys.revoke(key);
      this.#sessions.delete(session);
      if (this.#sessions.size === 0) this.#onEmpty?.();
    }
  }

  #admissionError(): ErrorFields | undefined {
    if (this.#draining) return SHUTDOWN;
    if (this.#sessions.size < this.#options.maxCallers) return undefined;
    return {
      severity: 'FATAL',
      sqlstate: TOO_MANY_CONNECTIONS,
      message: `this VM serves ${this.#options.maxCallers} callers already`,
      detail: `outcome=not_run reason=overloaded retry_after_ms=${TOO_MANY_RETRY_MS}`,
    };
  }

  /** Checks the caller's key; sends the error and returns undefined on failure. */
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
    socket.write(authenticationCleartextPassword());
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

function applyStartupParameters(
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

function startupResponse(
  startup: Extract<Startup, {kind: 'session'}>,
  key: CancelKey,
): Buffer {
  const unknown = [...startup.params.keys()].filter(n => n.startsWith('_pq_.'));
  const negotiate =
    startup.minor > 0 || unknown.length > 0 ? [negotiateVersion(unknown)] : [];
  const reports = [...REPORTED_PARAMETERS].map(([n, v]) =>
    parameterStatus(n, v),
  );
  return Buffer.concat([
    ...negotiate,
    authenticationOk(),
    ...reports,
    backendKeyData(key.processId, key.secret),
  ]);
}
