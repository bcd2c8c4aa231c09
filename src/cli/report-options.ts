/** Parsing and validation of the options of `zinnia report burn`. */
import type {BurnWindow} from '../telemetry/burn-report.js';
import {RETENTION_MS, SLICE_MS} from '../telemetry/statement-metrics.js';
import type {ServiceObjective} from '../telemetry/service-level.js';
import {CommandError} from './context.js';
import {parseDuration} from './durations.js';

/**
 * Parses windows such as `5m,30m,1h`; throws a {@link CommandError} for one that
 * is malformed or out of range.
 *
 * @example
 * parseWindows('5m,1h'); // [{label: '5m', ms: 300_000}, {label: '1h', ...}]
 */
export function parseWindows(text: string): readonly BurnWindow[] {
  const labels = [...new Set(text.split(',').map(label => label.trim()))];
  return labels.map(label => ({label, ms: parseWindow(label)}));
}

/** Validates an objective; throws a {@link CommandError} if it is invalid. */
export function parseObjective(
  availabilityPercent: number,
  latencyMs: number,
): ServiceObjective {
  if (!(availabilityPercent > 0 && availabilityPercent < 100)) {
    throw new CommandError(
      '--objective-availability takes percent above 0 and below 100, such as 99.9',
    );
  }
  if (!(latencyMs > 0 && Number.isFinite(latencyMs))) {
    throw new CommandError(
      '--objective-latency-ms takes milliseconds above 0, such as 250',
    );
  }
  return {availabilityPercent, latencyMs};
}

function parseWindow(label: string): number {
  const ms = windowMs(label);
  if (ms >= SLICE_MS && ms <= RETENTION_MS) return ms;
  throw new CommandError(
    `window ${label} can't be served; VMs keep slices of ${SLICE_MS / 1_000}s for one hour, ` +
      'so write one from 10s to 1h',
  );
}

function windowMs(label: string): number {
  try {
    return parseDuration(label);
  } catch {
    throw new CommandError(`${label} is no window; write 30s, 5m or 1h`);
  }
}
