import type {BudgetDeps} from '../../../src/index.js';

const self = {vm: 'vm1', instance: 'vm1/first'};

/** The ports of a node that is alone, without `clock`, `random` and `store`. */
export const aloneDeps: Omit<BudgetDeps, 'clock' | 'random' | 'store'> = {
  self,
  peers: {
    live: () => [self],
    homeOrder: () => [self],
    isGone: () => false,
    call: () => Promise.reject(new Error('there is no other node')),
  },
  standing: {standing: () => 'current'},
  config: {
    limits: () => ({rate: 10, burst: 20}),
    retired: () => new Set(),
    retire: async () => {},
  },
};
