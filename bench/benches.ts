/** Registry of the benchmarks, by name. */

/** Interface of a benchmark module in this folder. */
export interface Bench {
  run(args: readonly string[]): Promise<void>;
}

/** What each benchmark measures, as the usage text prints it. */
export const BENCHES: ReadonlyMap<string, string> = new Map([
  ['path', 'statements a second, added latency and memory of one node'],
  ['failover', 'the gap when a primary is killed, frozen or cut off'],
  ['replicas', 'share of reads served by replicas at several lags'],
  ['fleet', 'the four measures on a whole fleet'],
  ['slopes', 'how control traffic, CPU and memory grow with the fleet'],
  ['start', 'time and CPU from the start of a node to its first statement'],
  ['admission', 'wrongful refusals and the worst-served team'],
  ['pace', 'how databases that start, recover or fail are paced'],
]);

/**
 * Loads the module of a benchmark.
 *
 * @throws Error if the file does not exist or exports no `run` function
 * @example
 * await (await loadBench('path')).run(['--seconds=5']);
 */
export async function loadBench(name: string): Promise<Bench> {
  let loaded: Partial<Bench>;
  try {
    loaded = (await import(`./${name}.js`)) as Partial<Bench>;
  } catch (err) {
    if (!isBenchFileMissing(err, name)) throw err;
    throw new Error(`bench/${name}.ts does not exist or is not built`, {
      cause: err,
    });
  }
  const {run} = loaded;
  if (run === undefined) {
    throw new Error(`bench/${name}.ts exports no function run(args)`);
  }
  return {run};
}

/** True if the benchmark's own file is missing, rather than a module it imports. */
function isBenchFileMissing(err: unknown, name: string): boolean {
  const {code, message = ''} = err as {code?: string; message?: string};
  return code === 'ERR_MODULE_NOT_FOUND' && message.includes(`/${name}.js'`);
}
