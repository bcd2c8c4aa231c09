import {afterEach, describe, expect, it} from 'vitest';
import {Fleet, type FleetOptions} from '../membership/fleet.js';

const CONFIG = 'zinnia/config';
const MAX_DELAY_MS = 4_000;

let fleet: Fleet;

async function startFleet(options: FleetOptions): Promise<void> {
  fleet = new Fleet(options);
  fleet.startAll();
  await fleet.clock.advance(5_000);
}

afterEach(() => fleet.stop());

function isEverywhere(name: string, revision: number): boolean {
  return [...fleet.nodes.values()].every(
    node => node.documents.revision(name) === revision,
  );
}

/** Milliseconds until every node has a revision. */
async function timeUntilEverywhere(revision: number): Promise<number> {
  const startMs = fleet.clock.now();
  await fleet.clock.advanceUntil(() => isEverywhere(CONFIG, revision), 60_000);
  return fleet.clock.now() - startMs;
}

describe('dissemination', () => {
  it('replicates a change to every node despite packet loss and jitter', async () => {
    const faults = {latencyMs: 1, jitterMs: 30, loss: 0.2, reorder: 0.2};
    await startFleet({size: 30, faults});
    for (let change = 0; change < 5; change++) {
      const revision = fleet.store.put(CONFIG, `change ${change}`);
      expect(await timeUntilEverywhere(revision)).toBeLessThan(MAX_DELAY_MS);
    }
  });

  it('replicates a change to nodes that cannot reach the store', async () => {
    await startFleet({size: 7});
    const [first, ...rest] = fleet.ids();
    fleet.store.unreachableFor = new Set(rest);
    const alone = new Set([first!]);
    const watchers = fleet.ids().filter(id => fleet.node(id).isWatcher);
    if (!watchers.includes(first!)) alone.add(watchers[0]!);
    fleet.store.unreachableFor = new Set(
      fleet.ids().filter(id => !alone.has(id)),
    );
    const revision = fleet.store.put(CONFIG, 'new');
    expect(await timeUntilEverywhere(revision)).toBeLessThan(MAX_DELAY_MS);
  });

  it('converges on the newest of several quick changes', async () => {
    await startFleet({size: 7, faults: {jitterMs: 50, reorder: 0.5}});
    const seen = new Map<string, number[]>();
    for (const [id, node] of fleet.nodes) {
      const revisions: number[] = [];
      seen.set(id, revisions);
      node.documents.onChange(({revision}) => revisions.push(revision));
    }
    let revision = 0;
    for (let change = 0; change < 20; change++) {
      revision = fleet.store.put(CONFIG, `change ${change}`);
      await fleet.clock.advance(30);
    }
    expect(await timeUntilEverywhere(revision)).toBeLessThan(MAX_DELAY_MS);
    for (const revisions of seen.values()) {
      expect(revisions).toEqual([...revisions].sort((a, b) => a - b));
      expect(revisions.at(-1)).toBe(revision);
    }
  });

  it('replicates documents to a node that starts during a store outage', async () => {
    await startFleet({size: 7});
    const revision = fleet.store.put(CONFIG, 'value');
    await timeUntilEverywhere(revision);
    const record = fleet.records[6]!;
    fleet.end(record.id);
    await fleet.clock.advance(2_000);
    fleet.store.unreachableFor = 'all';
    const node = fleet.start(record);
    expect(node.standing.evaluate()).toBe('cutOff');
    await fleet.clock.advance(10_000);
    expect(node.documents.revision(CONFIG)).toBe(revision);
    expect(node.standing.evaluate()).toBe('outage');
  });

  it('sends a document of 1 MB about once to each node', async () => {
    await startFleet({size: 30});
    fleet.net.drainTraffic();
    const bytes = 1_000_000;
    const revision = fleet.store.put(CONFIG, 'x'.repeat(bytes));
    expect(await timeUntilEverywhere(revision)).toBeLessThan(MAX_DELAY_MS);
    await fleet.clock.advance(1_000);
    const traffic = [...fleet.net.drainTraffic().values()];
    const sent = traffic.reduce((sum, {sentBytes}) => sum + sentBytes, 0);
    expect(sent / bytes).toBeGreaterThan(25);
    expect(sent / bytes).toBeLessThan(45);
  });
});
