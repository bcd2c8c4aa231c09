/** A starting node's wait for its first configuration. */
import type {NodeContext} from './node-context.js';

const CONFIG_WAIT_MS = 5_000;
const CONFIG_POLL_MS = 20;
/** How long the store may say nothing before the seeds are asked. */
const SEED_AFTER_MS = 1_000;

/** Callers would be refused by a node that knows no route yet. */
export async function waitForConfig(ctx: NodeContext): Promise<void> {
  const until = ctx.clock.now() + CONFIG_WAIT_MS;
  const isMissing = () =>
    ctx.config.document.version === 0 || ctx.config.groups.length === 0;
  const seedAt = ctx.clock.now() + SEED_AFTER_MS;
  let seeded = false;
  while (isMissing() && ctx.clock.now() < until) {
    await ctx.clock.sleep(CONFIG_POLL_MS);
    if (seeded || !isMissing() || ctx.clock.now() < seedAt) continue;
    seeded = true;
    introduceSeeds(ctx);
  }
  if (isMissing()) ctx.log.warn('configMissing', {waitedMs: CONFIG_WAIT_MS});
}

/** The store says nothing: learn from the peers that the settings name. */
function introduceSeeds(ctx: NodeContext): void {
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
