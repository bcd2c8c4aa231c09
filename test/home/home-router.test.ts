import {expect, test} from 'vitest';
import {HomeRouter} from '../../src/home/home-router.js';
import type {ExecRequest, ExecResult} from '../../src/home/types.js';
import {failedResult} from '../../src/home/types.js';
import type {Member} from '../../src/membership/member.js';
import {PeerError} from '../../src/peers/types.js';
import {notRun} from '../../src/verdict/verdict.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const READ: ExecRequest = {
  sessionId: 's1',
  group: 'claims',
  team: 'assessors',
  kind: 'read',
  priority: 1,
  deadlineMs: 1_000,
  token: undefined,
  staleMs: 0,
  frames: new Uint8Array(),
  commits: false,
  pin: undefined,
};
const REFUSED = failedResult(notRun('noPrimary', 'no primary', 200));

/** Routes a read to homes that answer or fail as listed, one after another. */
async function route(answers: readonly (ExecResult | 'lost')[]) {
  const homes = answers.map((_, i) => ({id: `vm${i}`}) as Member);
  const router = new HomeRouter({
    clock: new VirtualClock(),
    self: 'self',
    local: {
      execute: () => Promise.reject(new Error('not a home')),
      release: () => {},
      cancel: () => {},
    },
    homeOrder: () => homes,
    findVm: () => undefined,
    peers: {
      call: async ({id}) => {
        const answer = answers[homes.findIndex(home => home.id === id)];
        if (answer === 'lost') throw new PeerError('lost', 'no answer');
        return answer;
      },
    },
  });
  return router.execute(READ, () => {}, new AbortController().signal);
}

test('a read that one home lost may have run though the next refuses it', async () => {
  const {verdict} = await route(['lost', REFUSED]);
  expect(verdict.kind).toBe('mayHaveRun');
});

test('the refusal of the first home is returned unchanged', async () => {
  expect(await route([REFUSED, REFUSED])).toEqual(REFUSED);
});
