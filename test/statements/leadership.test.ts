import {describe, expect, it} from 'vitest';
import {Leadership} from '../../src/groups/leadership.js';
import type {DatabaseState} from '../../src/statements/types.js';

const stateOf = (term: number): DatabaseState => ({
  role: 'primary',
  term,
  received: {term: 3, offset: 1},
});

describe('leadership', () => {
  it('trusts an announcement until an answer contradicts it', () => {
    const leadership = new Leadership();
    leadership.recordAnnouncement('a', 'primary', 0);
    leadership.recordAnnouncement('b', 'replica', 0);
    expect(leadership.leaderId).toBe('a');
    leadership.recordRefusal('a');
    expect(leadership.leaderId).toBeUndefined();
  });

  it('prefers the highest term to a repeated old announcement', () => {
    const leadership = new Leadership();
    leadership.recordProof('a', 3, 10);
    leadership.recordState('b', stateOf(4), 20);
    leadership.recordAnnouncement('a', 'primary', 30);
    expect(leadership.leaderId).toBe('b');
  });

  it('keeps the term of a new primary whose log still ends in the old term', () => {
    const leadership = new Leadership();
    leadership.recordProof('a', 3, 10);
    leadership.recordState('b', stateOf(4), 20);
    leadership.recordProof('b', 3, 30);
    expect(leadership.leaderId).toBe('b');
  });

  it('prefers the latest proof if two databases accepted work in one term', () => {
    const leadership = new Leadership();
    leadership.recordProof('a', 3, 10);
    leadership.recordProof('b', 3, 30);
    leadership.recordProof('a', 3, 20);
    expect(leadership.leaderId).toBe('b');
  });

  it('follows an announced change if the old primary has no recent proof', () => {
    const leadership = new Leadership();
    leadership.recordAnnouncement('b', 'replica', 0);
    leadership.recordProof('a', 3, 1_000);
    leadership.recordAnnouncement('b', 'primary', 1_100);
    expect(leadership.leaderId).toBe('a');
    const later = new Leadership();
    later.recordAnnouncement('b', 'replica', 0);
    later.recordProof('a', 3, 1_000);
    later.recordAnnouncement('b', 'primary', 2_100);
    expect(later.leaderId).toBe('b');
    later.recordRefusal('b');
    expect(later.leaderId).toBe('a');
  });

  it('has no leader while two databases announce the role without proof', () => {
    const leadership = new Leadership();
    leadership.recordAnnouncement('a', 'primary', 0);
    leadership.recordAnnouncement('b', 'primary', 0);
    expect(leadership.leaderId).toBeUndefined();
    expect(leadership.isContested).toBe(true);
    leadership.recordProof('b', 2, 10);
    expect(leadership.leaderId).toBe('b');
    leadership.forget('b');
    expect(leadership.leaderId).toBe('a');
  });
});
