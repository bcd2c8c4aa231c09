import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {explain} from '../../src/cli/explain.js';
import {CommandError} from '../../src/cli/context.js';
import {explainRequest} from '../../src/explain/timeline.js';
import {formatTimeline} from '../../src/explain/format-timeline.js';
import {parseLogLine} from '../../src/explain/log-line.js';

/** Logs of a simulated day in which a group's primary becomes unreachable. */
const LOG = new URL('./dark-primary.txt', import.meta.url);
const REFUSED = 'bf98169c5c73c0fe';

const lines = readFileSync(LOG, 'utf8')
  .split('\n')
  .flatMap(text => parseLogLine(text) ?? []);

describe('parseLogLine', () => {
  it('parses plain and quoted fields after a collector prefix', () => {
    const line = parseLogLine(
      'node-1 | time=2026-04-09T15:21:53.262Z level=warn event=storeLost vm=node-1 message="said \\"no\\" twice" provenMsAgo=2937',
    );
    expect(line).toMatchObject({
      at: Date.parse('2026-04-09T15:21:53.262Z'),
      event: 'storeLost',
      fields: {vm: 'node-1', message: 'said "no" twice', provenMsAgo: '2937'},
    });
  });

  it('returns undefined for text that is not a log line of a node', () => {
    for (const text of ['', 'time=', 'time=now event=x', 'hello time=1 b']) {
      expect(parseLogLine(text)).toBeUndefined();
    }
  });
});

describe('the timeline of a request refused for an evacuation', () => {
  it('includes the evacuation in force, whatever its age', () => {
    const log = new URL('./evacuated.txt', import.meta.url);
    const evacuatedLines = readFileSync(log, 'utf8')
      .split('\n')
      .flatMap(text => parseLogLine(text) ?? []);
    const steps = explainRequest('r2', evacuatedLines);
    const began = steps.filter(({line}) => line.event === 'evacuationBegan');
    expect(began).toMatchObject([
      {isOwn: false, line: {fields: {dataCentre: 'hobart', vm: 'node-2'}}},
    ]);
    expect(began[0]!.ageMs).toBeGreaterThan(5_000);
    expect(formatTimeline(steps).at(-1)).toContain('hobart is evacuated');
  });
});

describe('the timeline of a refused request', () => {
  const steps = explainRequest(REFUSED, lines);
  const events = steps.map(({line}) => line.event);

  it('includes the loss of the primary and the refusal, in this order', () => {
    const own = steps.filter(({isOwn}) => isOwn);
    expect(own.map(({line}) => line.event)).toEqual([
      'statementGivenUp',
      'statementFailed',
    ]);
    expect(events.indexOf('primaryChangeNeeded')).toBeLessThan(
      events.indexOf('statementGivenUp'),
    );
    expect(events).toContain('promotionOrdered');
  });

  it('gives the age of each event', () => {
    const ordered = steps.find(({line}) => line.event === 'promotionOrdered');
    expect(ordered?.ageMs).toBe(84);
    const [inForce] = steps.filter(({line}) => line.event === 'catalogInForce');
    expect(inForce?.line.fields.version).toBe('18');
  });

  it('excludes later lines and lines of other requests', () => {
    expect(steps.every(({ageMs}) => ageMs >= 0)).toBe(true);
    const others = steps.filter(
      ({line, isOwn}) => line.fields.request !== undefined && !isOwn,
    );
    expect(others).toEqual([]);
  });

  it('is formatted as one line per step, with the request marked', () => {
    const text = formatTimeline(steps);
    expect(text.at(-1)).toMatch(
      /^\* +-0\.000 s front-tas-devonport-1 statementFailed .*outcome=noPrimary/,
    );
    expect(text.filter(line => line.startsWith('*'))).toHaveLength(2);
  });
});

describe('zinnia explain', () => {
  const output = () => {
    const printed: string[] = [];
    return {
      printed,
      print: (line: string) => printed.push(line),
      printDiagnostic: () => {},
    };
  };

  it('prints the timeline from the log files', async () => {
    const out = output();
    await explain({request: REFUSED, logs: [LOG.pathname]}, out);
    expect(out.printed).toEqual(formatTimeline(explainRequest(REFUSED, lines)));
  });

  it('explains how to proceed if no line is about the request or a file is missing', async () => {
    const args = {request: 'none', logs: [LOG.pathname]};
    await expect(explain(args, output())).rejects.toThrow(
      /give the logs of all nodes/,
    );
    const missing = {request: REFUSED, logs: ['missing.log']};
    await expect(explain(missing, output())).rejects.toThrow(CommandError);
  });
});
