import {
  AckTracker,
  ackVerdict,
  orderFailover,
  type Clock,
  type DatabaseControl,
  type Position,
} from '../../../src/index.js';

type Controls = readonly DatabaseControl[];

/** Whether a write that the primary committed may be acknowledged. */
export async function acknowledge(
  clock: Clock,
  controls: Controls,
  primaryId: string,
  position: Position,
) {
  const tracker = new AckTracker({clock, controls});
  const write = {primaryId, position, ack: 'replica', timeoutMs: 500} as const;
  return ackVerdict(await tracker.acknowledge(write));
}

/** Fences a majority and promotes the database that holds the most. */
export function failOver(clock: Clock, controls: Controls, suspectId: string) {
  return orderFailover({clock, controls, orderer: 'vm1/1', suspectId});
}
