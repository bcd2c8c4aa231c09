import {describe, expect, test} from 'vitest';
import {readRetryAfterMs, toErrorFields} from '../../src/verdict/sqlstate.js';
import {
  mayHaveRun,
  notRun,
  type RefusalReason,
  type UncertainReason,
} from '../../src/verdict/verdict.js';

const SQLSTATES: Readonly<Record<RefusalReason, string>> = {
  badRequest: '08P01',
  unsupported: '0A000',
  unknownRoute: '3D000',
  notAuthorised: '28P01',
  cutOff: '57P03',
  rateLimited: '53400',
  budgetUnavailable: '57P03',
  overloaded: '53300',
  cancelled: '57014',
  noPrimary: '57P03',
  staleReplicas: '57P03',
  targetUnavailable: '57P03',
  homeUnavailable: '57P03',
  shuttingDown: '57P01',
  evacuated: '57P03',
};

const UNCERTAIN: readonly UncertainReason[] = [
  'targetLost',
  'homeLost',
  'termChanged',
  'ackTimeout',
  'deadline',
];

describe('toErrorFields', () => {
  test.each(Object.entries(SQLSTATES))('maps %s to %s', (reason, sqlstate) => {
    const fields = toErrorFields(notRun(reason as RefusalReason, 'why'));
    expect(fields.sqlstate).toBe(sqlstate);
    expect(fields.message).toBe('why');
    expect(fields.detail).toBe(`outcome=not_run reason=${reason}`);
    expect(fields.hint).not.toBe('');
  });

  test.each(UNCERTAIN)(
    'maps %s to 08007 and warns that it may have run',
    reason => {
      const fields = toErrorFields(mayHaveRun(reason, 'why'));
      expect(fields.sqlstate).toBe('08007');
      expect(fields.detail).toBe(`outcome=may_have_run reason=${reason}`);
      expect(fields.hint).toContain('may have run');
    },
  );

  test('puts the retry time in the detail and the hint', () => {
    const fields = toErrorFields(notRun('rateLimited', 'over', 119.2));
    expect(fields.detail).toBe(
      'outcome=not_run reason=rateLimited retry_after_ms=120',
    );
    expect(fields.hint).toContain('send it again in 120 ms');
    expect(readRetryAfterMs(fields.detail)).toBe(120);
  });

  test('returns no retry time if the detail has none', () => {
    expect(readRetryAfterMs('outcome=not_run reason=cutOff')).toBeUndefined();
  });
});
