import {afterEach, describe, expect, it} from 'vitest';
import {Platform, sleep, waitUntil} from './fixture.js';
import {WriteLoad} from './write-load.js';

/** Time from an order to its effect, in which another home opens. */
const PROMOTE_MS = 1_200;
/** Long enough that the old primary serves until its successor does. */
const DRAIN_MS = 10_000;
/** Load after the promotion took effect. */
const AFTER_EFFECT_MS = 1_500;

let platform: Platform;
afterEach(() => platform.stop());

/** The signatures of the answered writes: the database and its run. */
function signaturesOf({replies}: WriteLoad): readonly string[] {
  return replies
    .filter(reply => reply.startsWith('DONE'))
    .map(reply => reply.slice('DONE '.length));
}

/** Answered writes that an older primary ran after a promotion took effect. */
function writesAfterPromotion(signatures: readonly string[]): string[] {
  const effectAt = platform.group.promotedAt.at(-1) ?? Infinity;
  const leader = platform.group.newestPrimary;
  return platform.group.databases
    .filter(database => database !== leader)
    .flatMap(({id, runs}) =>
      runs
        .filter(({text, at}) => text.startsWith('WRITE') && at > effectAt)
        .map(run => `${id}.${run.id}`),
    )
    .filter(signature => signatures.includes(signature));
}

describe('an old primary that goes on after a promotion', () => {
  it('gets no write of a home that opens after the node that ordered was killed', async () => {
    platform = await Platform.start(3, {
      promoteMs: PROMOTE_MS,
      oldPrimaryGoesOn: true,
      drainMs: DRAIN_MS,
    });
    const orderers: string[] = [];
    platform.onOrder = holder => {
      if (orderers.push(holder) > 1) return;
      const orderer = platform.nodes.find(({id}) => id === holder);
      void orderer?.kill();
    };
    const load = await WriteLoad.start(platform);
    await sleep(200);
    platform.drain(platform.group.primary);
    await waitUntil(() => platform.group.promotedAt.length > 0);
    await sleep(AFTER_EFFECT_MS);
    await load.stop();
    const signatures = signaturesOf(load);
    expect(writesAfterPromotion(signatures)).toEqual([]);
    const {id} = platform.group.newestPrimary;
    expect(signatures.some(signature => signature.startsWith(id))).toBe(true);
  });
});
