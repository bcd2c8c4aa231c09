/** Stand-ins for everything that one node of the users' platform needs. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {once} from 'node:events';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {findPorts} from '../../demo/ports.js';
import {FailoverOrderServer} from '../kv/failover-orders.js';
import {KvServer} from '../kv/server.js';
import {LineGroup} from '../lines/group.js';

const HOST = '127.0.0.1';
const GROUP = 'claims';
/** Teams and routes of the configuration, as many as a large deployment has. */
const TEAMS = 85;

/**
 * A store with a configuration, a database group and a settings file.
 *
 * @example
 * const site = await StandInSite.start();
 * spawn(process.execPath, [program], {env: {ZINNIAARCH_BOOT: site.settingsPath}});
 * if (await site.isServed()) await site.stop();
 */
export class StandInSite {
  readonly settingsPath: string;
  readonly #dir = mkdtempSync(join(tmpdir(), 'zinnia-site-'));
  readonly #store: KvServer;
  readonly #group: LineGroup;
  readonly #orders: FailoverOrderServer;
  readonly #ports: readonly [number, number, number];

  private constructor(
    store: KvServer,
    group: LineGroup,
    orders: FailoverOrderServer,
    ports: readonly [number, number, number],
  ) {
    this.#store = store;
    this.#group = group;
    this.#orders = orders;
    this.#ports = ports;
    this.settingsPath = join(this.#dir, 'boot.conf');
    writeFileSync(this.settingsPath, this.#settings());
    store.put('op/config', JSON.stringify(createConfig()));
    this.#announceDatabases();
  }

  static async start(): Promise<StandInSite> {
    const group = await LineGroup.start({name: GROUP, databases: 3});
    return new StandInSite(
      await KvServer.start(),
      group,
      await FailoverOrderServer.start(() => false),
      (await findPorts(3)) as [number, number, number],
    );
  }

  /** Whether the node reports that it is ready. */
  async isReady(): Promise<boolean> {
    const {status} = await fetch(`http://${HOST}:${this.#ports[1]}/readiness`);
    return status === 200;
  }

  /** Whether the node serves one statement of a new session. */
  async isServed(): Promise<boolean> {
    const socket = connect({host: HOST, port: this.#ports[0], noDelay: true});
    try {
      await once(socket, 'connect');
      socket.write('START team-1 team-1-key\r\nQUERY r1 WRITE a 1\r\n');
      let text = '';
      for await (const chunk of socket) {
        text += String(chunk);
        if (/^(DONE|ERROR|BYE)/m.test(text)) return /^DONE/m.test(text);
      }
      return false;
    } finally {
      socket.destroy();
    }
  }

  async stop(): Promise<void> {
    await Promise.all([this.#store.stop(), this.#orders.stop()]);
    await Promise.all(this.#group.databases.map(database => database.stop()));
    rmSync(this.#dir, {recursive: true});
  }

  #settings(): string {
    const [callers, ready, peers] = this.#ports;
    return `node_name=node-1
ip=${HOST}
zone=hobart
listen_addrs.front=${HOST}:${callers}
listen_addrs.ready=${HOST}:${ready}
internal_ports=${peers},${peers}
platform.address=${HOST}:${this.#store.port}
cloud.address=${HOST}:${this.#orders.port}
`;
  }

  #announceDatabases(): void {
    for (const database of this.#group.databases) {
      const entry = {
        service: GROUP,
        address: `${HOST}:${database.port}`,
        zone: 'hobart',
        slots: 4,
        state: 'ready',
        db_role: database.isPrimary ? 'primary' : 'replica',
        sequence: 1,
        born: 1,
      };
      this.#store.put(`servers/${database.id}`, JSON.stringify(entry));
    }
  }
}

function createConfig(): unknown {
  const names = Array.from({length: TEAMS}, (_, n) => `team-${n}`);
  return {
    version: 1,
    routes: names.map(name => ({
      name,
      database: name,
      type: 'primary',
      timeout_ms: 1_200,
      target_latency_ms: 400,
      priority: 1,
      service: GROUP,
    })),
    services: [{name: GROUP, max_connections: 16}],
    tenants: names.map(name => ({
      name,
      api_keys: [`${name}-key`],
      rate_per_s: 1_000,
      burst: 1_000,
    })),
  };
}
