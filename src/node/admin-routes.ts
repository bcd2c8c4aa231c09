/** Routes of the admin server: status queries and the planned switch. */
import {WHOLE_UNITS} from '../admission/share.js';
import type {BudgetStatus} from '../admission/types.js';
import type {HomeService} from '../home/home-service.js';
import {HOME_METHODS} from '../home/messages.js';
import {toPeerAddress} from '../membership/member-entry.js';
import type {Coordination} from '../membership/coordination.js';
import type {Member} from '../membership/member.js';
import type {PeerCaller} from '../peers/types.js';
import type {StatementMetrics} from '../telemetry/statement-metrics.js';
import {
  AdminInputError,
  type AdminAnswer,
  type AdminRequest,
  type AdminRoute,
} from './admin-server.js';
import type {LiveConfig} from './live-config.js';
import type {RenewableBudgets} from './renewable-budgets.js';

const SWITCH_TIMEOUT_MS = 10_000;

/** Dependencies of the routes. */
export interface AdminDeps {
  readonly vm: string;
  readonly coordination: Coordination;
  readonly config: LiveConfig;
  readonly budgets: Pick<RenewableBudgets, 'status'>;
  readonly homes: HomeService;
  readonly peers: PeerCaller;
  readonly metrics: StatementMetrics;
  readonly homeOrder: (group: string) => readonly Member[];
  readonly sessions: () => number;
  readonly isDraining: () => boolean;
}

/** Creates a node's admin routes, keyed by `METHOD /path`. */
export function createAdminRoutes(
  deps: AdminDeps,
): ReadonlyMap<string, AdminRoute> {
  return new Map<string, AdminRoute>([
    ['GET /health', () => ok({vm: deps.vm, alive: true})],
    ['GET /ready', () => ready(deps)],
    ['GET /versions', () => ok(versions(deps))],
    ['GET /members', () => ok(deps.coordination.members.all())],
    ['GET /budgets', () => ok(deps.budgets.status().map(formatBudget))],
    ['GET /groups', () => ok(groups(deps))],
    ['GET /metrics', () => ok(resourceUsage(deps))],
    ['GET /statements', req => statements(deps, req)],
    ['POST /switch', req => switchPrimary(deps, req)],
  ]);
}

function ok(body: unknown): AdminAnswer {
  return {status: 200, body};
}

function ready(deps: AdminDeps): AdminAnswer {
  const standing = deps.coordination.standing.evaluate();
  const version = deps.config.document.version;
  const reasons = [
    ...(deps.isDraining() ? ['the node is shutting down'] : []),
    ...(standing === 'cutOff' ? ['the node is cut off'] : []),
    ...(version === 0 ? ['the node has no configuration yet'] : []),
  ];
  const status = reasons.length === 0 ? 200 : 503;
  return {status, body: {ready: reasons.length === 0, reasons}};
}

function versions({vm, coordination, config}: AdminDeps) {
  return {
    vm,
    config: config.document.version,
    revisions: coordination.documents.digest(),
    standing: coordination.standing.evaluate(),
    storeAgeMs: roundFinite(coordination.storeContact.ageMs()),
    isWatcher: coordination.isWatcher,
  };
}

function roundFinite(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}

/** Returns every group's home, and the views of the groups homed on this VM. */
function groups({homes, config, homeOrder}: AdminDeps) {
  return {
    homes: Object.fromEntries(
      config.groups.map(({name}) => [name, homeOrder(name)[0]?.id ?? null]),
    ),
    views: homes.views(),
  };
}

function resourceUsage(deps: AdminDeps) {
  const {rss, heapUsed} = process.memoryUsage();
  const {user, system} = process.cpuUsage();
  return {
    vm: deps.vm,
    sessions: deps.sessions(),
    activeAtHome: deps.homes.active,
    rssBytes: rss,
    heapBytes: heapUsed,
    cpuMicros: user + system,
  };
}

function statements(deps: AdminDeps, req: AdminRequest): AdminAnswer {
  const since = req.query.get('since') ?? '0';
  if (!/^\d{1,15}$/.test(since)) {
    const remedy = 'send milliseconds since the Unix epoch, a whole number';
    throw new AdminInputError('since', `since is no time: ${since}`, remedy);
  }
  return ok({vm: deps.vm, slices: deps.metrics.slices(Number(since))});
}

/** Formats shares as fractions of 1. */
function formatBudget(budget: BudgetStatus) {
  const {share, tokens} = budget;
  return {
    ...budget,
    share: {rate: toFraction(share.rate), burst: toFraction(share.burst)},
    tokens: Number(tokens.toFixed(1)),
  };
}

function toFraction(units: number): number {
  return Number((units / WHOLE_UNITS).toFixed(4));
}

async function switchPrimary(
  deps: AdminDeps,
  req: AdminRequest,
): Promise<AdminAnswer> {
  const group = readName(req.body, 'group');
  const databaseId = readName(req.body, 'databaseId');
  if (deps.config.findGroup(group) === undefined) {
    return {status: 404, body: {error: `there is no group ${group}`}};
  }
  const [home] = deps.homeOrder(group);
  if (home === undefined || home.id === deps.vm) {
    return ok(await deps.homes.switchPrimary(group, databaseId));
  }
  const body = {group, databaseId};
  const options = {timeoutMs: SWITCH_TIMEOUT_MS};
  const method = HOME_METHODS.switchPrimary;
  return ok(await deps.peers.call(toPeerAddress(home), method, body, options));
}

function readName(body: unknown, field: string): string {
  const value = ((body ?? {}) as Readonly<Record<string, unknown>>)[field];
  if (typeof value === 'string' && value !== '') return value;
  const remedy = 'send {"group": "...", "databaseId": "..."}';
  throw new AdminInputError(field, `${field} is no name`, remedy);
}
