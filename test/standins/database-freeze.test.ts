import {setTimeout} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {FreezeGate} from '../../standins/database/signal.js';
import {StatementRunner} from '../../standins/database/statement-runner.js';

it('finishes a running statement only after the end of a freeze', async () => {
  const gate = new FreezeGate();
  const runner = new StatementRunner(1, 10, gate);
  let finished = false;
  const running = runner.run(0, new AbortController().signal, () => {
    finished = true;
  });
  gate.freeze(60_000);
  await setTimeout(50);
  expect(finished).toBe(false);
  gate.release();
  await running;
  expect(finished).toBe(true);
});
