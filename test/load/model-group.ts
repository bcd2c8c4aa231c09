/**
 * A group in virtual time: its home, a reader, and three databases that run
 * statements one after another in each slot.
 */
import {CertifiedReads} from '../../src/home/certified-reads.js';
import {GroupMember} from '../../src/home/group-member.js';
import {HomeForwarder} from '../../src/home/home-forwarder.js';
import {
  decodeRequest,
  decodeResult,
  encodeRequest,
  encodeResult,
} from '../../src/home/statement-codec.js';
import {
  failedStatement,
  type StatementRequest,
  type StatementResult,
} from '../../src/home/statement-request.js';
import {Leadership} from '../../src/groups/leadership.js';
import type {GroupSharing} from '../../src/load/types.js';
import {LoadSharing} from '../../src/load/load-sharing.js';
import {PositionCertificates} from '../../src/routing/certificates.js';
import type {StatementConnection} from '../../src/statements/connection.js';
import {createLogger} from '../../src/telemetry/log.js';
import {createAnnouncement} from '../fakes/announced-database.js';
import {createHomeContext, VALID_CLAIM} from '../fakes/home-context.js';
import {VirtualClock} from '../fakes/virtual-clock.js';
import {VirtualNetwork} from '../fakes/virtual-network.js';

export const SLOTS = 6;
const CONNECT_MS = 12;
const GOAL_MS = 1_500;
const DEADLINE_MS = 8_000;
const POSITION = {term: 1, offset: 1};
const log = createLogger('silent');

/** A database; statements name their execution time as their text. */
class ModelDatabase {
  readonly #freeAt = Array.from({length: SLOTS}, () => 0);
  /** Statements and connection attempts that it runs or has queued. */
  running = 0;

  constructor(
    readonly clock: VirtualClock,
    readonly id: string,
    readonly dataCentre: string,
  ) {}

  async occupy(ms: number): Promise<void> {
    const slot = this.#freeAt.indexOf(Math.min(...this.#freeAt));
    const endAt = Math.max(this.clock.now(), this.#freeAt[slot]!) + ms;
    this.#freeAt[slot] = endAt;
    this.running += 1;
    await this.clock.sleep(endAt - this.clock.now());
    this.running -= 1;
  }

  async connect(): Promise<StatementConnection> {
    await this.occupy(CONNECT_MS);
    return {
      usable: true,
      transaction: 'idle',
      run: async commands => {
        for (const command of commands) {
          if (command.kind === 'run')
            await this.occupy(Number(command.statement.text));
        }
        return commands.map(() => ({
          kind: 'done',
          rows: [this.id],
          signature: 's',
          transaction: 'idle',
          position: POSITION,
        }));
      },
      queryState: async () => undefined,
      stepDown: async () => undefined,
      close: () => {},
      onClose: () => {},
    };
  }
}

function createReads(
  databases: readonly ModelDatabase[],
  dataCentre: string,
  isHome: boolean,
  sharing: GroupSharing | undefined,
) {
  const {clock} = databases[0]!;
  const leadership = new Leadership();
  leadership.recordProof('db-0', 1, 0);
  const certificates = new PositionCertificates();
  certificates.record(POSITION, Number.MAX_SAFE_INTEGER);
  const members = databases.map(database => {
    const {id, dataCentre} = database;
    const entry = createAnnouncement(id, {dataCentre, slots: SLOTS});
    return new GroupMember(entry, {
      clock,
      connector: {connect: () => database.connect()},
      connectionLimit: () => 29,
      weightOf: () => 1,
      anyTeam: () => 'red',
    });
  });
  const ctx = createHomeContext(clock, {
    dataCentre,
    members: new Map(members.map(member => [member.id, member])),
    leadership,
    certificates,
    right: {isHeld: isHome, claim: () => (isHome ? VALID_CLAIM : undefined)},
    sharing,
  });
  const reads = new CertifiedReads(ctx);
  const execute = async (req: StatementRequest): Promise<StatementResult> => {
    const now = clock.now();
    const attempt = {
      req,
      signal: new AbortController().signal,
      arrivedAt: now,
      latencyGoalAt: now + req.latencyGoalMs,
      deadlineAt: now + req.deadlineMs,
    };
    const refusal = req.nearOnly
      ? reads.refuseIfNoneNearby(attempt)
      : reads.refuseIfLateForOthers(attempt);
    return refusal ?? reads.run(attempt);
  };
  const loads = () =>
    members.map(({load}) => load).filter(({outstanding}) => outstanding > 0);
  return {execute, loads, members: ctx.members};
}

/** Creates the group; `reader` serves the data centre of `db-1`. */
export function createGroup(sharesLoad: boolean) {
  const clock = new VirtualClock();
  const net = new VirtualNetwork(clock, 1);
  const databases = ['a', 'b', 'c'].map(
    (dataCentre, n) => new ModelDatabase(clock, `db-${n}`, dataCentre),
  );
  /** Reads that the reader passed on, and those that came back to its replica. */
  const counts = {passedOn: 0, sentBack: 0};
  const stop = new AbortController();
  const createNode = (id: string, dataCentre: string, other: string) => {
    const node = net.addNode(id);
    const sharing = new LoadSharing({
      clock,
      log,
      peers: node,
      metrics: {
        recordLoadReport: () => {},
        recordPassedOn: () => (counts.passedOn += 1),
      },
      instance: id,
      work: () => [{group: 'claims', loads: reads.loads()}],
      otherSenders: () => [{id: other, host: 'h', port: 1}],
      isCurrent: (from, instance) => from === instance,
    });
    const reads = createReads(
      databases,
      dataCentre,
      id === 'home',
      sharesLoad ? sharing.of('claims') : undefined,
    );
    node.handlers.set('statement.run', async body => {
      const result = await reads.execute(decodeRequest(body)!);
      const isSentBack = result.output?.rows[0] === 'db-1';
      counts.sentBack += Number(isSentBack);
      return encodeResult(result);
    });
    for (const [method, handler] of sharing.handlers)
      node.handlers.set(method, handler);
    if (sharesLoad) void sharing.run(stop.signal);
    return {node, load: sharing.of('claims').load, ...reads};
  };
  const home = createNode('home', 'a', 'reader');
  const reader = createNode('reader', 'b', 'home');
  const forwarder = new HomeForwarder<StatementRequest, StatementResult, never>(
    {
      self: 'reader',
      clock,
      peers: reader.node,
      local: reader,
      method: 'statement.run',
      codec: {encode: encodeRequest, decode: decodeResult},
      homeOrder: () => [home.node.address],
      findNode: () => undefined,
      readerOf: () => reader.node.address,
      failed: verdict => failedStatement(verdict),
    },
  );
  const requestOf = (costMs: number): StatementRequest => ({
    sessionId: 's',
    group: 'claims',
    team: 'red',
    kind: 'read',
    priority: 1,
    deadlineMs: DEADLINE_MS,
    commits: true,
    pin: undefined,
    statement: {requestId: 'r', access: 'read', text: String(costMs)},
    consistency: 'bounded',
    maxStalenessMs: 1_500,
    latencyGoalMs: GOAL_MS,
    position: undefined,
    values: {},
    opens: undefined,
  });
  /** Runs a read of a caller near the reader, or near the home. */
  const read = (costMs: number, at: 'reader' | 'home') => {
    const req = requestOf(costMs);
    if (at === 'home') return home.execute(req);
    return forwarder.execute(req, () => {}, new AbortController().signal);
  };
  return {clock, net, databases, counts, home, read, requestOf, stop};
}
