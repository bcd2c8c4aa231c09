import {expect, test} from 'vitest';
import {ConfigDocument} from '../../src/rollout/config-document.js';
import {createKey, verifyKey} from '../../src/rollout/keys.js';

const GRANTED_AT = 1_700_000_000_000;

test('verifies a key as its team', () => {
  const {text, record} = createKey('lab', GRANTED_AT);
  const document = ConfigDocument.EMPTY.withKey(record);
  expect(text).toMatch(/^zk_[0-9a-f]{16}_[A-Za-z0-9_-]{43}$/);
  expect(verifyKey(document, text)).toEqual({
    kind: 'valid',
    team: 'lab',
    keyId: record.id,
  });
});

test('does not store the secret', () => {
  const {text, record} = createKey('lab', GRANTED_AT);
  const secret = text.slice(text.lastIndexOf('_', 20) + 1);
  expect(JSON.stringify(record)).not.toContain(secret);
});

test('rejects wrong secrets, malformed keys and keys never granted', () => {
  const {text, record} = createKey('lab', GRANTED_AT);
  const other = createKey('lab', GRANTED_AT).text;
  const document = ConfigDocument.EMPTY.withKey(record);
  const forged = `zk_${record.id}_${other.slice(20)}`;
  for (const wrong of [forged, other, `${text}x`, text.slice(1), '', 'zk__']) {
    expect(verifyKey(document, wrong)).toEqual({kind: 'unknown'});
  }
});

test('reports a withdrawn key as withdrawn', () => {
  const {text, record} = createKey('lab', GRANTED_AT);
  const document = ConfigDocument.EMPTY.withKey(record).withoutKey(record.id);
  expect(verifyKey(document, text)).toEqual({
    kind: 'withdrawn',
    keyId: record.id,
    atVersion: 1,
  });
});
