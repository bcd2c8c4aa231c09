/**
 * Writes the code cache of a bundled program. The program runs in this process
 * against stand-ins until it has served a statement, so that the cache holds the
 * functions that a start needs. V8 only accepts the cache in a process with the
 * same version and flags.
 */
import {writeFileSync} from 'node:fs';
import {CACHE_EXTENSION, loadProgram} from '../platform/program.js';
import {SETTINGS_VARIABLE} from '../platform/settings.js';
import {StandInSite} from '../standins/platform/site.js';

const POLL_MS = 20;
const LIMIT_MS = 10_000;

async function main(path: string): Promise<void> {
  const site = await StandInSite.start();
  process.env[SETTINGS_VARIABLE] = site.settingsPath;
  const program = loadProgram(path);
  // The program's log is of no use here.
  const write = process.stdout.write;
  process.stdout.write = () => true;
  program.run();
  const until = performance.now() + LIMIT_MS;
  while (!(await site.isServed().catch(() => false))) {
    if (performance.now() > until) throw new Error('no statement was served');
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
  process.stdout.write = write;
  writeFileSync(path + CACHE_EXTENSION, program.script.createCachedData());
  await site.stop();
  process.exit(0);
}

main(process.argv[2] ?? '').catch((err: unknown) => {
  process.stderr.write(`${String(err)}\n`);
  process.exit(1);
});
