/** Pool of connections to other nodes: one per node, opened on demand. */

import {SystemClock, type Clock} from '../infra/clock.js';
import {DEFAULT_MAX_FRAME_BYTES} from './framing.js';
import {ignorePeerLog, type PeerLog} from './peer-log.js';
import {ignorePeerTraffic, type PeerTraffic} from './peer-traffic.js';
import {
  ClientConnection,
  type ClientConnectionOptions,
} from './client-connection.js';
import {
  PeerError,
  type CallOptions,
  type PeerAddress,
  type PeerCaller,
} from './types.js';

/** Default time limit of connecting and the handshake. */
export const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Default time after which a connection without calls is closed. */
export const DEFAULT_IDLE_CLOSE_MS = 5_000;

/** Time limit and cancellation of connecting. */
export type ConnectOptions = Pick<CallOptions, 'timeoutMs' | 'signal'>;

/** A connection outside the pool; its opener must close it. */
export interface DedicatedConnection {
  call(method: string, body: unknown, options: CallOptions): Promise<unknown>;
  close(): void;
}

/**
 * Can also open dedicated connections, which tell whether a node is reachable
 * even if its pooled connection is broken.
 */
export interface PeerConnector extends PeerCaller {
  /** Opens a new connection besides the pooled one; rejects with `notSent`. */
  openDedicated(
    to: PeerAddress,
    options: ConnectOptions,
  ): Promise<DedicatedConnection>;
}

/** Options of a {@link PeerPool}. */
export interface PeerPoolOptions {
  /** VM id of the calling node. */
  readonly self: string;
  readonly clock?: Clock;
  readonly peerSecret?: string;
  readonly connectTimeoutMs?: number;
  readonly idleCloseMs?: number;
  readonly maxFrameBytes?: number;
  readonly log?: PeerLog;
  /** Counts the bytes sent. */
  readonly traffic?: PeerTraffic;
}

interface PoolEntry {
  readonly address: PeerAddress;
  readonly opening: Promise<ClientConnection>;
  connection?: ClientConnection;
}

/** The outgoing connections of one node. */
export class PeerPool implements PeerConnector {
  readonly #clock: Clock;
  readonly #idleCloseMs: number;
  readonly #connectionOptions: Omit<ClientConnectionOptions, 'peer'>;
  readonly #entries = new Map<string, PoolEntry>();
  readonly #closed = new AbortController();
  #isClosingIdle = false;
  #unmatchedAnswers = 0;

  /**
   * @example
   * const pool = new PeerPool({self: 'vm-1'});
   * const answer = await pool.call(address, 'status', {}, {timeoutMs: 500});
   */
  constructor(options: PeerPoolOptions) {
    this.#clock = options.clock ?? new SystemClock();
    this.#idleCloseMs = options.idleCloseMs ?? DEFAULT_IDLE_CLOSE_MS;
    this.#connectionOptions = {
      self: options.self,
      clock: this.#clock,
      connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
      maxFrameBytes: options.maxFrameBytes ?? DEFAULT_MAX_FRAME_BYTES,
      peerSecret: options.peerSecret,
      log: options.log ?? ignorePeerLog,
      traffic: options.traffic ?? ignorePeerTraffic,
    };
  }

  /** Number of connections that are open or being opened. */
  get size(): number {
    return this.#entries.size;
  }

  /** Number of answers that matched no pending call, on all connections so far. */
  get unmatchedAnswers(): number {
    let count = this.#unmatchedAnswers;
    for (const {connection} of this.#entries.values()) {
      count += connection?.unmatchedAnswers ?? 0;
    }
    return count;
  }

  async call(
    to: PeerAddress,
    method: string,
    body: unknown,
    options: CallOptions,
  ): Promise<unknown> {
    this.#checkOpen();
    const open = this.#findUsableConnection(to);
    if (open !== undefined) return open.call(method, body, options);
    const startMs = this.#clock.now();
    let connection = await this.#waitForConnection(
      this.#ensureConnection(to),
      to,
      options,
    );
    if (!connection.usable) {
      const remaining = this.#withRemainingTime(options, startMs);
      connection = await this.#waitForConnection(
        this.#ensureConnection(to),
        to,
        remaining,
      );
    }
    return connection.call(
      method,
      body,
      this.#withRemainingTime(options, startMs),
    );
  }

  async openDedicated(
    to: PeerAddress,
    options: ConnectOptions,
  ): Promise<DedicatedConnection> {
    this.#checkOpen();
    const opening = ClientConnection.open({
      ...this.#connectionOptions,
      peer: to,
    });
    try {
      return await this.#waitForConnection(opening, to, options);
    } catch (err) {
      opening.then(
        connection => connection.close(),
        () => {},
      );
      throw err;
    }
  }

  /** Closes every connection; pending calls fail with `lost`. */
  close(): void {
    this.#closed.abort();
    for (const entry of [...this.#entries.values()]) {
      this.#removeEntry(entry);
      entry.connection?.close();
    }
  }

  #checkOpen(): void {
    if (!this.#closed.signal.aborted) return;
    throw new PeerError('notSent', 'this node is closing its connections');
  }

  /** Returns the connection to a node if it is open and usable. */
  #findUsableConnection(to: PeerAddress): ClientConnection | undefined {
    const entry = this.#entries.get(to.id);
    if (entry === undefined || !canServe(entry, to)) return undefined;
    return entry.connection?.usable ? entry.connection : undefined;
  }

  #ensureConnection(to: PeerAddress): Promise<ClientConnection> {
    const existing = this.#entries.get(to.id);
    if (existing !== undefined && canServe(existing, to)) {
      return existing.opening;
    }
    if (existing !== undefined) this.#drainEntry(existing);
    return this.#open(to).opening;
  }

  #open(to: PeerAddress): PoolEntry {
    const opening = ClientConnection.open({
      ...this.#connectionOptions,
      peer: to,
    });
    const entry: PoolEntry = {address: to, opening};
    this.#entries.set(to.id, entry);
    opening.then(
      connection => {
        entry.connection = connection;
        if (this.#closed.signal.aborted) connection.close();
      },
      () => this.#removeEntry(entry),
    );
    if (!this.#isClosingIdle) void this.#closeIdleConnections();
    return entry;
  }

  /** Waits for a connection within the time limit of the call. */
  async #waitForConnection(
    opening: Promise<ClientConnection>,
    to: PeerAddress,
    {timeoutMs, signal}: ConnectOptions,
  ): Promise<ClientConnection> {
    const settled = new AbortController();
    const stop = () => settled.abort();
    signal?.addEventListener('abort', stop, {once: true});
    const timeout = this.#clock.sleep(timeoutMs, settled.signal).then(() => {
      throw new PeerError('notSent', `no connection to ${to.id} in time`);
    });
    timeout.catch(() => {});
    try {
      if (signal?.aborted) stop();
      return await Promise.race([opening, timeout]);
    } finally {
      signal?.removeEventListener('abort', stop);
      settled.abort();
    }
  }

  #withRemainingTime(options: CallOptions, startMs: number): CallOptions {
    const elapsedMs = this.#clock.now() - startMs;
    return {...options, timeoutMs: Math.max(1, options.timeoutMs - elapsedMs)};
  }

  /** Removes an entry and closes its connection after its pending calls. */
  #drainEntry(entry: PoolEntry): void {
    this.#removeEntry(entry);
    entry.opening.then(
      connection => connection.drain(),
      () => {},
    );
  }

  #removeEntry(entry: PoolEntry): void {
    if (this.#entries.get(entry.address.id) !== entry) return;
    this.#entries.delete(entry.address.id);
    this.#unmatchedAnswers += entry.connection?.unmatchedAnswers ?? 0;
  }

  /** Closes idle and unusable connections until the pool is empty or closed. */
  async #closeIdleConnections(): Promise<void> {
    this.#isClosingIdle = true;
    while (this.#entries.size > 0 && !this.#closed.signal.aborted) {
      await this.#clock.sleep(this.#idleCloseMs / 2, this.#closed.signal);
      const idleCutoffMs = this.#clock.now() - this.#idleCloseMs;
      for (const entry of [...this.#entries.values()]) {
        if (entry.connection === undefined) continue;
        const {usable, pendingCalls, lastUsedMs} = entry.connection;
        const idle = pendingCalls === 0 && lastUsedMs <= idleCutoffMs;
        if (idle || !usable) this.#drainEntry(entry);
      }
    }
    this.#isClosingIdle = false;
  }
}

function canServe({address, connection}: PoolEntry, to: PeerAddress): boolean {
  if (address.host !== to.host || address.port !== to.port) return false;
  return connection === undefined || connection.usable;
}
