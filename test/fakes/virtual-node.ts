/** A node of a virtual network. */

import {encodeFrame} from '../../src/peers/framing.js';
import {PROTOCOL_VERSION} from '../../src/peers/messages.js';
import type {
  ConnectOptions,
  PeerConnector,
  DedicatedConnection,
} from '../../src/peers/peer-pool.js';
import {
  PeerError,
  type CallOptions,
  type PeerAddress,
  type PeerHandler,
} from '../../src/peers/types.js';
import type {NodeClock} from './virtual-clock.js';
import {VirtualConnection} from './virtual-connection.js';
import type {TrafficCount, VirtualNetwork} from './virtual-network.js';

/** Maximum time to wait for a connection to an unreachable node. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time after which an unused connection is closed. */
const IDLE_TIMEOUT_MS = 5_000;

/** Round trips of the TCP handshake and the peer handshake together. */
const CONNECT_ROUND_TRIPS = 2;

/** Bytes of the peer handshake that the client sends and receives. */
const HELLO_BYTES = encodeFrame({
  kind: 'hello',
  version: PROTOCOL_VERSION,
  from: 'vm-000',
  nonce: new Uint8Array(16),
  proof: new Uint8Array(32),
}).length;
const HELLO_ANSWER_BYTES =
  encodeFrame({kind: 'challenge', nonce: new Uint8Array(16)}).length +
  encodeFrame({kind: 'welcome', from: 'vm-000', proof: new Uint8Array(32)})
    .length;

/** Network endpoint of a node: sends calls to other nodes and serves theirs. */
export class VirtualNode implements PeerConnector {
  readonly id: string;
  readonly address: PeerAddress;
  readonly clock: NodeClock;
  readonly handlers: Map<string, PeerHandler>;
  readonly #network: VirtualNetwork;
  readonly #connections = new Map<string, VirtualConnection>();
  /** Connections that other nodes opened to this node. */
  readonly incoming = new Set<VirtualConnection>();
  #traffic = createTrafficCount();

  constructor(
    network: VirtualNetwork,
    id: string,
    clock: NodeClock,
    handlers: Record<string, PeerHandler>,
  ) {
    this.#network = network;
    this.id = id;
    this.address = {id, host: '127.0.0.1', port: 1};
    this.clock = clock;
    this.handlers = new Map(Object.entries(handlers));
  }

  async call(
    to: PeerAddress,
    method: string,
    body: unknown,
    options: CallOptions,
  ): Promise<unknown> {
    const startMs = this.clock.now();
    const connection = await this.#connect(to, options);
    const timeoutMs = options.timeoutMs - (this.clock.now() - startMs);
    return connection.call(method, body, {...options, timeoutMs});
  }

  async openDedicated(
    to: PeerAddress,
    options: ConnectOptions,
  ): Promise<DedicatedConnection> {
    return this.#open(to, options);
  }

  /** Closes all connections. */
  closeConnections(): void {
    const outgoing = this.#connections.values();
    for (const connection of [...outgoing, ...this.incoming]) {
      connection.close();
    }
  }

  /** Drops all further messages on the open connection to a node. */
  silenceConnection(id: string): void {
    this.#connections.get(id)?.silence();
  }

  /** Adds the bytes of sent and received frames to the traffic counts. */
  countFrame(sentBytes: number, receivedBytes: number): void {
    if (sentBytes > 0) this.#traffic.frames++;
    this.#traffic.sentBytes += sentBytes;
    this.#traffic.receivedBytes += receivedBytes;
  }

  /** Returns the traffic since the last call and resets the counts. */
  drainTraffic(): TrafficCount {
    const traffic = this.#traffic;
    this.#traffic = createTrafficCount();
    return traffic;
  }

  async #connect(
    to: PeerAddress,
    options: ConnectOptions,
  ): Promise<VirtualConnection> {
    const existing = this.#connections.get(to.id);
    if (existing?.isUsable(this.clock.now() - IDLE_TIMEOUT_MS)) return existing;
    if (existing?.isIdle) existing.close();
    const connection = await this.#open(to, options);
    this.#connections.set(to.id, connection);
    return connection;
  }

  async #open(
    to: PeerAddress,
    {timeoutMs, signal}: ConnectOptions,
  ): Promise<VirtualConnection> {
    if (signal?.aborted) throw new PeerError('notSent', 'call was cancelled');
    const network = this.#network;
    const waitMs = Math.min(timeoutMs, CONNECT_TIMEOUT_MS);
    if (!network.reaches(this.id, to.id) || network.find(to)?.clock.paused) {
      await this.clock.sleep(waitMs, signal);
      throw new PeerError('notSent', `no connection to ${to.id} in time`);
    }
    const roundTrips = 2 * CONNECT_ROUND_TRIPS * network.drawLatencyMs();
    await this.clock.sleep(Math.min(waitMs, roundTrips), signal);
    const peer = network.find(to);
    if (roundTrips > waitMs || peer === undefined || signal?.aborted) {
      throw new PeerError('notSent', `no connection to ${to.id}`);
    }
    this.#traffic.connections++;
    this.countFrame(HELLO_BYTES, HELLO_ANSWER_BYTES);
    peer.countFrame(HELLO_ANSWER_BYTES, HELLO_BYTES);
    return new VirtualConnection(network, this, peer);
  }
}

function createTrafficCount(): TrafficCount {
  return {frames: 0, sentBytes: 0, receivedBytes: 0, connections: 0};
}
