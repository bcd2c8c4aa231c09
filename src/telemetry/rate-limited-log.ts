/** Rate limit on log lines, so that load cannot flood the log. */
import {
  BaseLogger,
  type LogSeverity,
  type LogFields,
  type Logger,
} from './log.js';

/** Lines per event name; the next line written carries the number dropped. */
const MAX_LINES_PER_SECOND = 20;
const WINDOW_MS = 1_000;

interface EventWindow {
  startedAt: number;
  lines: number;
  suppressed: number;
}

/**
 * Limits the rate of log lines per event name. Loggers derived by `with` share
 * the limit.
 *
 * @example
 * const log = new RateLimitedLogger(createLogger('info'), () => performance.now());
 */
export class RateLimitedLogger extends BaseLogger {
  readonly #inner: Logger;
  readonly #now: () => number;
  readonly #windows: Map<string, EventWindow>;

  constructor(
    inner: Logger,
    now: () => number,
    windows: Map<string, EventWindow> = new Map(),
  ) {
    super();
    this.#inner = inner;
    this.#now = now;
    this.#windows = windows;
  }

  with(fields: LogFields): Logger {
    return new RateLimitedLogger(
      this.#inner.with(fields),
      this.#now,
      this.#windows,
    );
  }

  protected write(level: LogSeverity, event: string, fields: LogFields): void {
    const now = this.#now();
    let window = this.#windows.get(event);
    if (window === undefined || now - window.startedAt >= WINDOW_MS) {
      const suppressed = window?.suppressed ?? 0;
      window = {startedAt: now, lines: 0, suppressed};
      this.#windows.set(event, window);
    }
    if (window.lines >= MAX_LINES_PER_SECOND) {
      window.suppressed += 1;
      return;
    }
    window.lines += 1;
    const {suppressed} = window;
    window.suppressed = 0;
    this.#inner[level](
      event,
      suppressed > 0 ? {...fields, suppressed} : fields,
    );
  }
}
