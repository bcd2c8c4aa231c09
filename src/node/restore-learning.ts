/**
 * What a starting node learns from others if the store was ever restored from a
 * copy: the copy may be older than what they have seen.
 */
import {EVACUATIONS_METHOD} from '../catalog/evacuations.js';
import {peerAddressOf} from '../fleet/member-list.js';
import type {FleetMember} from '../fleet/member-record.js';
import {
  decodeRelayReply,
  encodeRelayRequest,
  RELAY_METHOD,
} from '../fleet/relay-messages.js';
import type {PeerCaller} from '../peers/types.js';
import type {Logger} from '../telemetry/log.js';
import type {ClusterState} from './cluster-state.js';

const MAX_PEERS_ASKED = 3;
const LEARN_TIMEOUT_MS = 300;

/** Dependencies of {@link learnFromPeers}. */
export interface RestoreLearningOptions {
  readonly self: string;
  readonly log: Logger;
  readonly peers: PeerCaller;
  readonly clusterState: Pick<
    ClusterState,
    'members' | 'learn' | 'evacuations'
  >;
  /** The store's era; 0 if it was never restored. */
  readonly era: number;
}

/**
 * Asks other nodes for what the store may have lost. Never rejects.
 *
 * @example
 * await learnFromPeers({self, log, peers, clusterState, era: store.era});
 */
export async function learnFromPeers(
  options: RestoreLearningOptions,
): Promise<void> {
  const {self, clusterState, era} = options;
  if (era === 0) return;
  const others = clusterState.members.live().filter(({id}) => id !== self);
  await Promise.all(
    others.slice(0, MAX_PEERS_ASKED).map(peer => learnFrom(peer, options)),
  );
}

async function learnFrom(
  peer: FleetMember,
  {log, peers, clusterState, era}: RestoreLearningOptions,
): Promise<void> {
  const address = peerAddressOf(peer);
  const limit = {timeoutMs: LEARN_TIMEOUT_MS};
  try {
    const reply = await peers.call(
      address,
      RELAY_METHOD,
      encodeRelayRequest(),
      limit,
    );
    const changes = decodeRelayReply(reply);
    if (changes !== undefined) clusterState.learn(changes);
    const inForce = await peers.call(address, EVACUATIONS_METHOD, {}, limit);
    clusterState.evacuations.learn(inForce, era);
  } catch (err) {
    // A node that has just started has nothing to tell either.
    log.info('peerNotAsked', {peer: peer.id, message: String(err)});
  }
}
