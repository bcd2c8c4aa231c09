/** `zinnia report burn`: service levels and error-budget burn over all VMs. */
import {writeFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {formatBurnHtml} from '../telemetry/burn-html.js';
import {
  collectBurnReport,
  highestBurnRate,
  alignedWindowStart,
  type BurnReport,
  type BurnReportInput,
} from '../telemetry/burn-report.js';
import {formatRate} from '../telemetry/burn-format.js';
import {formatBurnTable} from '../telemetry/burn-table.js';
import {CommandError, runCommand, type CommandContext} from './context.js';
import {EXIT, type ExitCode} from './exit-codes.js';
import {readVmList} from './platform-vms.js';
import {parseObjective, parseWindows} from './report-options.js';
import {
  HttpStatementsProbe,
  readAllStatements,
  type StatementsProbe,
} from './report-statements.js';
import {withStoreOption, type StoreArgs} from './store-option.js';

const REPORT_FORMATS = ['table', 'json', 'html'] as const;

/** Output format of the report. */
export type ReportFormat = (typeof REPORT_FORMATS)[number];

interface ReportBurnArgs extends StoreArgs {
  readonly window: string;
  readonly objectiveAvailability: number;
  readonly objectiveLatencyMs: number;
  readonly format: ReportFormat;
  readonly output: string | undefined;
  readonly failAbove: number | undefined;
}

/**
 * Reads the statement counts of every listed VM and computes the report.
 *
 * @example
 * const report = await reportBurn(ctx, {windows, objective});
 */
export async function reportBurn(
  {store, clock}: Pick<CommandContext, 'store' | 'clock'>,
  options: Pick<BurnReportInput, 'windows' | 'objective'>,
  probe: StatementsProbe = new HttpStatementsProbe(),
): Promise<BurnReport> {
  const now = clock.wallNow();
  const longestMs = Math.max(...options.windows.map(({ms}) => ms));
  const since = alignedWindowStart(now, longestMs);
  const vms = await readAllStatements(probe, await readVmList(store), since);
  return collectBurnReport({...options, vms, now});
}

/** Formats a report. */
export function formatReport(report: BurnReport, format: ReportFormat): string {
  if (format === 'html') return formatBurnHtml(report);
  if (format === 'json') return JSON.stringify(report, undefined, 2);
  return formatBurnTable(report);
}

/** The yargs module of `zinnia report burn`. */
export const reportBurnCommand: CommandModule<object, ReportBurnArgs> = {
  command: 'burn',
  describe: 'Print service levels and error-budget burn per team and route',
  builder: yargs =>
    withStoreOption(yargs)
      .option('window', {
        type: 'string',
        describe: 'windows up to now, such as 5m,30m,1h; one hour at most',
        default: '5m,30m,1h',
      })
      .option('objective-availability', {
        type: 'number',
        describe: 'percent of statements that must succeed',
        default: 99.9,
      })
      .option('objective-latency-ms', {
        type: 'number',
        describe: 'milliseconds that a statement should stay within',
        default: 250,
      })
      .option('format', {
        choices: REPORT_FORMATS,
        describe: 'how the report is written',
        default: 'table' as const,
      })
      .option('output', {
        type: 'string',
        alias: 'o',
        describe: 'write the report to this file',
      })
      .option('fail-above', {
        type: 'number',
        describe: 'exit with 1 if a burn rate is above this, or no VM answers',
      }) as never,
  handler: args => runCommand(args, ctx => run(ctx, args)),
};

async function run(
  ctx: CommandContext,
  args: ReportBurnArgs,
): Promise<ExitCode> {
  const {output} = ctx;
  const {objectiveAvailability, objectiveLatencyMs, failAbove} = args;
  if (failAbove !== undefined && !(failAbove >= 0)) {
    throw new CommandError('--fail-above takes a burn rate, such as 1');
  }
  const windows = parseWindows(args.window);
  const objective = parseObjective(objectiveAvailability, objectiveLatencyMs);
  const report = await reportBurn(ctx, {windows, objective});
  const text = formatReport(report, args.format);
  if (args.output === undefined) output.print(text.trimEnd());
  else await writeFile(args.output, `${text.trimEnd()}\n`);
  if (report.unanswered.length > 0) {
    output.printDiagnostic(`no answer from ${report.unanswered.join(', ')}`);
  }
  if (failAbove === undefined) return EXIT.ok;
  return checkBurnLimit(ctx, report, failAbove);
}

function checkBurnLimit(
  {output}: CommandContext,
  report: BurnReport,
  failAbove: number,
): ExitCode {
  if (report.answered.length === 0) {
    output.printDiagnostic('error: no VM answered, so no burn rate is known');
    return EXIT.refused;
  }
  const highest = highestBurnRate(report);
  if (highest === null || highest <= failAbove) return EXIT.ok;
  output.printDiagnostic(
    `error: burn rate ${formatRate(highest)} is above ${failAbove}; the report names the rows`,
  );
  return EXIT.refused;
}
