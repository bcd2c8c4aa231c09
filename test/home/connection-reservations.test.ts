import {describe, expect, it} from 'vitest';
import {ConnectionReservations} from '../../src/home/connection-reservations.js';
import {ManualClock} from '../admission/manual-clock.js';

function createReservations(connections: number) {
  const clock = new ManualClock();
  const reservations = new ConnectionReservations({
    clock,
    connectionLimit: () => connections,
  });
  const reserve = (team: string, count: number) =>
    Array.from({length: count}, () => reservations.tryReserve(team)).filter(
      end => end !== undefined,
    );
  return {clock, reservations, reserve};
}

describe('connection reservations', () => {
  it('leave half to the other teams while one has 120 idle callers', () => {
    const {reservations, reserve} = createReservations(18);
    expect(reserve('idle', 120)).toHaveLength(8);
    const others = reserve('other', 120);
    expect(others).toHaveLength(8);
    expect(reservations.mayReserve('third')).toBe(false);
    others[0]?.();
    expect(reservations.mayReserve('third')).toBe(true);
  });

  it('give a team at least one', () => {
    const {reserve} = createReservations(2);
    expect(reserve('a', 3)).toHaveLength(1);
  });

  it('name a retry time that grows while callers stay idle', () => {
    const {clock, reservations, reserve} = createReservations(18);
    reserve('idle', 8);
    expect(reservations.nextFreeMs('idle')).toBe(50);
    clock.advance(4_000);
    expect(reservations.nextFreeMs('idle')).toBe(500);
  });
});
