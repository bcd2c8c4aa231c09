import {createRandom} from './random.js';

/** A concurrency limit under test. */
export interface LimitModel {
  readonly value: number;
  record?(latencyMs: number, concurrency: number): void;
}

/** The results of one run of the model. */
export interface SlotModelResult {
  readonly perSecond: number;
  /** 99th percentile latency of urgent statements, with time in the queue. */
  readonly urgentP99Ms: number;
  readonly meanLimit: number;
}

export interface SlotModelOptions {
  readonly slots: number;
  readonly hopMs: number;
  readonly serviceMs: () => number;
  readonly runMs: number;
  readonly urgentPerSecond: number;
  readonly seed: number;
}

interface Statement {
  readonly isUrgent: boolean;
  readonly createdAtMs: number;
  sentAtMs: number;
}

/**
 * Simulates a database that runs `slots` statements concurrently and queues the
 * rest in order of arrival. The proxy in front of it always has ordinary
 * statements and sends as many as the limit allows, urgent ones first.
 */
export function runSlotModel(
  limit: LimitModel,
  options: SlotModelOptions,
): SlotModelResult {
  const random = createRandom(options.seed);
  const events: {atMs: number; run: () => void}[] = [];
  const urgent: Statement[] = [];
  const atDatabase: Statement[] = [];
  const urgentMs: number[] = [];
  let nowMs = 0;
  let busy = 0;
  let running = 0;
  let done = 0;
  let limitSum = 0;
  const after = (ms: number, run: () => void) => {
    const atMs = nowMs + ms;
    let at = events.length;
    while (at > 0 && events[at - 1]!.atMs < atMs) at--;
    events.splice(at, 0, {atMs, run});
  };
  const execute = () => {
    while (busy < options.slots && atDatabase.length > 0) {
      const statement = atDatabase.shift()!;
      busy += 1;
      after(options.serviceMs(), () => {
        busy -= 1;
        after(options.hopMs, () => finish(statement));
        execute();
      });
    }
  };
  const finish = (statement: Statement) => {
    limit.record?.(nowMs - statement.sentAtMs, running);
    running -= 1;
    done += 1;
    limitSum += limit.value;
    if (statement.isUrgent) urgentMs.push(nowMs - statement.createdAtMs);
    send();
  };
  const send = () => {
    while (running < limit.value) {
      const statement = urgent.shift() ?? {
        isUrgent: false,
        createdAtMs: nowMs,
        sentAtMs: 0,
      };
      statement.sentAtMs = nowMs;
      running += 1;
      after(options.hopMs, () => {
        atDatabase.push(statement);
        execute();
      });
    }
  };
  const arrive = () => {
    urgent.push({
      isUrgent: true,
      createdAtMs: nowMs,
      sentAtMs: 0,
    });
    send();
    const gapMs = -Math.log(1 - random.next()) / options.urgentPerSecond;
    after(gapMs * 1_000, arrive);
  };
  after(0, arrive);
  for (let next = events.pop(); next !== undefined; next = events.pop()) {
    if (next.atMs > options.runMs) break;
    nowMs = next.atMs;
    next.run();
  }
  urgentMs.sort((a, b) => a - b);
  return {
    perSecond: (done / options.runMs) * 1_000,
    urgentP99Ms: urgentMs[Math.floor(urgentMs.length * 0.99)] ?? 0,
    meanLimit: limitSum / Math.max(1, done),
  };
}
