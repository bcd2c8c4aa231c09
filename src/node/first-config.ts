/** Waits for the first configuration when a node starts. */
import type {NodeContext} from './node-context.js';

const CONFIG_WAIT_MS = 5_000;
const CONFIG_POLL_MS = 20;
/** Time without a configuration from the store before the seeds are contacted. */
const SEED_DELAY_MS = 1_000;

/**
 * Waits until the configuration and the database groups have arrived, since a
 * node without them refuses every caller. Gives up after `CONFIG_WAIT_MS`.
 */
export async function waitForConfig(ctx: NodeContext): Promise<void> {
  const until = ctx.clock.now() + CONFIG_WAIT_MS;
  const isMissing = () =>
    ctx.config.document.version === 0 || ctx.config.groups.length === 0;
  const seedsDueAt = ctx.clock.now() + SEED_DELAY_MS;
  let hasAddedSeeds = false;
  while (isMissing() && ctx.clock.now() < until) {
    await ctx.clock.sleep(CONFIG_POLL_MS);
    if (hasAddedSeeds || !isMissing() || ctx.clock.now() < seedsDueAt) continue;
    hasAddedSeeds = true;
    addSeedMembers(ctx);
  }
  if (isMissing()) ctx.log.warn('configMissing', {waitedMs: CONFIG_WAIT_MS});
}

/**
 * Adds the seeds of the settings as members, so that the node gets the
 * configuration from its peers while the store is unavailable.
 */
function addSeedMembers(ctx: NodeContext): void {
  const {seeds, vm} = ctx.settings;
  const others = seeds.filter(({id}) => id !== vm);
  ctx.log.warn('askingSeeds', {seeds: others.length});
  for (const {id, host, port} of others) {
    ctx.coordination.members.applyDelta({
      id,
      instance: '',
      incarnation: 0,
      status: 'alive',
      record: {
        id,
        host,
        peerPort: port,
        adminPort: 0,
        dataCentre: '',
        state: 'live',
      },
    });
  }
}
