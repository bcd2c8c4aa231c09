import {expect, test} from 'vitest';
import {rankPriorities} from '../../src/catalog/priority-ranks.js';

test.each([
  [[], []],
  [[3, 3], [[3, 0]]],
  [
    [2, 1, 2, 1],
    [
      [1, 0],
      [2, 1],
    ],
  ],
  [
    [9, 0, 2],
    [
      [0, 0],
      [2, 1],
      [9, 2],
    ],
  ],
] as const)('ranks the priorities %j', (priorities, ranks) => {
  const routes = priorities.map(priority => ({priority}));
  expect([...rankPriorities(routes)]).toEqual(ranks);
});
