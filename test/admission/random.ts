import {createHash} from 'node:crypto';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {NodeRef} from '../../src/admission/types.js';
import type {Random} from '../../src/infra/clock.js';

export type SeededRandom = Random;

/** Creates a random generator whose sequence depends only on the seed. */
export function createRandom(seed: number): SeededRandom {
  const generator = xoroshiro128plus(seed);
  return {next: () => uniformFloat64(generator)};
}

/** Ranks nodes by rendezvous hashing of `key`, best first. */
export function rendezvousOrder(
  key: string,
  nodes: readonly NodeRef[],
): readonly NodeRef[] {
  const nodeWeight = (node: NodeRef) => weightOf(`${key} ${node.instance}`);
  return [...nodes].sort((a, b) => nodeWeight(b) - nodeWeight(a));
}

const weights = new Map<string, number>();

function weightOf(text: string): number {
  const known = weights.get(text);
  if (known !== undefined) return known;
  const weight = createHash('sha256').update(text).digest().readUInt32BE(0);
  weights.set(text, weight);
  return weight;
}
