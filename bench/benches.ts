/** The benches by name. */

/** A module of this folder that runs one bench. */
export interface Bench {
  run(args: readonly string[]): Promise<void>;
}

/** What each bench measures. */
export const BENCHES: ReadonlyMap<string, string> = new Map([
  ['path', 'statements a second, added latency and memory of one node'],
  ['failover', 'the gap when a primary is killed, frozen or cut off'],
  ['replicas', 'share of reads served by replicas at several lags'],
  ['fleet', 'the four measures on a whole fleet'],
  ['slopes', 'how control traffic, CPU and memory grow with the fleet'],
  ['admission', 'wrongful refusals and the worst-served team'],
]);

/**
 * Loads a bench.
 *
 * @throws Error that names the missing file
 * @example
 * await (await loadBench('path')).run(['--seconds=5']);
 */
export async function loadBench(name: string): Promise<Bench> {
  let loaded: Partial<Bench>;
  try {
    loaded = (await import(`./${name}.js`)) as Partial<Bench>;
  } catch (err) {
    if (!isBenchFileMissing(err, name)) throw err;
    throw new Error(
      `bench/${name}.ts is not there yet; write it and build again`,
      {cause: err},
    );
  }
  const {run} = loaded;
  if (run === undefined) {
    throw new Error(`bench/${name}.ts exports no function run(args)`);
  }
  return {run};
}

/** Whether the bench's own file is missing, rather than one that it needs. */
function isBenchFileMissing(err: unknown, name: string): boolean {
  const {code, message = ''} = err as {code?: string; message?: string};
  return code === 'ERR_MODULE_NOT_FOUND' && message.includes(`/${name}.js'`);
}
