import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {CatalogDecoder, decodeConfig} from '../../platform/catalog.js';
import {parseSettings, PlatformSettingsError} from '../../platform/settings.js';
import {
  formatCommand,
  formatError,
  parseCommand,
  parseStateRow,
} from '../../platform/wire.js';
import {createLogger} from '../../src/telemetry/log.js';
import {notRun} from '../../src/verdict/verdict.js';

const SETTINGS = `node_name=front-1
ip=10.1.0.26
zone=hobart
listen_addrs.front=10.1.0.26:8465
listen_addrs.ready=10.1.0.26:8460
internal_ports=7560,7575
platform.address=10.200.1.7:8466
cloud.address=10.200.0.2:8466
limits.cpu_share=0.5
bounds.grace_s=6
bounds.drain_ms=10000
bounds.revoke_ms=5000
some.new.field=ignored
`;

describe('the settings file', () => {
  it('is parsed, and unknown fields are ignored', () => {
    expect(parseSettings(SETTINGS, 'boot.conf')).toMatchObject({
      nodeId: 'front-1',
      callers: {host: '10.1.0.26', port: 8465},
      peerPorts: [7560, 7575],
      cores: 0.5,
      graceMs: 6_000,
      drainMs: 10_000,
      evacuateMs: 5_000,
      revokeMs: 5_000,
    });
  });

  it('states link and memory, or leaves them open', () => {
    const sized = `${SETTINGS}limits.link_mbps=7\nlimits.memory_mb=250\n`;
    const stated = {linkMbps: 7, memoryMb: 250};
    expect(parseSettings(sized, 'boot.conf')).toMatchObject(stated);
    const open = {linkMbps: undefined, memoryMb: undefined};
    expect(parseSettings(SETTINGS, 'boot.conf')).toMatchObject(open);
  });

  it('has the nodes share their load where the contracts say pool', () => {
    const shares = (contracts: string) =>
      parseSettings(`${SETTINGS}contracts=${contracts}\n`, 'boot.conf')
        .sharesLoad;
    expect(parseSettings(SETTINGS, 'boot.conf').sharesLoad).toBe(false);
    expect(['pool', 'pressure, pool', 'pressure', 'pools'].map(shares)).toEqual(
      [true, true, false, false],
    );
  });

  it('may state the bound of an evacuation', () => {
    const text = `${SETTINGS}bounds.evacuate_ms=8000\n`;
    expect(parseSettings(text, 'boot.conf').evacuateMs).toBe(8_000);
  });

  it('names the contracts and bounds on which pacing depends', () => {
    const read = (lines: string) =>
      parseSettings(`${SETTINGS}${lines}`, 'boot.conf');
    expect(read('')).toMatchObject({pacing: false});
    expect(read('contracts=pressure, unhealthy\n').pacing).toBe(false);
    expect(
      read(
        'contracts=pressure, health\nbounds.cold_overage=1.5\nbounds.cold_slack=5\n',
      ),
    ).toMatchObject({pacing: true, coldOverage: 1.5, coldSlack: 5});
  });

  it('is rejected with every invalid field named', () => {
    const invalid = SETTINGS.replace('ip=10.1.0.26\n', '')
      .replace('7560,7575', 'many')
      .replace('cloud.address=10.200.0.2:8466', 'cloud.address=nowhere');
    const read = () => parseSettings(invalid, 'boot.conf');
    expect(read).toThrow(PlatformSettingsError);
    for (const field of ['ip', 'internal_ports', 'cloud.address']) {
      expect(read).toThrow(new RegExp(`^ {2}${field}: `, 'm'));
    }
  });
});

describe('decoding of store values', () => {
  const decoder = new CatalogDecoder(createLogger('silent'));
  const entry = {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    slots: 2,
    state: 'ready',
    db_role: 'replica',
    born: 17,
  };
  const decode = (value: unknown) =>
    decoder.decode({
      key: 'servers/i-1',
      value: typeof value === 'string' ? value : JSON.stringify(value),
      at: {era: 0, revision: 1},
    });

  it('yields a database with its start time', () => {
    expect(decode(entry)).toMatchObject({
      kind: 'database',
      id: 'i-1',
      entry: {group: 's', port: 80, slots: 2, startedAt: 17, isDraining: false},
    });
  });

  it.each([
    ['a field is missing', {...entry, address: undefined}],
    ['a field has another type', {...entry, slots: 'two'}],
    ['the state is unknown', {...entry, state: 'resting'}],
    ['the value is not JSON', '\u0000\ufffd{'],
  ])('yields no database if %s', (_, value) => {
    expect(decode(value)).toEqual({
      kind: 'database',
      id: 'i-1',
      entry: undefined,
    });
  });

  it.each([
    ['op/evacuate/hobart', '{}', {dataCentre: 'hobart', isActive: true}],
    ['op/evacuate/hobart', undefined, {dataCentre: 'hobart', isActive: false}],
  ])('yields an evacuation for %s with the value %s', (key, value, rest) => {
    const at = {era: 0, revision: 1};
    const kind = 'evacuation';
    expect(decoder.decode({key, value, at})).toEqual({kind, ...rest});
  });

  it.each(['op/evacuate/', 'op/evacuated/hobart', 'op/other'])(
    'yields nothing for %s',
    key => {
      const at = {era: 0, revision: 1};
      expect(decoder.decode({key, value: '{}', at})).toBeUndefined();
    },
  );

  it('yields routes, keys and limits, and leaves out malformed routes', () => {
    const catalog = decodeConfig(
      JSON.stringify({
        version: 7,
        routes: [
          {
            database: 'd',
            type: 'bounded_staleness',
            service: 's',
            timeout_ms: 800,
            target_latency_ms: 100,
            priority: 1,
            max_staleness_ms: 1500,
          },
          {database: 'broken'},
        ],
        services: [{name: 's', max_connections: 16, cold_per_s: 20}],
        limits: {tx_idle_ms: 3000},
        tenants: [{name: 't', api_keys: ['k'], rate_per_s: 9, burst: 3}],
      }),
    );
    expect(catalog.routes.get('d')).toMatchObject({
      consistency: 'bounded',
      maxStalenessMs: 1_500,
      allowsAnonymous: false,
    });
    expect(catalog.groups.get('s')?.coldRate).toBe(20);
    expect([...catalog.routes.keys()]).toEqual(['d']);
    expect(catalog.keys.get('k')).toBe('t');
    expect(catalog.teams.get('t')).toEqual({name: 't', rate: 9, burst: 3});
  });
});

describe('the line protocol', () => {
  it('passes ids and texts on as they are', () => {
    const command = parseCommand('5c0e', 'WRITE a  two blanks ');
    if (command.kind !== 'run') throw new Error('not a statement');
    const {statement} = command;
    expect(formatCommand({kind: 'run', statement})).toBe(
      'QUERY 5c0e WRITE a  two blanks \r\n',
    );
    const after = {term: 3, offset: 1207};
    expect(formatCommand({kind: 'run', statement, after})).toBe(
      'QUERY 5c0e AFTER 3.1207 WRITE a  two blanks \r\n',
    );
  });

  it('formats an error with its retry time in one line', () => {
    const verdict = notRun('overloaded', 'the queue\r\nis long', 119.2);
    expect(formatError(verdict, 'idle')).toBe(
      'ERROR BUSY retry_after_ms=120 the queue is long\r\n',
    );
    expect(formatError(verdict, 'failed')).toMatch(/^ERROR ABORTED /);
  });

  it('parses the state of a database', () => {
    expect(parseStateRow('replica 3 3.1209 0 12 2 17')).toEqual({
      role: 'replica',
      term: 3,
      received: {term: 3, offset: 1209},
    });
    expect(parseStateRow('resting 3')).toBeUndefined();
  });

  it('and the names of the platform occur in platform/ only', async () => {
    const platformNames =
      /\b(READONLY|LAGGING|MISROUTED|TOOMANY|NOSTMT|NOAUTH|NODB|kv-(?:key|range|watch|txn|lease|keep)|op\/(?:config|evacuate)|servers\/|rate_per_s|db_role|max_staleness_ms|target_latency_ms|Fencing-Token|Duty-Holder|ZINNIAARCH_BOOT|listen_addrs)\b/;
    const files = await readdir('src', {recursive: true});
    const sources = files.filter(file => file.endsWith('.ts'));
    const found: string[] = [];
    for (const file of sources) {
      const text = await readFile(join('src', file), 'utf8');
      const match = platformNames.exec(text);
      if (match !== null) found.push(`${file}: ${match[0]}`);
    }
    expect(found).toEqual([]);
  });
});
