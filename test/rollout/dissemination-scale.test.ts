import {expect, it} from 'vitest';
import {Fleet} from '../membership/fleet.js';

const CONFIG = 'zinnia/config';
const CONFIG_CHARACTERS = 20_000;
const MAX_DELAY_MS = 4_000;
const MAX_BYTES_PER_SECOND = 5_000;
const MEASURED_SECONDS = 5;

/** Formats the measurements of a run, for assertion messages. */
function formatMeasurements(measurements: Record<string, number>): string {
  return Object.entries(measurements)
    .map(([name, value]) => `${name}=${Math.round(value)}`)
    .join(' ');
}

it.each([7, 100, 200, 1_000])(
  'stays within the delay and traffic limits with %d nodes',
  async size => {
    const fleet = new Fleet({size});
    const nodes = fleet.nodes;
    fleet.startAll();
    await fleet.clock.advance(8_000);
    fleet.net.drainTraffic();

    let worstAgeMs = 0;
    for (let tick = 0; tick < MEASURED_SECONDS * 5; tick++) {
      await fleet.clock.advance(200);
      const ages = [...nodes.values()].map(node => node.storeContact.ageMs());
      worstAgeMs = Math.max(worstAgeMs, ...ages);
    }
    const traffic = [...fleet.net.drainTraffic().values()];
    const totals = traffic
      .map(({sentBytes, receivedBytes}) => sentBytes + receivedBytes)
      .map(bytes => bytes / MEASURED_SECONDS);
    const meanBytes = totals.reduce((sum, bytes) => sum + bytes, 0) / size;

    const heldMs: number[] = [];
    const startMs = fleet.clock.now();
    for (const {documents} of nodes.values()) {
      documents.onChange(() => heldMs.push(fleet.clock.now() - startMs));
    }
    fleet.store.put(CONFIG, 'x'.repeat(CONFIG_CHARACTERS));
    await fleet.clock.advanceUntil(() => heldMs.length === size, 20_000);
    heldMs.sort((a, b) => a - b);

    const measurements = formatMeasurements({
      nodes: size,
      bytesPerSecond: meanBytes,
      worstBytesPerSecond: Math.max(...totals),
      worstStoreAgeMs: worstAgeMs,
      heldByHalfMs: heldMs[Math.floor(size / 2)]!,
      heldByAllMs: heldMs[size - 1]!,
      liveSeenByFewest: Math.min(
        ...[...nodes.values()].map(node => node.members.live().length),
      ),
      contactedByFewest: Math.min(
        ...[...nodes.values()].map(node =>
          node.members.countContactedWithin(3_000),
        ),
      ),
    });
    expect(heldMs, measurements).toHaveLength(size);
    expect(heldMs.at(-1), measurements).toBeLessThan(MAX_DELAY_MS);
    expect(meanBytes, measurements).toBeLessThan(MAX_BYTES_PER_SECOND);
    expect(Math.max(...totals), measurements).toBeLessThan(
      MAX_BYTES_PER_SECOND,
    );
    expect(worstAgeMs, measurements).toBeLessThan(3_000);
    await fleet.stop();
  },
  600_000,
);
