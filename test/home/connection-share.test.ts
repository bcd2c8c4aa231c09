import {expect, it} from 'vitest';
import {connectionShare} from '../../src/home/connection-share.js';
import {TeamConnection} from '../../src/home/team-connection.js';
import {TeamConnections} from '../../src/home/team-connections.js';
import type {StatementConnection} from '../../src/statements/connection.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

/** The limits of databases that the sheets of the deployments state. */
const LIMITS = [16, 21, 30, 34, 58, 70];

it.each(LIMITS)(
  'a lost home, its successor and two readers fit into %i connections',
  limit => {
    const others = 2 * connectionShare(limit, 'other');
    const lost = connectionShare(limit, 'main');
    const successor = connectionShare(limit, 'fallback');
    expect(lost + successor + others).toBeLessThanOrEqual(limit);
  },
);

it('connections that a node has stopped using do not count for longer than their timeout', async () => {
  const clock = new VirtualClock();
  const connections = new TeamConnections({
    clock,
    limit: () => 10,
    open: async team => new TeamConnection(clock, team, openConnection()),
  });
  const used = await connections.take({...request('red'), values: {}});
  connections.add(await connections.take({...request('blue'), values: {}}));
  await clock.advance(2_000);
  await used.run([{kind: 'rollback'}], 100);
  connections.add(used);
  connections.closeSilentSince(clock.now() - 1_000);
  expect(connections.open).toBe(1);
  expect(connections.hasIdle('red')).toBe(true);
});

function request(team: string) {
  const cancelled = new AbortController().signal;
  return {team, priority: 0, deadlineAt: Infinity, cancelled};
}

function openConnection(): StatementConnection {
  let onClose = () => {};
  return {
    usable: true,
    transaction: 'idle',
    run: async () => [],
    queryState: async () => undefined,
    stepDown: async () => undefined,
    close: () => onClose(),
    onClose: listener => (onClose = listener),
  };
}
