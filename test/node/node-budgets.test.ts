import {describe, expect, it} from 'vitest';
import {EMPTY_CATALOG} from '../../src/catalog/types.js';
import {MemberList} from '../../src/fleet/member-list.js';
import type {FleetMember} from '../../src/fleet/member-record.js';
import {NodeBudgets} from '../../src/node/node-budgets.js';
import {createLogger} from '../../src/telemetry/log.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const TEAM = {name: 'red', rate: 60, burst: 60};
const WINDOW_MS = 5_000;
const SLACK = 20;
/** What the platform lets a team run in any window. */
const ALLOWED = ((TEAM.rate * WINDOW_MS) / 1_000 + TEAM.burst) * 1.1 + SLACK;

function memberOf(id: string, isLeaving = false): FleetMember {
  const at = {host: 'h', port: 1, dataCentre: 'hobart', instance: 'i'};
  return {id, ...at, cores: 1, isLeaving};
}

/** One node of two; it has held its lease for long. */
function createNode(self: string, clock: VirtualClock) {
  const members = new MemberList({clock, mayHaveLapsed: () => false});
  for (const id of ['a', 'b']) members.apply(id, memberOf(id));
  const budgets = new NodeBudgets({
    clock,
    log: createLogger('silent'),
    self,
    clusterState: {
      catalog: {...EMPTY_CATALOG, teams: new Map([['red', TEAM]])},
      hasEarlierProcesses: false,
      members,
    },
    placement: {
      budgetOrder: () => members.stewardOrder('budget red'),
      firstResponsive: order => order[0],
    },
    lease: {
      isHeld: true,
      get heldForMs() {
        return clock.now();
      },
    },
    homeMonitor: {
      begin: () => ({signal: new AbortController().signal, end: () => {}}),
    },
    peers: {call: async () => undefined},
    windowMs: WINDOW_MS,
    slack: SLACK,
    signal: new AbortController().signal,
  });
  return {members, budgets};
}

describe('a team far over its rate whose budget owner leaves', () => {
  it('gets no more than its limit from the old owner and the new one together', async () => {
    const clock = new VirtualClock();
    const nodes = new Map(
      ['a', 'b'].map(id => [id, createNode(id, clock)] as const),
    );
    await clock.advance(30_000);
    const [first, second] = nodes.get('a')!.members.stewardOrder('budget red');
    const admittedAt: number[] = [];
    const load = async (id: string, ms: number) => {
      const {holder} = nodes.get(id)!.budgets;
      const until = clock.now() + ms;
      while (clock.now() < until) {
        void holder.admit('red').then(({kind}) => {
          if (kind === 'admitted') admittedAt.push(clock.now());
        });
        await clock.advance(2);
      }
    };
    await load(first!.id, 3_900);
    nodes.get(second!.id)!.members.apply(first!.id, memberOf(first!.id, true));
    await load(second!.id, 6_000);
    const inWindow = admittedAt.map(
      start =>
        admittedAt.filter(at => at >= start && at < start + WINDOW_MS).length,
    );
    expect(Math.max(...inWindow)).toBeLessThanOrEqual(ALLOWED);
  });
});
