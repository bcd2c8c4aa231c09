import {describe, expect, it} from 'vitest';
import {
  decodeRequest,
  decodeResult,
  encodeRequest,
  encodeResult,
} from '../../src/home/statement-codec.js';
import type {
  StatementRequest,
  StatementResult,
} from '../../src/home/statement-request.js';
import {mayHaveRun, notRun} from '../../src/verdict/verdict.js';
import {decodeFrame, encodeFrame} from '../peers/frames.js';

const REQUEST: StatementRequest = {
  sessionId: 'a1',
  group: 'claims',
  team: 'red',
  kind: 'write',
  priority: 2,
  deadlineMs: 800,
  commits: false,
  pin: 'x-1',
  statement: {
    requestId: 'r1',
    access: 'write',
    text: 'a data',
    prepared: {access: 'write', shape: 'q2c'},
  },
  consistency: 'session',
  maxStalenessMs: 2_500,
  latencyGoalMs: 120,
  position: {term: 3, offset: 17},
  values: {colour: 'red'},
  opens: 'readWrite',
  nearOnly: true,
  fullReplica: {databaseId: 'db-1', outstanding: 9, costMs: 50, concurrency: 7},
};

describe('statement codec', () => {
  it.each([
    REQUEST,
    {
      ...REQUEST,
      pin: undefined,
      position: undefined,
      values: {},
      opens: undefined,
      nearOnly: undefined,
      fullReplica: undefined,
      statement: {
        requestId: 'r2',
        access: 'read',
        text: 'READ a',
        prepared: undefined,
      },
    } satisfies StatementRequest,
  ])('decodes a request as it was encoded (%#)', req => {
    const body = decodeFrame(encodeFrame(encodeRequest(req)));
    expect(decodeRequest(body)).toEqual(req);
  });

  it.each<StatementResult>([
    {
      verdict: {kind: 'done'},
      transaction: 'open',
      pin: 'x-2',
      position: {term: 1, offset: 2},
      output: {rows: ['v'], signature: 's', error: undefined},
    },
    {
      verdict: notRun('overloaded', 'the queue is long', 30),
      transaction: 'idle',
      pin: undefined,
      position: undefined,
      output: undefined,
      fullReplica: REQUEST.fullReplica,
    },
    {
      verdict: mayHaveRun('targetLost', 'gone'),
      transaction: 'failed',
      pin: undefined,
      position: undefined,
      output: {rows: [], signature: '', error: {code: 'failed', detail: 'why'}},
    },
  ])('decodes a result as it was encoded (%#)', result => {
    const body = decodeFrame(encodeFrame(encodeResult(result)));
    expect(decodeResult(body)).toEqual(result);
  });

  it('decodes no request from a malformed body', () => {
    const withoutRank = encodeRequest(REQUEST).with(4, 'urgent');
    for (const body of [
      undefined,
      null,
      'text',
      {},
      [],
      ['a', 'b'],
      withoutRank,
    ]) {
      expect(decodeRequest(body)).toBeUndefined();
    }
  });
});
