import {describe, expect, it} from 'vitest';
import {
  BudgetHolder,
  BudgetOwner,
  chooseWatchers,
  Leadership,
  placeRead,
  PositionCertificates,
  WindowBudget,
  type FleetMember,
  type PlacementCandidate,
} from '../src/index.js';
import {createLogger} from '../src/telemetry/log.js';
import {VirtualClock} from './fakes/virtual-clock.js';

describe('the library, as used by an embedding program', () => {
  it('places a read by a position certificate of the primary', () => {
    const leadership = new Leadership();
    leadership.recordProof('db-1', 3, 0);
    const certificates = new PositionCertificates();
    certificates.record({term: 3, offset: 1_207}, 500);
    const needed = certificates.covering(400);
    expect(needed).toEqual({term: 3, offset: 1_207});
    const candidate = (
      id: string,
      outstanding: number,
    ): PlacementCandidate => ({
      id,
      isPrimary: id === leadership.leaderId,
      isReachable: true,
      outstanding,
      slots: 2,
      costMs: 10,
      connectMs: 0,
      roundTripMs: 0,
      visiblePosition: needed,
      lastShortfall: undefined,
    });
    const candidates = [candidate('db-1', 6), candidate('db-2', 0)];
    const input = {candidates, needed, now: 600, avoid: new Set<string>()};
    expect(placeRead(input)).toEqual(['db-2', 'db-1']);
  });

  it('admits operations by tokens granted by an owner', async () => {
    const clock = new VirtualClock();
    const limits = () => ({rate: 10, burst: 2});
    const owner = new BudgetOwner({
      clock,
      limits,
      windowMs: 5_000,
      roleFor: () => 'owner',
      heldForMs: () => 60_000,
    });
    const holder = new BudgetHolder({
      clock,
      log: createLogger('silent'),
      limits,
      requestTokens: async req => owner.serve('node-1', req),
    });
    const kinds: string[] = [];
    for (let n = 0; n < 3; n++) kinds.push((await holder.admit('red')).kind);
    expect(kinds).toEqual(['admitted', 'admitted', 'refused']);
  });

  it('limits the tokens that a team spends in any window', async () => {
    const clock = new VirtualClock();
    const budget = new WindowBudget({
      clock,
      limits: {rate: 10, burst: 10},
      windowMs: 5_000,
      tokens: 10,
      historyCompleteAtMs: 0,
    });
    let granted = 0;
    for (let ms = 0; ms < 4_900; ms += 100) {
      granted += budget.drain(100);
      await clock.advance(100);
    }
    expect(granted).toBeLessThanOrEqual(60);
    expect(budget.msUntilToken()).toBeGreaterThan(0);
  });

  it('chooses the same four watchers whatever the order of the members', () => {
    const fleet = Array.from({length: 120}, (_, n): FleetMember => ({
      id: `node-${n}`,
      host: '10.0.0.1',
      port: 7_000,
      dataCentre: 'hobart',
      instance: '1',
      cores: 1,
      isLeaving: false,
    }));
    const watchers = chooseWatchers(fleet);
    expect(watchers).toHaveLength(4);
    expect(chooseWatchers(fleet.toReversed())).toEqual(watchers);
  });
});
