import {afterEach, describe, expect, it} from 'vitest';
import {Platform, sleep, type RunningNode} from './fixture.js';
import {WriteLoad} from './write-load.js';

/** Longer than any lease of a node. */
const REFUSED_MS = 9_000;
/** Time for the node with work to settle on its lease. */
const SETTLE_MS = 4_000;

let platform: Platform;
afterEach(() => platform.stop());

/** Refuses some nodes while every node has a caller that writes. */
async function writeWhileRefused(refused: readonly RunningNode[]) {
  const load = await WriteLoad.start(platform);
  for (const {store} of refused) store.isRefused = true;
  await sleep(REFUSED_MS);
  const members = platform.store.keys('zinnia/members/');
  for (const {store} of refused) store.isRefused = false;
  await load.stop();
  const {replies} = load;
  const failed = replies.filter(reply => !reply.startsWith('DONE'));
  return {members, failed, written: replies.length - failed.length};
}

/** The node that serves the group's writes. */
function findHome(): RunningNode {
  const home = platform.nodes.find(({lines}) =>
    lines.some(line => /event=homeOpened .*isFirst=true/.test(line)),
  );
  if (home === undefined) throw new Error('no node is the home');
  return home;
}

describe('nodes that the store refuses for longer than their leases', () => {
  it('keep their place and go on serving writes, the home too', async () => {
    platform = await Platform.start(4);
    await sleep(SETTLE_MS);
    const {members, failed, written} = await writeWhileRefused([findHome()]);
    expect(failed).toEqual([]);
    expect(written).toBeGreaterThan(0);
    expect(members).toHaveLength(4);
  });

  it('do so as well when they are all but one', async () => {
    platform = await Platform.start(4);
    await sleep(SETTLE_MS);
    const {members, failed, written} = await writeWhileRefused(
      platform.nodes.slice(1),
    );
    expect(failed).toEqual([]);
    expect(written).toBeGreaterThan(0);
    expect(members).toHaveLength(4);
  });
});
