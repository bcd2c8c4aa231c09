import {describe, expect, it} from 'vitest';
import type {DataCentreUse} from '../../src/catalog/evacuations.js';
import {CertifiedReads} from '../../src/home/certified-reads.js';
import {GroupMember} from '../../src/home/group-member.js';
import type {StatementAttempt} from '../../src/home/statement-attempt.js';
import type {PrimaryClaim} from '../../src/groups/primary-rights.js';
import {Leadership} from '../../src/groups/leadership.js';
import type {DrainNotice} from '../../src/groups/drain-notice.js';
import {PositionCertificates} from '../../src/routing/certificates.js';
import type {StatementConnection} from '../../src/statements/connection.js';
import type {DatabaseCommand} from '../../src/statements/types.js';
import {createAnnouncement} from '../fakes/announced-database.js';
import {createHomeContext} from '../fakes/home-context.js';
import {VirtualClock} from '../fakes/virtual-clock.js';

const DRAIN_MS = 7_000;

/** One database whose connection opens when the test calls `open`. */
function createHome() {
  const clock = new VirtualClock();
  const leadership = new Leadership();
  const sent: DatabaseCommand[] = [];
  const drain: {notice: DrainNotice | undefined} = {notice: undefined};
  const evacuation: {use: DataCentreUse} = {use: 'open'};
  const certificates = new PositionCertificates();
  const right = {isHeld: true, isClaimValid: true, copyAgeMs: 0};
  const claim: PrimaryClaim = {
    get isValid() {
      return right.isHeld && right.isClaimValid;
    },
    begin: () => () => {},
  };
  let open: () => void = () => {};
  const opened = new Promise<void>(resolve => (open = resolve));
  const connection: StatementConnection = {
    usable: true,
    transaction: 'idle',
    run: async commands => {
      sent.push(...commands);
      return commands.map(() => ({
        kind: 'done',
        rows: [],
        signature: 's',
        transaction: 'idle',
        position: {term: 1, offset: 1},
      }));
    },
    queryState: async () => undefined,
    stepDown: async () => undefined,
    close: () => {},
    onClose: () => {},
  };
  const createMember = (
    id: string,
    dataCentre: string,
    role: 'primary' | 'replica',
  ) =>
    new GroupMember(createAnnouncement(id, {dataCentre, role}), {
      clock,
      connector: {
        connect: async () => {
          await opened;
          return connection;
        },
      },
      connectionLimit: () => 8,
      weightOf: () => 1,
      anyTeam: () => 'red',
    });
  const members = new Map([
    ['db-0', createMember('db-0', 'hobart', 'primary')],
  ]);
  const addReplica = () =>
    members.set('db-1', createMember('db-1', 'burnie', 'replica'));
  leadership.recordProof('db-0', 1, 0);
  const ctx = createHomeContext(clock, {
    members,
    leadership,
    certificates,
    right: {
      get isHeld() {
        return right.isHeld;
      },
      claim: () => (right.isHeld ? claim : undefined),
    },
    copyAgeMs: () => right.copyAgeMs,
    evacuations: {
      useOf: name => (name === 'hobart' ? evacuation.use : 'open'),
      find: () => undefined,
    },
    drainNoticeOf: () => drain.notice,
    drainMs: DRAIN_MS,
  });
  const attempt: StatementAttempt = {
    req: {
      sessionId: 's',
      group: 'claims',
      team: 'red',
      kind: 'read',
      priority: 1,
      deadlineMs: 800,
      commits: true,
      pin: undefined,
      statement: {requestId: 'r1', access: 'read', text: 'READ a'},
      consistency: 'bounded',
      maxStalenessMs: 1_500,
      latencyGoalMs: 400,
      position: undefined,
      values: {},
      opens: undefined,
    },
    signal: new AbortController().signal,
    arrivedAt: 0,
    latencyGoalAt: 400,
    deadlineAt: 800,
  };
  const reads = new CertifiedReads(ctx);
  const home = {clock, reads, attempt, leadership, open, sent, drain};
  return {...home, certificates, right, evacuation, addReplica};
}

describe('certified reads', () => {
  it('run nothing at a database that lost the lead while they waited for it', async () => {
    const {reads, attempt, leadership, open, sent} = createHome();
    const result = reads.run(attempt);
    leadership.recordRefusal('db-0');
    open();
    expect((await result).verdict).toMatchObject({
      kind: 'notRun',
      reason: 'noPrimary',
    });
    expect(sent).toEqual([]);
  });

  it('are not answered by a primary whose right ended before its answer', async () => {
    const {reads, attempt, open, right} = createHome();
    right.isClaimValid = false;
    const result = reads.run(attempt);
    open();
    expect((await result).verdict).toMatchObject({kind: 'notRun'});
  });

  it('without the right run at the primary by their position only', async () => {
    const {reads, attempt, open, sent, right, certificates} = createHome();
    right.isHeld = false;
    open();
    expect((await reads.run(attempt)).verdict).toMatchObject({
      reason: 'homeUnavailable',
    });
    certificates.record({term: 1, offset: 1}, 0);
    expect((await reads.run(attempt)).verdict.kind).toBe('done');
    expect(sent).toMatchObject([{kind: 'run', after: {term: 1, offset: 1}}]);
  });

  it('take a certificate without the right for no younger than the copy of the store', async () => {
    const {clock, reads, open, right, certificates} = createHome();
    open();
    await clock.advance(5_000);
    right.isHeld = false;
    right.copyAgeMs = 900;
    const fetched = reads.fetchCertificate('red', 1);
    await clock.advance(100);
    await fetched;
    expect(certificates.newestAt).toBe(clock.now() - 100 - 900);
  });

  it('are answered late rather than refused while room is expected', async () => {
    const {reads, attempt, open} = createHome();
    const estimates: number[] = [];
    const hurried = {
      ...attempt,
      latencyGoalAt: 1,
      onRefused: ({waitMs}: {waitMs: number}) => void estimates.push(waitMs),
    };
    const results = [attempt, attempt, attempt, hurried].map(each =>
      reads.run(each),
    );
    const hopeless = await reads.run({...hurried, deadlineAt: 1});
    expect(hopeless.verdict).toMatchObject({reason: 'overloaded'});
    // Refused for its latency goal, tried again as late, and refused for that.
    expect(estimates).toHaveLength(3);
    open();
    for (const result of await Promise.all(results)) {
      expect(result.verdict.kind).toBe('done');
    }
  });

  it('run in a transaction of their own at the primary', async () => {
    const {reads, attempt, open, sent} = createHome();
    const result = reads.run(attempt);
    open();
    expect((await result).verdict.kind).toBe('done');
    expect(sent.map(({kind}) => kind)).toEqual(['begin', 'run', 'rollback']);
  });

  it('go to a draining primary until its drain ends', async () => {
    const {clock, reads, attempt, open, sent, drain} = createHome();
    drain.notice = {learntAt: clock.now(), copyAgeMs: 500};
    open();
    expect((await reads.run(attempt)).verdict.kind).toBe('done');
    await clock.advance(DRAIN_MS);
    sent.length = 0;
    const now = clock.now();
    const later = {
      ...attempt,
      arrivedAt: now,
      latencyGoalAt: now + 400,
      deadlineAt: now + 800,
    };
    expect((await reads.run(later)).verdict.kind).toBe('notRun');
    expect(sent).toEqual([]);
  });

  it('run nothing at a primary whose drain ended while they waited for it', async () => {
    const {clock, reads, attempt, open, sent, drain} = createHome();
    const result = reads.run(attempt);
    drain.notice = {learntAt: clock.now() - DRAIN_MS, copyAgeMs: 500};
    open();
    expect((await result).verdict.kind).toBe('notRun');
    expect(sent).toEqual([]);
  });

  it('go to the primary of an evacuated data centre until it is closed, also while they wait', async () => {
    const {reads, attempt, open, sent, evacuation} = createHome();
    evacuation.use = 'primaryOnly';
    const waiting = reads.run(attempt);
    evacuation.use = 'closed';
    open();
    const refusal = {kind: 'notRun', reason: 'evacuated'};
    expect((await waiting).verdict).toMatchObject(refusal);
    expect((await reads.run(attempt)).verdict).toMatchObject(refusal);
    await reads.fetchCertificate('red', 1);
    expect(sent).toEqual([]);
    evacuation.use = 'primaryOnly';
    expect((await reads.run(attempt)).verdict.kind).toBe('done');
  });

  it('leave a replica as soon as its data centre is evacuated', async () => {
    const {reads, attempt, open, sent, evacuation, ...home} = createHome();
    home.leadership.recordRefusal('db-0');
    home.certificates.record({term: 1, offset: 1}, 0);
    open();
    expect((await reads.run(attempt)).verdict.kind).toBe('done');
    sent.length = 0;
    evacuation.use = 'primaryOnly';
    expect((await reads.run(attempt)).verdict.kind).toBe('notRun');
    expect(reads.refuseIfNoneNearby(attempt)).toBeDefined();
    expect(sent).toEqual([]);
  });

  it('prefer a replica elsewhere to the primary of an evacuated data centre', async () => {
    const {reads, attempt, open, sent, evacuation, ...home} = createHome();
    home.addReplica();
    home.certificates.record({term: 1, offset: 1}, 0);
    open();
    // The primary is nearer, and usually chosen for that.
    expect((await reads.run(attempt)).verdict.kind).toBe('done');
    expect(sent.splice(0).map(({kind}) => kind)).toContain('begin');
    evacuation.use = 'primaryOnly';
    expect((await reads.run(attempt)).verdict.kind).toBe('done');
    expect(sent.map(({kind}) => kind)).toEqual(['run']);
  });
});
