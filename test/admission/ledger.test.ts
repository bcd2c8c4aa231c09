import {expect, test} from 'vitest';
import {Ledger} from '../../src/admission/ledger.js';
import {EMPTY_SHARE, WHOLE_SHARE} from '../../src/admission/share.js';
import type {Share, SyncMessage} from '../../src/admission/types.js';

const EPOCH = 3;
const TENTH: Share = {
  rate: WHOLE_SHARE.rate / 10,
  burst: WHOLE_SHARE.burst / 10,
};
const FIFTH: Share = {rate: WHOLE_SHARE.rate / 5, burst: WHOLE_SHARE.burst / 5};

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

test('returns a grant whose reply was lost to the pool at the next sync', () => {
  const ledger = Ledger.createWhole();
  ledger.reconcile(createSync(1, EMPTY_SHARE), EPOCH);
  ledger.grant('i1', FIFTH);
  expect(ledger.pool.rate).toBe(WHOLE_SHARE.rate - FIFTH.rate);
  const result = ledger.reconcile(createSync(2, EMPTY_SHARE), EPOCH);
  expect(result).toEqual({kind: 'reconciled', returned: FIFTH});
  expect(ledger.pool).toEqual(WHOLE_SHARE);
});

test('applies no message twice, and none after a later one', () => {
  const ledger = Ledger.createWhole();
  ledger.reconcile(createSync(1, EMPTY_SHARE), EPOCH);
  ledger.grant('i1', FIFTH);
  ledger.reconcile(createSync(3, FIFTH), EPOCH);
  for (const seq of [1, 2, 3]) {
    const result = ledger.reconcile(createSync(seq, EMPTY_SHARE), EPOCH);
    expect(result.kind).toBe('stale');
  }
  expect(ledger.shareOf('i1')).toEqual(FIFTH);
});

test('voids a claim of more than it granted', () => {
  const ledger = Ledger.createWhole();
  expect(ledger.reconcile(createSync(1, TENTH), EPOCH).kind).toBe('void');
  ledger.reconcile(createSync(2, EMPTY_SHARE), EPOCH);
  ledger.grant('i1', TENTH);
  expect(ledger.reconcile(createSync(3, FIFTH), EPOCH).kind).toBe('void');
  expect(sumOf(ledger)).toBe(WHOLE_SHARE.rate);
});

test('adopts shares that an earlier owner granted, up to the unaccounted share', () => {
  const ledger = Ledger.createUnaccounted();
  ledger.reconcile(createSync(1, FIFTH, 2), EPOCH);
  expect(ledger.shareOf('i1')).toEqual(FIFTH);
  expect(ledger.pool).toEqual(EMPTY_SHARE);
  const other = {...createSync(1, WHOLE_SHARE, 2), holder: 'i2'};
  expect(ledger.reconcile(other, EPOCH).kind).toBe('void');
  ledger.reclaimUnaccounted();
  expect(ledger.pool.rate).toBe(WHOLE_SHARE.rate - FIFTH.rate);
  const late = {...createSync(1, TENTH, 2), holder: 'i3'};
  expect(ledger.reconcile(late, EPOCH).kind).toBe('void');
  expect(sumOf(ledger)).toBe(WHOLE_SHARE.rate);
});

test('adopts no share that claims to be of its own epoch', () => {
  const ledger = Ledger.createUnaccounted();
  expect(ledger.reconcile(createSync(1, TENTH), EPOCH).kind).toBe('void');
  expect(ledger.unaccounted).toEqual(WHOLE_SHARE);
});

test('grants no more than the pool has', () => {
  const ledger = Ledger.createWhole();
  ledger.reconcile(createSync(1, EMPTY_SHARE), EPOCH);
  ledger.grant('i1', WHOLE_SHARE);
  expect(() => ledger.grant('i1', TENTH)).toThrow('reconcile it first');
  ledger.reclaim('i1');
  expect(ledger.pool).toEqual(WHOLE_SHARE);
});
