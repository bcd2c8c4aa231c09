/** The faults of databases under which paces are compared and tested. */
import type {PaceModelOptions} from './pace-model.js';

const SLOTS = 4;
const SERVICE_MS = 12;
/** Statements a second that one warm database can answer. */
export const CAPACITY = (SLOTS * 1_000) / SERVICE_MS;
const FLAP_MS = 700;

/** A scenario without the pace. */
export type PaceScenario = Omit<PaceModelOptions, 'createPace' | 'seed'>;

function scenario(
  load: number,
  prepare: PaceScenario['prepare'],
  rest: Partial<PaceScenario> = {},
): PaceScenario {
  const {databases = 3} = rest;
  return {
    databases,
    senders: 3,
    slots: SLOTS,
    serviceMs: SERVICE_MS,
    perSecond: () => CAPACITY * databases * load,
    goalMs: 250,
    runMs: 8_000,
    prepare,
    ...rest,
  };
}

/** Stops databases and starts new processes with empty caches. */
function crash(which: readonly number[]): PaceScenario['prepare'] {
  return (databases, {clock, replace}) => {
    for (const n of which) {
      clock.schedule(2_000, () => databases[n]!.stop());
      clock.schedule(3_500, () => {
        databases[n]!.start(true);
        replace(n);
      });
    }
  };
}

/** The scenarios by name; faults begin at 2,000 ms. */
export const PACE_SCENARIOS = {
  'cold caches, one of three': scenario(0.6, crash([0])),
  'cold caches, the only one': scenario(0.6, crash([0]), {databases: 1}),
  'cold caches on one disk, one of three': scenario(0.6, crash([0]), {
    hasOneDisk: true,
  }),
  'cold caches on one disk, the only one': scenario(0.6, crash([0]), {
    databases: 1,
    hasOneDisk: true,
  }),
  'all three return at once': scenario(0.6, crash([0, 1, 2])),
  'half speed for 5 s': scenario(0.6, ([first], {clock}) => {
    clock.schedule(2_000, () => (first!.speed = 2));
    clock.schedule(7_000, () => (first!.speed = 1));
  }),
  flapping: scenario(0.6, ([first], {clock}) => {
    for (let at = 2_000; at < 7_000; at += 2 * FLAP_MS) {
      clock.schedule(at, () => first!.stop());
      clock.schedule(at + FLAP_MS, () => first!.start(false));
    }
  }),
  '14% failures': scenario(0.6, ([first], {clock}) => {
    clock.schedule(2_000, () => (first!.failureRatio = 0.14));
  }),
  '14% failures, the only one': scenario(
    0.6,
    ([first], {clock}) => {
      clock.schedule(2_000, () => (first!.failureRatio = 0.14));
    },
    {databases: 1},
  ),
  '7.5 times as slow': scenario(0.6, ([first], {clock}) => {
    clock.schedule(2_000, () => (first!.speed = 7.5));
  }),
  'promotion under full load': scenario(
    0.85,
    (_, {clock, members}) => {
      clock.schedule(2_000, () => {
        for (const sender of members) sender[0]!.beginPace('promoted');
      });
    },
    {databases: 1},
  ),
} satisfies Record<string, PaceScenario>;
