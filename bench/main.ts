/** `npm run bench -- <name> [options]`: runs a benchmark. */
import {BENCHES, loadBench} from './benches.js';

const [name, ...args] = process.argv.slice(2);

if (name === undefined || !BENCHES.has(name)) {
  if (name !== undefined) console.error(`there is no bench "${name}"`);
  console.log('usage: npm run bench -- <name> [options]\n');
  for (const [known, purpose] of BENCHES) {
    console.log(`  ${known.padEnd(10)} ${purpose}`);
  }
  process.exitCode = name === undefined ? 0 : 1;
} else {
  try {
    const bench = await loadBench(name);
    await bench.run(args);
  } catch (err) {
    console.error(err instanceof Error ? err.message : String(err));
    process.exitCode = 1;
  }
}
