import type net from 'node:net';
import {expect, it} from 'vitest';
import {AnswerWriter} from '../../standins/database/answer-writer.js';
import {sendResult} from '../../standins/database/send-result.js';
import {FreezeGate} from '../../standins/database/signal.js';

it('yields to the event loop while a client reads as fast as it is sent to', async () => {
  let sent = 0;
  const socket = {write: (bytes: Buffer) => (sent += bytes.length) > 0};
  const writer = new AnswerWriter(socket as net.Socket, new FreezeGate());
  let sentAtFirstYield: number | undefined;
  setImmediate(() => (sentAtFirstYield = sent));
  const rows = Array.from({length: 50_000}, () => ['0123456789']);
  await sendResult(writer, {rows, tag: 'SELECT 50000'});
  await writer.flush();
  expect(sentAtFirstYield).toBeLessThan(sent / 2);
});
