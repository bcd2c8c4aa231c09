import {execFileSync, spawn} from 'node:child_process';
import {resolve} from 'node:path';
import {pathToFileURL} from 'node:url';
import {expect, test} from 'vitest';
import {findPorts} from '../../demo/ports.js';

const COUNT = 20;
const COMPILED = pathToFileURL(resolve('dist/demo/ports.js')).href;

function findPortsInAnotherProcess(): readonly number[] {
  const script = `import(${JSON.stringify(COMPILED)})
    .then(({findPorts}) => findPorts(${COUNT}))
    .then(ports => console.log(JSON.stringify(ports)));`;
  const output = execFileSync(process.execPath, ['--eval', script]);
  return JSON.parse(output.toString()) as readonly number[];
}

const PROCESSES = 12;
const ROUNDS = 3;

/** Finds ports in a process that goes on for a while. */
function findPortsBeside(): Promise<string> {
  const script = `import(${JSON.stringify(COMPILED)})
    .then(({findPorts}) => findPorts(${COUNT}))
    .then(ports => console.log(JSON.stringify(ports)))
    .then(() => new Promise(done => setTimeout(done, 1_000)));`;
  const child = spawn(process.execPath, ['--eval', script]);
  let output = '';
  child.stdout.on('data', chunk => (output += String(chunk)));
  return new Promise(done => child.once('close', () => done(output)));
}

test('processes that start together just after others ended share no ports', async () => {
  for (let round = 0; round < ROUNDS; round++) {
    const outputs = await Promise.all(
      Array.from({length: PROCESSES}, findPortsBeside),
    );
    const all = outputs.flatMap(text => JSON.parse(text) as readonly number[]);
    expect(new Set(all).size).toBe(PROCESSES * COUNT);
  }
}, 30_000);

test('ports are all open to fetch, which refuses some numbers', async () => {
  const ports = await findPorts(300);
  const failures = await Promise.all(
    ports.map(port =>
      fetch(`http://127.0.0.1:${port}`).then(
        () => 'answered',
        (err: Error) => String((err.cause as Error).message),
      ),
    ),
  );
  expect(failures.filter(message => message === 'bad port')).toEqual([]);
});

test('ports that no process listens on yet are given to no other process', async () => {
  const [first, second] = [await findPorts(COUNT), await findPorts(COUNT)];
  const other = findPortsInAnotherProcess();
  const all = [...first, ...second, ...other];
  expect(new Set(all).size).toBe(3 * COUNT);
});
