/** Components that the other parts of a node share. */
import type {Coordination} from '../membership/coordination.js';
import type {Member} from '../membership/member.js';
import type {PeerPool} from '../peers/peer-pool.js';
import type {Clock, Random} from '../infra/clock.js';
import type {Store} from '../infra/store.js';
import type {Logger} from '../telemetry/log.js';
import type {LiveConfig} from './live-config.js';
import type {NodeSettings} from './settings.js';

/** Shared components, passed to the functions that create the other parts. */
export interface NodeContext {
  readonly settings: NodeSettings;
  readonly log: Logger;
  readonly clock: Clock;
  readonly random: Random;
  /** Identifies this process; random on each start. */
  readonly instance: string;
  readonly store: Store;
  readonly peers: PeerPool;
  readonly coordination: Coordination;
  readonly config: LiveConfig;
}

/**
 * Returns the VMs in order of preference as a group's home, by rendezvous
 * hashing. Nodes with the same configuration and members agree on the order.
 */
export function groupHomeOrder(
  {config, coordination}: NodeContext,
  group: string,
): readonly Member[] {
  const dataCentre = config.findGroup(group)?.databases[0]?.dataCentre;
  return coordination.members.homeOrder(group, {dataCentre});
}
