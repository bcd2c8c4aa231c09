import {expect, test} from 'vitest';
import {SPEND_VALID_MS} from '../../src/admission/in-flight-spends.js';
import {EMPTY_SHARE, tokensIn, WHOLE_SHARE} from '../../src/admission/share.js';
import {SpendGuard} from '../../src/admission/spend-guard.js';
import {TeamHolder} from '../../src/admission/team-holder.js';
import type {GrantReply, Share, Standing} from '../../src/admission/types.js';
import {ManualClock} from './manual-clock.js';

const LIMITS = {rate: 100, burst: 50};
const HALF: Share = {rate: WHOLE_SHARE.rate / 2, burst: WHOLE_SHARE.burst / 2};
const CONTEXT = {
  team: 'assessors',
  holder: 'i1',
  knownEpoch: 2,
  demand: 10,
  waiting: 1,
  isStandby: false,
};

function createHolder() {
  const clock = new ManualClock();
  const retired = new Set<string>();
  const state: {standing: Standing} = {standing: 'current'};
  const guard = new SpendGuard(
    'i1',
    clock,
    {standing: () => state.standing},
    {
      limits: () => LIMITS,
      retired: () => retired,
      retire: () => Promise.resolve(),
    },
  );
  const holder = new TeamHolder(clock, guard, () => LIMITS);
  return {clock, retired, state, holder};
}

function createGrant(changes: Partial<GrantReply> = {}): GrantReply {
  return {
    kind: 'granted',
    epoch: 2,
    owner: 'i9',
    seq: 1,
    share: HALF,
    tokens: 5,
    target: HALF,
    askAgainMs: 0,
    retryAfterMs: 0,
    ...changes,
  };
}

test('accepts one grant, and only for the sync that is pending', () => {
  const {holder} = createHolder();
  expect(holder.acceptGrant(createGrant(), 2)).toBe(false);
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  holder.cancelSync(1);
  expect(holder.acceptGrant(createGrant(), 2)).toBe(false);
  holder.beginSync('acquire', {...CONTEXT, seq: 2});
  expect(holder.acceptGrant(createGrant(), 2)).toBe(false);
  holder.beginSync('acquire', {...CONTEXT, seq: 3});
  expect(holder.acceptGrant(createGrant({seq: 3}), 2)).toBe(true);
  expect(holder.acceptGrant(createGrant({seq: 3}), 2)).toBe(false);
  expect(holder.tokens).toBe(5);
});

test('accepts no grant of an older epoch or of a retired owner', () => {
  const {holder, retired} = createHolder();
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  expect(holder.acceptGrant(createGrant({epoch: 1}), 2)).toBe(false);
  holder.beginSync('acquire', {...CONTEXT, seq: 2});
  retired.add('i9');
  expect(holder.acceptGrant(createGrant({seq: 2}), 2)).toBe(false);
  expect(holder.share).toEqual(EMPTY_SHARE);
});

test('drops its share before the release is sent to the owner', () => {
  const {holder} = createHolder();
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  holder.acceptGrant(createGrant(), 2);
  const message = holder.beginSync('release', {...CONTEXT, seq: 2});
  expect(message).toMatchObject({
    held: EMPTY_SHARE,
    heldEpoch: 0,
    tokensBack: 5,
  });
  expect(holder.trySpend()).toBe(false);
  expect(holder.share).toEqual(EMPTY_SHARE);
});

test('returns nothing to an owner that has not adopted its share', () => {
  const {holder} = createHolder();
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  holder.acceptGrant(createGrant(), 2);
  const context = {...CONTEXT, knownEpoch: 3, seq: 2};
  const message = holder.beginSync('release', context);
  expect(message).toMatchObject({held: HALF, heldEpoch: 2, tokensBack: 0});
});

test('checks its standing at each spend', () => {
  const {holder, state, clock} = createHolder();
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  holder.acceptGrant(createGrant(), 2);
  expect(holder.trySpend()).toBe(true);
  state.standing = 'cutOff';
  expect(holder.trySpend()).toBe(false);
  state.standing = 'outage';
  clock.advance(3_600_000);
  expect(holder.trySpend()).toBe(true);
});

test('drops its share 2.7 s after the last check that its owner was not retired', () => {
  const {holder, retired, clock} = createHolder();
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  holder.acceptGrant(createGrant(), 2);
  expect(holder.trySpend()).toBe(true);
  retired.add('i9');
  clock.advance(2_600);
  expect(holder.trySpend()).toBe(true);
  clock.advance(101);
  expect(holder.trySpend()).toBe(false);
  expect(holder.share).toEqual(EMPTY_SHARE);
});

test('keeps burst reserved for tokens that another node may still use', () => {
  const {clock, holder} = createHolder();
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  holder.acceptGrant(createGrant({tokens: 25}), 2);
  expect(holder.spendForRemote(10)).toBe(10);
  clock.advance(SPEND_VALID_MS);
  // Without the reserved burst, half the rate would have refilled 5 of the 10.
  expect(holder.tokens).toBe(15);
  const released = holder.beginSync('release', {...CONTEXT, seq: 2});
  expect(tokensIn(released.held.burst, LIMITS)).toBeCloseTo(10);
  clock.advance(SPEND_VALID_MS);
  expect(holder.beginSync('release', {...CONTEXT, seq: 3}).held).toEqual(
    EMPTY_SHARE,
  );
});

test('spends no more tokens for another node than it has', () => {
  const {holder, state} = createHolder();
  holder.beginSync('acquire', {...CONTEXT, seq: 1});
  holder.acceptGrant(createGrant({tokens: 5}), 2);
  expect(holder.spendForRemote(8)).toBe(5);
  state.standing = 'cutOff';
  expect(holder.spendForRemote(1)).toBe(0);
});
