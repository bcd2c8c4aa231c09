import fc from 'fast-check';
import {expect, it} from 'vitest';
import {comparePositions, type Position} from '../../src/session/position.js';
import {GroupMember, startAsPrimary} from '../../standins/database/member.js';
import {servePull} from '../../standins/database/replication-source.js';
import {FreezeGate} from '../../standins/database/signal.js';
import {Tables} from '../../standins/database/tables.js';
import {WriteSet} from '../../standins/database/write-set.js';

type Step =
  | {readonly kind: 'write'; readonly at: number}
  | {readonly kind: 'pull'; readonly from: number; readonly to: number}
  | {readonly kind: 'elect'; readonly without: number};

interface Write {
  readonly id: string;
  readonly position: Position;
  confirmed: boolean;
}

const index = fc.nat({max: 2});
const steps: fc.Arbitrary<Step[]> = fc.array(
  fc.oneof(
    {weight: 3, arbitrary: fc.record({kind: fc.constant('write'), at: index})},
    {
      weight: 4,
      arbitrary: fc.record({kind: fc.constant('pull'), from: index, to: index}),
    },
    {
      weight: 1,
      arbitrary: fc.record({kind: fc.constant('elect'), without: index}),
    },
  ) as fc.Arbitrary<Step>,
  {maxLength: 60},
);

/** Three members with writes, pulls and elections, and invariants to check. */
class Group {
  readonly members = [0, 1, 2].map(() => new GroupMember(0, new FreezeGate()));
  readonly writes: Write[] = [];

  constructor() {
    startAsPrimary(this.members[0]!);
  }

  async run(step: Step): Promise<void> {
    if (step.kind === 'write') return this.#write(this.members[step.at]!);
    if (step.kind === 'elect') return this.#elect(step.without);
    await this.#pull(this.members[step.from]!, this.members[step.to]!);
  }

  #write(member: GroupMember): void {
    if (member.role !== 'primary') return;
    const id = String(this.writes.length);
    const row = {id, team: 'x', value: 1};
    const writes = new WriteSet(member.rows);
    writes.write({kind: 'insert', table: 't', row, ignoreConflict: false});
    const position = member.commit(member.term, writes);
    this.writes.push({id, position, confirmed: false});
  }

  async #pull(from: GroupMember, to: GroupMember): Promise<void> {
    let previous = to.log.last;
    for (;;) {
      if (from.role !== 'primary' || to.role === 'primary') return;
      if (comparePositions(from.log.last, previous) === 0) return;
      const answer = await servePull(from, previous);
      if (answer.kind === 'entries') {
        expect(to.accept(answer)).toBe(from.term >= to.fencedTerm);
        break;
      }
      previous = to.log.positionAt(to.log.offsetBeforeTermOf(previous.offset));
    }
    for (const write of this.writes) {
      const {term} = write.position;
      const result = await to.confirm(term, write.position, 0);
      if (result.kind === 'confirmed') write.confirmed = true;
    }
  }

  /** Fences all members but one at a new term; promotes the most advanced. */
  #elect(without: number): void {
    const voters = this.members.filter((_, at) => at !== without);
    const term = 1 + Math.max(...this.members.map(member => member.fencedTerm));
    for (const voter of voters) voter.fence(term, 'vm1');
    voters.sort((a, b) => comparePositions(b.log.last, a.log.last));
    expect(voters[0]!.promote(term, 'vm1')).toBe(true);
    const held = new Set([...voters[0]!.rows.rows('t')].map(row => row.id));
    const confirmed = this.writes.filter(write => write.confirmed);
    for (const {id} of confirmed) expect(held).toContain(id);
  }

  checkInvariants(): void {
    for (const {log, rows, applied} of this.members) {
      const replayed = new Tables();
      for (const entry of log.after(0, applied.offset)) {
        replayed.apply(entry.changes);
      }
      expect([...rows.rows('t')]).toEqual([...replayed.rows('t')]);
    }
    const leaders = this.members.filter(({role}) => role === 'primary');
    expect(new Set(leaders.map(({term}) => term)).size).toBe(leaders.length);
  }
}

it('keeps confirmed writes through any sequence of fences and partitions', async () => {
  await fc.assert(
    fc.asyncProperty(steps, async run => {
      const group = new Group();
      for (const step of run) {
        await group.run(step);
        group.checkInvariants();
      }
      group.members.forEach(member => member.close());
    }),
    {numRuns: 300},
  );
});
