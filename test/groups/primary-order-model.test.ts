import {describe, expect, it} from 'vitest';
import {explore} from './primary-order-model.js';

describe('all states of promotion orders over two nodes and three databases', () => {
  it.each([true, false])(
    'let no old primary acknowledge a write where nodes need a right to it (fence checked: %s)',
    hasFence => {
      const {states, counterexample} = explore({hasRights: true, hasFence});
      expect(counterexample?.steps.join('\n')).toBeUndefined();
      expect(states).toBeGreaterThan(10_000);
    },
  );

  it('show how a home that knows no order writes to an old primary without rights', () => {
    const {counterexample} = explore({hasRights: false, hasFence: true});
    expect(counterexample?.steps).toEqual([
      'start',
      'node 0 takes the failover lease',
      'node 0 prepares order 1 of 1',
      'node 0 sends order 1',
      'order 1 takes effect',
      'node 0 writes to 0, 1 leads',
    ]);
  });
});
