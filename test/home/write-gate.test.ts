import {beforeEach, describe, expect, it} from 'vitest';
import {WriteGate} from '../../src/home/write-gate.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const DEADLINE_MS = 5_000;
/** Within the time that open transactions have to end. */
const SOON_MS = 100;
const LATE_MS = 1_000;

let time: VirtualClock;
let transactions: number;
let gate: WriteGate;

/** Returns whether the promise settles without time passing. */
async function isSettled(promise: Promise<unknown>): Promise<boolean> {
  let settled = false;
  void promise.then(() => (settled = true));
  await time.advance(0);
  return settled;
}

beforeEach(() => {
  time = new VirtualClock();
  transactions = 0;
  gate = new WriteGate({clock: time, openTransactions: () => transactions});
});

describe('write gate during a hold', () => {
  it('lets open transactions end and keeps new writes waiting', async () => {
    transactions = 1;
    const held = gate.holdWrites();
    const write = gate.enter(DEADLINE_MS);
    const leave = await gate.enterPinned(DEADLINE_MS);
    transactions = 0;
    await time.advance(SOON_MS);
    expect(await isSettled(held)).toBe(false);
    leave();
    await time.advance(SOON_MS);
    expect(await isSettled(held)).toBe(true);
    expect(await isSettled(write)).toBe(false);
    gate.releaseWrites();
    expect(await isSettled(write)).toBe(true);
  });

  it('holds back the statements of a transaction that does not end in time', async () => {
    transactions = 1;
    const held = gate.holdWrites();
    await time.advance(LATE_MS);
    expect(await isSettled(held)).toBe(true);
    const statement = gate.enterPinned(DEADLINE_MS);
    expect(await isSettled(statement)).toBe(false);
    gate.releaseWrites();
    expect(await isSettled(statement)).toBe(true);
  });
});
