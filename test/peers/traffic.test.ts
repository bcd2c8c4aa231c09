import {describe, expect, it} from 'vitest';
import {PeerTrafficTotals} from '../../src/peers/peer-traffic.js';
import {createPool, startServer} from './fixture.js';

const OPTIONS = {timeoutMs: 1_000};

/** Bytes of a method in a scope. */
function bytesOf(traffic: PeerTrafficTotals, method: string, scope: string) {
  return traffic
    .totals()
    .filter(total => total.method === method && total.scope === scope)
    .reduce((sum, {bytes}) => sum + bytes, 0);
}

describe('bytes sent between nodes', () => {
  it('count the request at the caller and the answer at the server, by method and scope', async () => {
    const atServer = new PeerTrafficTotals(() => 'remote');
    const atCaller = new PeerTrafficTotals(peer =>
      peer === 'vm-b' ? 'local' : 'unknown',
    );
    const {server} = await startServer(
      {grow: async () => 'x'.repeat(5_000)},
      {traffic: atServer},
    );
    const pool = createPool({traffic: atCaller});
    await pool.call(server.address, 'grow', 'y'.repeat(2_000), OPTIONS);
    const sent = bytesOf(atCaller, 'grow', 'local');
    expect(sent).toBeGreaterThan(2_000);
    expect(sent).toBeLessThan(2_100);
    const answered = bytesOf(atServer, 'grow', 'remote');
    expect(answered).toBeGreaterThan(5_000);
    expect(answered).toBeLessThan(5_100);
    expect(bytesOf(atCaller, 'connection', 'local')).toBeGreaterThan(0);
  });

  // A label for each name that a peer makes up would grow without bound.
  it('count an unknown method as one of the connection', async () => {
    const traffic = new PeerTrafficTotals(() => 'local');
    const {server} = await startServer({}, {traffic});
    const call = createPool().call(server.address, 'made-up', {}, OPTIONS);
    await expect(call).rejects.toThrow(/no method/);
    expect(traffic.totals().map(({method}) => method)).toEqual(['connection']);
  });
});
