/**
 * Builds the program that `deploy/system.toml` runs: the entry point (`--outfile`),
 * the program beside it as `.cjs`, and the program's code cache.
 */
import {execFileSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import {resolve} from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {build} from 'esbuild';

/** V8 flags of the `run` line in the deploy file; others reject the cache. */
const RUN_FLAGS = ['--max-old-space-size=160'];
const CACHE_TIMEOUT_MS = 20_000;

const {values} = parseArgs({
  options: {outfile: {type: 'string', default: 'target/zinnia-platform.mjs'}},
});
const entry = resolve(values.outfile);
const program = entry.replace(/\.mjs$/, '.cjs');
const cacheBuilder = entry.replace(/\.mjs$/, '.cache-builder.mjs');

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  external: ['cbor-extract'],
  logLevel: 'warning',
};
const esmBanner = {
  js: "import {createRequire as bundleRequire} from 'node:module'; const require = bundleRequire(import.meta.url);",
};

rmSync(`${program}.cache`, {force: true});
await Promise.all([
  build({
    ...common,
    entryPoints: ['platform/main.ts'],
    outfile: program,
    format: 'cjs',
    minify: true,
    // To read stack traces of the minified program; not read at the start.
    sourcemap: 'external',
  }),
  build({
    ...common,
    entryPoints: ['platform/launch.ts'],
    outfile: entry,
    format: 'esm',
  }),
  build({
    ...common,
    entryPoints: ['scripts/code-cache.ts'],
    outfile: cacheBuilder,
    format: 'esm',
    banner: esmBanner,
  }),
]);
try {
  execFileSync(process.execPath, [...RUN_FLAGS, cacheBuilder, program], {
    stdio: ['ignore', 'inherit', 'inherit'],
    timeout: CACHE_TIMEOUT_MS,
  });
} catch (err) {
  // Without a cache the program is compiled at each start.
  process.stderr.write(`no code cache was built: ${err.message}\n`);
} finally {
  rmSync(cacheBuilder, {force: true});
}
