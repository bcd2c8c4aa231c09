/**
 * A model of promotion orders, small enough to visit all of its states: two
 * nodes, three databases, the store and the platform that promotes. Messages may
 * be lost or late, nodes may stand still at any point, since nothing forces a
 * step to be taken.
 */

/** Which rules the nodes keep. */
export interface ModelRules {
  /** Whether orders are recorded, and sent only once no right is left. */
  readonly hasRights: boolean;
  /** Whether the platform refuses an order under a lower token. */
  readonly hasFence: boolean;
}

interface Order {
  /** Number of the order; serves as its token. */
  readonly n: number;
  readonly db: number;
}

interface NodeState {
  /** Whether the node believes that it has the right to the primary. */
  readonly right: boolean;
  /** The latest order that it knows. */
  readonly known: Order | undefined;
  /** Whether the database of that order has told it that it leads. */
  readonly settled: boolean;
  /** Whether it believes that it holds the failover lease. */
  readonly lease: boolean;
  /** Its order that is recorded and not yet sent. */
  readonly prepared: Order | undefined;
  /** Nodes whose rights it knows to be gone for that order. */
  readonly cleared: readonly number[];
}

interface State {
  readonly nodes: readonly NodeState[];
  /** What the store holds. */
  readonly recorded: Order | undefined;
  readonly keys: readonly boolean[];
  readonly leaseKey: number | undefined;
  /** Orders that are sent and not yet carried out. */
  readonly sent: readonly Order[];
  readonly lastCarriedOut: number;
  /** The database that the platform promoted last. */
  readonly leader: number;
  /** Databases that act as primary; an old one may go on. */
  readonly acting: readonly number[];
  readonly dead: readonly number[];
}

/** A step of the model by its name, and the state after it. */
type Step = readonly [name: string, next: State];

/** The shortest way to a state that breaks the promise. */
export interface Counterexample {
  readonly steps: readonly string[];
}

const DATABASES = [0, 1, 2];
const MAX_ORDERS = 2;
const IDLE: NodeState = {
  right: false,
  known: undefined,
  settled: false,
  lease: false,
  prepared: undefined,
  cleared: [],
};
const START: State = {
  nodes: [IDLE, IDLE],
  recorded: undefined,
  keys: [false, false],
  leaseKey: undefined,
  sent: [],
  lastCarriedOut: 0,
  leader: 0,
  acting: [0],
  dead: [],
};

/**
 * Visits every state, the nearest first. Returns the number of states and the
 * way to a write that is acknowledged by a database after another's promotion,
 * if there is one.
 */
export function explore(rules: ModelRules): {
  readonly states: number;
  readonly counterexample: Counterexample | undefined;
} {
  const seen = new Map<string, {before: string | undefined; step: string}>();
  let frontier: State[] = [START];
  seen.set(JSON.stringify(START), {before: undefined, step: 'start'});
  while (frontier.length > 0) {
    const next: State[] = [];
    for (const state of frontier) {
      const key = JSON.stringify(state);
      const broken = brokenWrite(state, rules);
      if (broken !== undefined) {
        const steps = [...wayTo(key, seen), broken];
        return {states: seen.size, counterexample: {steps}};
      }
      for (const [step, after] of stepsFrom(state, rules)) {
        const afterKey = JSON.stringify(after);
        if (seen.has(afterKey)) continue;
        seen.set(afterKey, {before: key, step});
        next.push(after);
      }
    }
    frontier = next;
  }
  return {states: seen.size, counterexample: undefined};
}

function wayTo(
  key: string,
  seen: ReadonlyMap<string, {before: string | undefined; step: string}>,
): readonly string[] {
  const steps: string[] = [];
  for (let at: string | undefined = key; at !== undefined;) {
    const {before, step}: {before: string | undefined; step: string} =
      seen.get(at)!;
    steps.unshift(step);
    at = before;
  }
  return steps;
}

/** The database to which a node sends writes; undefined if to none. */
function targetOf(node: NodeState, rules: ModelRules): number | undefined {
  if (rules.hasRights && !node.right) return undefined;
  if (node.known === undefined) return 0;
  return node.settled ? node.known.db : undefined;
}

/** A write that an outdated primary acknowledges in this state. */
function brokenWrite(state: State, rules: ModelRules): string | undefined {
  for (const [n, node] of state.nodes.entries()) {
    const db = targetOf(node, rules);
    if (db !== undefined && db !== state.leader && state.acting.includes(db)) {
      return `node ${n} writes to ${db}, ${state.leader} leads`;
    }
  }
  return undefined;
}

function* stepsFrom(state: State, rules: ModelRules): Generator<Step> {
  for (const n of state.nodes.keys()) {
    if (rules.hasRights) yield* rightSteps(state, n);
    yield* orderSteps(state, n, rules);
    yield* knowledgeSteps(state, n, rules);
  }
  yield* platformSteps(state, rules);
}

function withNode(state: State, n: number, change: Partial<NodeState>): State {
  const nodes = state.nodes.map((node, m) =>
    m === n ? {...node, ...change} : node,
  );
  return {...state, nodes};
}

function withKey(state: State, n: number, isSet: boolean): State {
  const keys = state.keys.map((key, m) => (m === n ? isSet : key));
  return {...state, keys};
}

function* rightSteps(state: State, n: number): Generator<Step> {
  const node = state.nodes[n]!;
  if (!state.keys[n])
    yield [`node ${n} writes its key`, withKey(state, n, true)];
  if (state.keys[n] && !node.right) {
    const isNews = (state.recorded?.n ?? 0) > (node.known?.n ?? 0);
    const news = isNews ? {known: state.recorded, settled: false} : {};
    const next = withNode(state, n, {right: true, ...news});
    yield [`node ${n} reads the order and has the right`, next];
  }
  // The holder always stops before its key ends.
  if (node.right)
    yield [
      `the right of node ${n} runs out`,
      withNode(state, n, {right: false}),
    ];
  else if (state.keys[n])
    yield [`the key of node ${n} ends`, withKey(state, n, false)];
}

function* orderSteps(
  state: State,
  n: number,
  {hasRights}: ModelRules,
): Generator<Step> {
  const node = state.nodes[n]!;
  if (state.leaseKey === undefined) {
    const next = {...withNode(state, n, {lease: true}), leaseKey: n};
    yield [`node ${n} takes the failover lease`, next];
  }
  if (node.lease) {
    const next = withNode(state, n, {lease: false, prepared: undefined});
    yield [`the lease of node ${n} runs out`, next];
  } else if (state.leaseKey === n) {
    yield [`the lease key of node ${n} ends`, {...state, leaseKey: undefined}];
  }
  const last = state.recorded ?? node.known;
  const isUnderWay =
    last !== undefined && !(node.known?.n === last.n && node.settled);
  const count = (last?.n ?? 0) + 1;
  if (node.lease && node.prepared === undefined && count <= MAX_ORDERS) {
    for (const db of DATABASES) {
      const isOld = db === (last?.db ?? 0) && !isUnderWay;
      // An order under way is repeated unless its database is dead.
      const mustRepeat =
        isUnderWay && !state.dead.includes(last.db) && db !== last.db;
      // An old primary that goes on steps down before it is chosen again.
      const goesOn =
        last !== undefined && db !== last.db && state.acting.includes(db);
      if (hasRights && goesOn) continue;
      if (isOld || state.dead.includes(db) || (hasRights && mustRepeat))
        continue;
      const order = {n: count, db};
      const known = hasRights ? {known: order, settled: false} : {};
      const change = {prepared: order, cleared: [n], ...known};
      const next = {...withNode(state, n, change), recorded: order};
      yield [`node ${n} prepares order ${count} of ${db}`, next];
    }
  }
  const order = node.prepared;
  if (order === undefined) return;
  const isClear = !hasRights || node.cleared.length === state.nodes.length;
  if (node.lease && isClear) {
    const change = {prepared: undefined, cleared: []};
    const next = {...withNode(state, n, change), sent: [...state.sent, order]};
    yield [`node ${n} sends order ${order.n}`, next];
  }
  if (!hasRights) return;
  for (const [m, other] of state.nodes.entries()) {
    if (node.cleared.includes(m)) continue;
    const cleared = [...node.cleared, m].toSorted();
    if (!state.keys[m]) {
      const next = withNode(state, n, {cleared});
      yield [`node ${n} finds no key of node ${m}`, next];
    } else if ((other.known?.n ?? 0) <= order.n) {
      const isNews = (other.known?.n ?? 0) < order.n;
      const news = isNews ? {known: order, settled: false} : {};
      const next = withNode(withNode(state, m, news), n, {cleared});
      yield [`node ${m} hands back to node ${n}`, next];
    }
  }
}

function* knowledgeSteps(
  state: State,
  n: number,
  {hasRights}: ModelRules,
): Generator<Step> {
  const node = state.nodes[n]!;
  const {recorded} = state;
  if (hasRights && recorded !== undefined) {
    if ((node.known?.n ?? 0) < recorded.n) {
      const next = withNode(state, n, {known: recorded, settled: false});
      yield [`the feed tells node ${n} of order ${recorded.n}`, next];
    }
  }
  const {known} = node;
  if (known !== undefined && !node.settled && state.acting.includes(known.db)) {
    yield [
      `${known.db} tells node ${n}: I lead`,
      withNode(state, n, {settled: true}),
    ];
  }
  // Without a record a node learns of a promotion from the new primary alone.
  if (!hasRights && state.lastCarriedOut > (node.known?.n ?? 0)) {
    const carried = {n: state.lastCarriedOut, db: state.leader};
    const next = withNode(state, n, {known: carried, settled: true});
    yield [`node ${n} hears of ${state.leader}`, next];
  }
}

function* platformSteps(state: State, {hasFence}: ModelRules): Generator<Step> {
  for (const [at, order] of state.sent.entries()) {
    const sent = state.sent.toSpliced(at, 1);
    yield [`order ${order.n} is lost`, {...state, sent}];
    const isFenced = hasFence && order.n < state.lastCarriedOut;
    if (isFenced || state.dead.includes(order.db)) continue;
    const acting = [...new Set([...state.acting, order.db])].toSorted();
    const lastCarriedOut = Math.max(state.lastCarriedOut, order.n);
    const next = {...state, sent, leader: order.db, acting, lastCarriedOut};
    yield [`order ${order.n} takes effect`, next];
  }
  for (const db of state.acting) {
    if (db === state.leader) continue;
    const acting = state.acting.filter(other => other !== db);
    yield [`old primary ${db} steps down`, {...state, acting}];
  }
  const isUnused = (db: number) =>
    db !== state.leader && !state.acting.includes(db) && !state.dead.length;
  for (const db of DATABASES.filter(isUnused)) {
    yield [`${db} dies`, {...state, dead: [...state.dead, db].toSorted()}];
  }
}
