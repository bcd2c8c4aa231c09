/** Creates the home service of a node from its shared components. */
import type {FailoverEvent} from '../groups/failover-agent.js';
import type {DatabaseSpec} from '../groups/types.js';
import {HomeService} from '../home/home-service.js';
import {teamRow} from '../rollout/table.js';
import {PgDatabaseControl} from '../targets/database-control.js';
import {PgTargetConnection} from '../targets/pg-connection.js';
import {groupHomeOrder, type NodeContext} from './node-context.js';
import {PeerReachability} from './peer-ports.js';

const TARGET_CONNECT_TIMEOUT_MS = 500;
const DEFAULT_TEAM_WEIGHT = 1;
/** Name of the database that nodes open on their targets. */
const TARGET_DATABASE = 'app';

/** Creates the service for the groups whose home this node is or may become. */
export function createHomes(ctx: NodeContext): HomeService {
  const {members} = ctx.coordination;
  const {dataCentre, targetUser, targetPassword, vm} = ctx.settings;
  return new HomeService({
    clock: ctx.clock,
    random: ctx.random,
    dataCentre,
    instanceId: `${vm}/${ctx.instance}`,
    access: {
      control: spec =>
        new PgDatabaseControl(spec, {
          user: targetUser,
          password: targetPassword,
        }),
      connect: spec => connectTarget(ctx, spec),
    },
    replicaWaitMs: ctx.settings.replicaWaitMs,
    reachability: new PeerReachability(members, ctx.peers, dataCentre),
    groups: () => ctx.config.groups,
    row: group => ctx.config.document.table.groups.get(group),
    weightOf: team =>
      teamRow(ctx.config.document.table, team)?.rate ?? DEFAULT_TEAM_WEIGHT,
    isFirstHome: group => groupHomeOrder(ctx, group)[0]?.id === vm,
    onFailover: (group, event) => logFailover(ctx, group, event),
  });
}

function connectTarget(
  ctx: NodeContext,
  spec: DatabaseSpec,
): Promise<PgTargetConnection> {
  const {targetUser, targetPassword} = ctx.settings;
  return PgTargetConnection.connect({
    host: spec.host,
    port: spec.port,
    user: targetUser,
    password: targetPassword,
    database: TARGET_DATABASE,
    timeoutMs: TARGET_CONNECT_TIMEOUT_MS,
  });
}

function logFailover(
  ctx: NodeContext,
  group: string,
  event: FailoverEvent,
): void {
  if (event.kind === 'linkFault') {
    ctx.log.debug('linkFault', {group, database: event.databaseId});
    return;
  }
  const {cause, result} = event;
  ctx.log.info('failoverOrdered', {
    group,
    cause,
    outcome: result.kind,
    detail: JSON.stringify(result),
  });
}
