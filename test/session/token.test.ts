import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {covers, START_POSITION} from '../../src/session/position.js';
import {
  decodeToken,
  MAX_TOKEN_CHARS,
  MAX_TOKEN_GROUPS,
  SessionToken,
} from '../../src/session/token.js';
import {TokenSigner} from '../../src/session/token-signer.js';

const SECRET = 'a secret of this test deployment';
const signer = new TokenSigner(SECRET);

const positions = fc.record({
  term: fc.nat(9),
  offset: fc.nat(99),
});
const tokens = fc
  .array(fc.tuple(fc.string({minLength: 1, unit: 'grapheme'}), positions))
  .map(entries => SessionToken.from(entries));

function decoded(text: string): SessionToken {
  const result = decodeToken(text, signer);
  if (result.kind !== 'valid') throw new Error(result.message);
  return result.token;
}

describe('SessionToken', () => {
  test('survives encoding and decoding', () => {
    fc.assert(
      fc.property(tokens, token => {
        const text = token.encode(signer);
        expect(text).toMatch(/^[\w.-]+$/);
        const copy = decoded(text);
        expect(copy.groups).toEqual(token.groups);
        expect(copy.complete).toBe(token.complete);
        for (const group of token.groups) {
          expect(copy.at(group)).toEqual(token.at(group));
        }
      }),
      {seed: 11},
    );
  });

  test('never moves to a lower position', () => {
    const token = SessionToken.fresh().with('claims', {term: 2, offset: 7});
    const same = token.with('claims', {term: 1, offset: 99});
    expect(same.at('claims')).toEqual({term: 2, offset: 7});
  });

  test('merges to a token that covers both', () => {
    fc.assert(
      fc.property(tokens, tokens, (a, b) => {
        const merged = a.merge(b);
        for (const group of [...a.groups, ...b.groups]) {
          const position = merged.at(group) ?? START_POSITION;
          expect(covers(position, a.at(group) ?? START_POSITION)).toBe(true);
          expect(covers(position, b.at(group) ?? START_POSITION)).toBe(true);
        }
      }),
      {seed: 12},
    );
  });

  test('has no position for unlisted groups if its history is unknown', () => {
    expect(SessionToken.fresh().at('claims')).toEqual(START_POSITION);
    expect(SessionToken.unknown().at('claims')).toBeUndefined();
    const written = SessionToken.unknown().with('claims', {term: 1, offset: 1});
    expect(decoded(written.encode(signer)).at('ledger')).toBeUndefined();
  });

  test('drops the least recently used group over the limit', () => {
    let token = SessionToken.fresh();
    for (let i = 0; i <= MAX_TOKEN_GROUPS; i++) {
      token = token.with(`group-${i}`, {term: 1, offset: i + 1});
    }
    expect(token.groups).toHaveLength(MAX_TOKEN_GROUPS);
    expect(token.complete).toBe(false);
    expect(token.at('group-0')).toBeUndefined();
    expect(token.at('group-1')).toEqual({term: 1, offset: 2});
  });

  test('stays within the maximum length with long group names', () => {
    const entries = Array.from(
      {length: MAX_TOKEN_GROUPS},
      (_, i) =>
        [
          `${'é'.repeat(30)}${i}`,
          {term: 999_999_999_999_999, offset: 999_999_999_999_999},
        ] as const,
    );
    const text = SessionToken.from(entries).encode(signer);
    expect(text.length).toBeLessThan(MAX_TOKEN_CHARS);
  });
});

describe('decodeToken', () => {
  const text = SessionToken.fresh()
    .with('claims', {term: 3, offset: 1042})
    .encode(signer);

  test('rejects a token signed with another secret as forged', () => {
    const other = new TokenSigner('another secret of these tests');
    expect(decodeToken(text, other)).toMatchObject({kind: 'forged'});
  });

  test('rejects a token with any character changed', () => {
    for (let i = 0; i < text.length - 1; i++) {
      const changed = text[i] === 'A' ? 'B' : 'A';
      const forged = text.slice(0, i) + changed + text.slice(i + 1);
      expect(decodeToken(forged, signer).kind).not.toBe('valid');
    }
  });

  test.each([
    ['empty text', ''],
    ['free text', 'claims=3/1042'],
    ['a newer format', text.replace(/^z1/, 'z2')],
    ['too much text', `z1.${'A'.repeat(MAX_TOKEN_CHARS)}.AAAA`],
    ['no signature', text.slice(0, text.lastIndexOf('.'))],
  ])('rejects %s as malformed with advice', (_, given) => {
    const result = decodeToken(given, signer);
    expect(result).toMatchObject({
      kind: 'malformed',
      message: expect.stringContaining('open the session without') as string,
    });
  });

  test('accepts the previous secret during a rotation', () => {
    const rotated = new TokenSigner('the new secret of this test', [SECRET]);
    expect(decodeToken(text, rotated).kind).toBe('valid');
    const later = new TokenSigner('the new secret of this test');
    expect(decodeToken(text, later).kind).toBe('forged');
  });

  test('rejects a secret that is too short', () => {
    expect(() => new TokenSigner('short')).toThrow(/at least 16 random bytes/);
  });
});
