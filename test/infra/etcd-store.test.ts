import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test, vi} from 'vitest';
import {WatchCompactedError} from '../../src/infra/etcd-errors.js';
import {EtcdStore} from '../../src/infra/etcd-store.js';
import {VM_LIST_KEY} from '../../src/infra/vm-list.js';
import {
  createStoreServer,
  type StoreServer,
} from '../../standins/store/server.js';
import {expectFailure} from '../fakes/failures.js';

const encodeBase64 = (text: string) => Buffer.from(text).toString('base64');

let server: StoreServer;
let store: EtcdStore;

beforeEach(async () => {
  server = await createStoreServer();
  store = new EtcdStore({url: server.url, timeoutMs: 200});
});

afterEach(() => server.close());

async function post(path: string, body: object): Promise<unknown> {
  const res = await fetch(server.url + path, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  return res.json();
}

async function readFirstWatchItem(target: EtcdStore, fromRevision: number) {
  const {signal} = new AbortController();
  for await (const item of target.watch('a/', fromRevision, signal)) {
    return item;
  }
  return undefined;
}

/** Starts a server that accepts requests but never completes a response. */
async function startUnresponsiveServer(firstLine: string): Promise<Server> {
  const unresponsive = createServer((_req, res) => {
    if (firstLine !== '') res.write(firstLine);
  });
  await new Promise<void>(resolve =>
    unresponsive.listen(0, '127.0.0.1', resolve),
  );
  return unresponsive;
}

function urlOf(target: Server): string {
  return `http://127.0.0.1:${(target.address() as AddressInfo).port}`;
}

test('throws unknown when a write times out', async () => {
  // Client and server share a process: the time-out must not pass unread.
  const patient = new EtcdStore({url: server.url, timeoutMs: 2_000});
  server.faults.slowMs = 10_000;
  const write = expectFailure(patient.compareAndSwap('a/1', 0, 'x'), 'unknown');
  await vi.waitFor(() => expect(server.get('a/1')).toBe('x'));
  await write;
  expect(server.get('a/1')).toBe('x');
});

test('attempts a read twice and a write once', async () => {
  server.faults.slowMs = 1_000;
  await expectFailure(store.get('a/1'), 'notSent');
  await expect(store.compareAndSwap('a/1', 0, 'x')).rejects.toThrow();
  expect(server.calls).toMatchObject({range: 2, txn: 1});
});

test('throws unknown for a write whose connection is reset', async () => {
  await server.startOutage('reset');
  await expectFailure(store.compareAndSwap('a/1', 0, 'x'), 'unknown');
});

test('rejects a value over 1 MiB', async () => {
  const value = 'x'.repeat(1024 * 1024 + 1);
  // Client and server share a process: the time-out must not pass unread.
  const patient = new EtcdStore({url: server.url, timeoutMs: 2_000});
  await expect(patient.compareAndSwap('a/1', 0, value)).rejects.toThrow(
    'too large',
  );
  expect(server.get('a/1')).toBeUndefined();
});

test('fails a watch whose start revision was compacted', async () => {
  server.put('a/1', 'one');
  server.put('a/1', 'two');
  server.compact();
  const watching = readFirstWatchItem(store, 1);
  await expect(watching).rejects.toThrow(WatchCompactedError);
  await expect(watching).rejects.toMatchObject({compactRevision: 3});
  await expect(readFirstWatchItem(store, 3)).resolves.toMatchObject({
    kind: 'events',
    events: [{value: 'two', revision: 3}],
  });
});

test('fails a watch when the store stops sending', async () => {
  const line = '{"result":{"header":{"revision":"1"}}}\n';
  const unresponsive = await startUnresponsiveServer(line);
  const target = new EtcdStore({url: urlOf(unresponsive), watchTimeoutMs: 100});
  const {signal} = new AbortController();
  const read = async () => {
    for await (const item of target.watch('a/', 0, signal)) {
      expect(item).toEqual({kind: 'progress', revision: 1});
    }
  };
  await expect(read()).rejects.toThrow('silent for 100 ms');
  unresponsive.closeAllConnections();
  unresponsive.close();
});

test('ends a watch without an error when its signal aborts', async () => {
  const controller = new AbortController();
  for await (const item of store.watch('a/', 0, controller.signal)) {
    expect(item.kind).toBe('progress');
    controller.abort();
  }
  await vi.waitFor(() => expect(server.openWatches).toBe(0));
});

test('counts an open watch as one call', async () => {
  await readFirstWatchItem(store, 0);
  await store.get('a/1');
  const res = await fetch(`${server.url}/standin/calls`);
  expect(await res.json()).toMatchObject({watch: 1, range: 1, total: 2});
});

test('serves the VM list that was set', async () => {
  server.setVms([]);
  expect((await store.get(VM_LIST_KEY))?.value).toBe('[]');
});

test('deletes the keys of a lease that expires', async () => {
  const lease = await store.grantLease(1_000);
  await post('/v3/kv/put', {key: encodeBase64('a/1'), value: 'eA==', lease});
  expect(server.get('a/1')).toBe('x');
  await vi.waitFor(() => expect(server.get('a/1')).toBeUndefined(), 3_000);
  expect(await store.keepAlive(lease)).toBe(false);
});

test('switches its faults over HTTP', async () => {
  await post('/standin/lostAnswers', {count: 1});
  await expect(store.compareAndSwap('a/1', 0, 'x')).rejects.toThrow();
  await post('/standin/outage', {on: true});
  await expect(store.get('a/1')).rejects.toThrow();
  await post('/standin/outage', {on: false});
  expect((await store.get('a/1'))?.value).toBe('x');
  await post('/standin/outage', {ms: 100});
  await vi.waitFor(async () => {
    expect((await store.get('a/1'))?.value).toBe('x');
  });
});
