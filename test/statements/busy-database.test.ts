import {describe, expect, it} from 'vitest';
import {Leadership} from '../../src/groups/leadership.js';
import {CertifiedReads} from '../../src/home/certified-reads.js';
import {GroupMember} from '../../src/home/group-member.js';
import {PrimaryWrites} from '../../src/home/primary-writes.js';
import type {StatementRequest} from '../../src/home/statement-request.js';
import {TransactionStatements} from '../../src/home/transaction-statements.js';
import {createAnnouncement} from '../fakes/announced-database.js';
import {createHomeContext} from '../fakes/home-context.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const GOAL_MS = 400;

/** A primary whose slots are all in use until `freeAt`. */
function createHome() {
  const clock = new VirtualClock();
  const database = {freeAt: 0, isOpen: false};
  const leadership = new Leadership();
  leadership.recordProof('db-0', 1, 0);
  const entry = createAnnouncement('db-0', {role: 'primary'});
  const member = new GroupMember(entry, {
    clock,
    connector: {
      connect: async () => ({
        usable: true,
        get transaction() {
          return database.isOpen ? ('open' as const) : ('idle' as const);
        },
        run: async commands =>
          commands.map(({kind}) => {
            const rest = {position: {term: 1, offset: 1}};
            const isBusy = kind !== 'rollback' && clock.now() < database.freeAt;
            if (kind === 'begin' && !isBusy) database.isOpen = true;
            if (kind === 'rollback') database.isOpen = false;
            const transaction = database.isOpen ? 'open' : 'idle';
            return isBusy
              ? {kind: 'error', code: 'busy', detail: '', transaction, ...rest}
              : {kind: 'done', rows: [], signature: 's', transaction, ...rest};
          }),
        queryState: async () => undefined,
        stepDown: async () => undefined,
        close: () => {},
        onClose: () => {},
      }),
    },
    connectionLimit: () => 8,
    weightOf: () => 1,
    anyTeam: () => 'red',
  });
  const members = new Map([['db-0', member]]);
  const ctx = createHomeContext(clock, {members, leadership});
  const req: StatementRequest = {
    sessionId: 's',
    group: 'claims',
    team: 'red',
    kind: 'write',
    priority: 0,
    deadlineMs: 800,
    commits: true,
    pin: undefined,
    statement: {requestId: 'r1', access: 'write', text: 'WRITE a 1'},
    consistency: 'primary',
    maxStalenessMs: 0,
    latencyGoalMs: GOAL_MS,
    position: undefined,
    values: {},
    opens: undefined,
  };
  const attempt = (fields: Partial<StatementRequest>) => ({
    req: {...req, ...fields},
    signal: new AbortController().signal,
    arrivedAt: clock.now(),
    latencyGoalAt: clock.now() + GOAL_MS,
    deadlineAt: clock.now() + 800,
  });
  const write = (fields: Partial<StatementRequest> = {}) =>
    new PrimaryWrites(ctx).run(attempt(fields));
  const read = () => new CertifiedReads(ctx).run(attempt({kind: 'read'}));
  const continueIn = (pin: string) =>
    new TransactionStatements(ctx, {
      dataCentreOf: () => undefined,
    }).run({...req, commits: false, pin}, pin);
  return {clock, database, write, read, continueIn};
}

describe('a database whose slots are all in use', () => {
  it.each(['write', 'read'] as const)(
    'gets a %s again until one is free within the latency goal',
    async kind => {
      const {clock, database, [kind]: run} = createHome();
      database.freeAt = GOAL_MS / 2;
      const result = await clock.outcome(run(), GOAL_MS);
      expect(result?.verdict.kind).toBe('done');
      expect(result?.output?.error).toBeUndefined();
    },
  );

  it.each(['write', 'read'] as const)(
    'gets no %s any more soon after the latency goal',
    async kind => {
      const {clock, database, [kind]: run} = createHome();
      database.freeAt = 10_000;
      const result = await clock.outcome(run(), GOAL_MS + 150);
      expect(result?.verdict).toMatchObject({
        kind: 'notRun',
        reason: 'overloaded',
        retryAfterMs: expect.any(Number) as number,
      });
    },
  );

  it('costs an open transaction nothing within the latency goal', async () => {
    const {clock, database, write, continueIn} = createHome();
    const opens = {opens: 'readWrite', commits: false} as const;
    const opened = await clock.outcome(write(opens), 50);
    expect(opened?.transaction).toBe('open');
    database.freeAt = clock.now() + GOAL_MS / 2;
    const result = await clock.outcome(continueIn(opened!.pin!), GOAL_MS);
    expect(result).toMatchObject({transaction: 'open', output: {rows: []}});
    expect(result?.output?.error).toBeUndefined();
  });
});
