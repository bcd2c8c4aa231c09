import {expect, test} from 'vitest';
import type {MemberIdentity} from '../../src/membership/member.js';
import {
  decodeProbeAnswer,
  encodeProbeAnswer,
} from '../../src/membership/probe-answer.js';

const IDENTITY: MemberIdentity = {
  instance: 'i1',
  incarnation: 3,
  status: 'leaving',
};

test('round-trips an answer', () => {
  for (const answer of [IDENTITY, {...IDENTITY, storeAgeMs: 0}]) {
    expect(decodeProbeAnswer(encodeProbeAnswer(answer))).toEqual(answer);
  }
});

test.each([null, {}, [], ['i1', 3], ['i1', '3', 'alive'], ['i1', 3, 'well']])(
  'rejects %j',
  encoded => expect(decodeProbeAnswer(encoded)).toBeUndefined(),
);

test('ignores a malformed store age', () => {
  for (const age of [-1, NaN, '5']) {
    const encoded = ['i1', 3, 'leaving', age];
    expect(decodeProbeAnswer(encoded)).toEqual(IDENTITY);
  }
});
