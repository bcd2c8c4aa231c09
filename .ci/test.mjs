// Runs the test suite by `npm test`. Prints the failures that KNOWN-RED.txt lists
// ("<file> > <title>" up to the first " | "). Exits with 1 on any other failure
// or if no test ran.
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, relative} from 'node:path';

const reportPath = join(mkdtempSync(join(tmpdir(), 'ci-')), 'report.json');
const run = spawnSync(
  'npm',
  [
    'test',
    '--',
    '--reporter=default',
    '--reporter=json',
    `--outputFile.json=${reportPath}`,
  ],
  {stdio: 'inherit'},
);

if (!existsSync(reportPath)) {
  console.error('npm test wrote no report: the test run did not start');
  process.exit(1);
}

const knownRed = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter(line => line.trim() !== '' && !line.startsWith('#'))
      .map(line => line.split(' | ')[0].trim())
  : [];
const report = JSON.parse(readFileSync(reportPath, 'utf8'));
const failed = [];
for (const file of report.testResults) {
  const name = relative(process.cwd(), file.name);
  const failures = file.assertionResults.filter(t => t.status === 'failed');
  for (const t of failures) {
    failed.push(`${name} > ${[...t.ancestorTitles, t.title].join(' > ')}`);
  }
  if (file.status === 'failed' && failures.length === 0) {
    failed.push(`${name} > (file did not load)`);
  }
}
const unexpected = failed.filter(name => !knownRed.includes(name));
for (const name of failed.filter(name => knownRed.includes(name))) {
  console.log(`known red: ${name}`);
}
for (const name of unexpected) console.log(`failed: ${name}`);
console.log(`${report.numPassedTests} passed, ${unexpected.length} failed`);
// The run failed although no test did, for example on an unhandled error.
const failedOutsideTests = run.status !== 0 && failed.length === 0;
process.exit(
  unexpected.length > 0 || failedOutsideTests || report.numTotalTests === 0
    ? 1
    : 0,
);
