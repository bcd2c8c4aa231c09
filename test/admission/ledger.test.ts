import {expect, test} from 'vitest';
import {Ledger} from '../../src/admission/ledger.js';
import {NO_SHARE, WHOLE} from '../../src/admission/share.js';
import type {Share, SyncMessage} from '../../src/admission/types.js';

const EPOCH = 3;
const TENTH: Share = {rate: WHOLE.rate / 10, burst: WHOLE.burst / 10};
const FIFTH: Share = {rate: WHOLE.rate / 5, burst: WHOLE.burst / 5};

function createSync(seq: number, held: Share, heldEpoch = EPOCH): SyncMessage {
  return {
    kind: 'sync',
    team: 'assessors',
    holder: 'i1',
    seq,
    heldEpoch,
    knownEpoch: EPOCH,
    held,
    tokens: 0,
    tokensBack: 0,
    demand: 1,
    waiting: 0,
    isStandby: false,
  };
}

function sumOf(ledger: Ledger): number {
  const held = [...ledger.entries.values()].map(entry => entry.share.rate);
  const own = ledger.pool.rate + ledger.unaccounted.rate;
  return held.reduce((sum, rate) => sum + rate, own);
}

test('counts a grant whose answer was lost as its own again', () => {
  const ledger = Ledger.createWhole();
  ledger.reconcile(createSync(1, NO_SHARE), EPOCH);
  ledger.grant('i1', FIFTH);
  expect(ledger.pool.rate).toBe(WHOLE.rate - FIFTH.rate);
  const counted = ledger.reconcile(createSync(2, NO_SHARE), EPOCH);
  expect(counted).toEqual({kind: 'counted', returned: FIFTH});
  expect(ledger.pool).toEqual(WHOLE);
});

test('counts no message twice, and none after a later one', () => {
  const ledger = Ledger.createWhole();
  ledger.reconcile(createSync(1, NO_SHARE), EPOCH);
  ledger.grant('i1', FIFTH);
  ledger.reconcile(createSync(3, FIFTH), EPOCH);
  for (const seq of [1, 2, 3]) {
    const counted = ledger.reconcile(createSync(seq, NO_SHARE), EPOCH);
    expect(counted.kind).toBe('stale');
  }
  expect(ledger.shareOf('i1')).toEqual(FIFTH);
});

test('refuses a claim of more than it granted', () => {
  const ledger = Ledger.createWhole();
  expect(ledger.reconcile(createSync(1, TENTH), EPOCH).kind).toBe('void');
  ledger.reconcile(createSync(2, NO_SHARE), EPOCH);
  ledger.grant('i1', TENTH);
  expect(ledger.reconcile(createSync(3, FIFTH), EPOCH).kind).toBe('void');
  expect(sumOf(ledger)).toBe(WHOLE.rate);
});

test('adopts what an earlier owner granted, and no more than there was', () => {
  const ledger = Ledger.createUnaccounted();
  ledger.reconcile(createSync(1, FIFTH, 2), EPOCH);
  expect(ledger.shareOf('i1')).toEqual(FIFTH);
  expect(ledger.pool).toEqual(NO_SHARE);
  const other = {...createSync(1, WHOLE, 2), holder: 'i2'};
  expect(ledger.reconcile(other, EPOCH).kind).toBe('void');
  ledger.closeAdoption();
  expect(ledger.pool.rate).toBe(WHOLE.rate - FIFTH.rate);
  const late = {...createSync(1, TENTH, 2), holder: 'i3'};
  expect(ledger.reconcile(late, EPOCH).kind).toBe('void');
  expect(sumOf(ledger)).toBe(WHOLE.rate);
});

test('adopts nothing that is said to be of its own epoch', () => {
  const ledger = Ledger.createUnaccounted();
  expect(ledger.reconcile(createSync(1, TENTH), EPOCH).kind).toBe('void');
  expect(ledger.unaccounted).toEqual(WHOLE);
});

test('grants no more than the pool', () => {
  const ledger = Ledger.createWhole();
  ledger.reconcile(createSync(1, NO_SHARE), EPOCH);
  ledger.grant('i1', WHOLE);
  expect(() => ledger.grant('i1', TENTH)).toThrow('reconcile it first');
  ledger.reclaim('i1');
  expect(ledger.pool).toEqual(WHOLE);
});
