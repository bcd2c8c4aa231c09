/** Rendezvous hashing: every node ranks the same VMs in the same order. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * 32-bit score of an id under a name: FNV-1a with a final mixing step.
 *
 * @example
 * const best = ids.sort((a, b) => rendezvousScore(name, b) - rendezvousScore(name, a))[0];
 */
export function rendezvousScore(name: string, id: string): number {
  const text = `${name}\n${id}`;
  let hash = FNV_OFFSET;
  for (let at = 0; at < text.length; at++) {
    hash = Math.imul(hash ^ text.charCodeAt(at), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Sorts items by descending score, then by id.
 *
 * @example
 * const [home] = rankByRendezvous('claims', members.live());
 */
export function rankByRendezvous<T extends {readonly id: string}>(
  name: string,
  items: Iterable<T>,
): T[] {
  return Array.from(items, item => ({
    item,
    score: rendezvousScore(name, item.id),
  }))
    .sort((a, b) => b.score - a.score || compareIds(a.item.id, b.item.id))
    .map(({item}) => item);
}

/** Compares ids by code unit, so that the order doesn't depend on the locale. */
export function compareIds(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
