/**
 * Detects silent homes from the requests sent to them (passive health check).
 *
 * A home's node may freeze, lose power or be partitioned while entries send it
 * a steady load. Running reads are then aborted so that they can be retried,
 * new requests go to the next choice, and pings detect when the home answers
 * again, so that no request is spent on finding out.
 */
import {PassiveHealth} from '../membership/passive-health.js';
import type {PeerAddress, PeerCaller} from '../peers/types.js';
import type {Clock} from '../infra/clock.js';
import {sleepToTick} from '../infra/timer.js';
import type {Logger} from '../telemetry/log.js';

/** The peer method that replies at once. */
export const PING_METHOD = 'home.ping';
const CHECK_PERIOD_MS = 100;
const PING_PERIOD_MS = 200;
const PING_TIMEOUT_MS = 200;

/** A request in flight to a home. */
export interface MonitoredRequest {
  /** Aborts when the caller disconnects or the home goes silent. */
  readonly signal: AbortSignal;
  end(outcome: 'answered' | 'failed' | 'abandoned'): void;
}

/** Options of a home monitor. */
export interface HomeMonitorOptions {
  readonly clock: Clock;
  readonly peers: PeerCaller;
  readonly log: Logger;
}

interface MonitoredHome {
  readonly address: PeerAddress;
  readonly health: PassiveHealth;
  readonly running: Set<AbortController>;
  isSilent: boolean;
}

/**
 * Tracks the health of each home from the outcome of its requests.
 *
 * @example
 * const request = monitor.begin(home, signal);
 * await call(request.signal);
 * request.end('answered');
 */
export class HomeMonitor {
  readonly #options: HomeMonitorOptions;
  readonly #homes = new Map<string, MonitoredHome>();

  constructor(options: HomeMonitorOptions) {
    this.#options = options;
  }

  /** True if the home has stopped answering. */
  isSilent(id: string): boolean {
    return this.#homes.get(id)?.isSilent ?? false;
  }

  /** Registers a request; `signal` aborts when its caller disconnects. */
  begin(home: PeerAddress, signal: AbortSignal): MonitoredRequest {
    const monitored = this.#monitoredHome(home);
    const stop = new AbortController();
    const abort = () => stop.abort();
    signal.addEventListener('abort', abort, {once: true});
    monitored.running.add(stop);
    const endWork = monitored.health.trackRequest();
    return {
      signal: stop.signal,
      end: outcome => {
        endWork();
        monitored.running.delete(stop);
        signal.removeEventListener('abort', abort);
        if (outcome === 'answered') monitored.health.recordAnswer();
        if (outcome === 'failed') monitored.health.recordFailure();
        if (monitored.health.failures > 0) this.#markSilent(monitored);
      },
    };
  }

  /** Checks the homes periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock} = this.#options;
    while (!signal.aborted) {
      await sleepToTick(clock, CHECK_PERIOD_MS, signal);
      for (const monitored of this.#homes.values()) {
        if (!monitored.health.isReachable) this.#markSilent(monitored);
      }
    }
  }

  #monitoredHome(address: PeerAddress): MonitoredHome {
    const known = this.#homes.get(address.id);
    const isSame =
      known?.address.host === address.host &&
      known.address.port === address.port;
    if (known !== undefined && isSame) return known;
    const monitored: MonitoredHome = {
      address,
      health: new PassiveHealth(this.#options.clock),
      running: new Set(),
      isSilent: false,
    };
    this.#homes.set(address.id, monitored);
    return monitored;
  }

  #markSilent(monitored: MonitoredHome): void {
    if (monitored.isSilent) return;
    monitored.isSilent = true;
    const {address, health, running} = monitored;
    this.#options.log.warn('homeSilent', {
      home: address.id,
      silentMs: Math.round(health.silentMs),
      failures: health.failures,
      underWay: running.size,
    });
    for (const stop of running) stop.abort();
    void this.#pingUntilAlive(monitored);
  }

  async #pingUntilAlive(monitored: MonitoredHome): Promise<void> {
    const {clock, peers, log} = this.#options;
    const {address, health} = monitored;
    while (this.#homes.get(address.id) === monitored) {
      try {
        await peers.call(
          address,
          PING_METHOD,
          {},
          {timeoutMs: PING_TIMEOUT_MS},
        );
        health.recordAnswer();
        monitored.isSilent = false;
        log.info('homeAnswers', {home: address.id});
        return;
      } catch {
        // Still silent: ping again after a pause.
        await clock.sleep(PING_PERIOD_MS);
      }
    }
  }
}
