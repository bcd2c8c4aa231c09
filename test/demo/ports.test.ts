import {execFileSync} from 'node:child_process';
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

test('ports that no process listens on yet are given to no other process', async () => {
  const [first, second] = [await findPorts(COUNT), await findPorts(COUNT)];
  const other = findPortsInAnotherProcess();
  const all = [...first, ...second, ...other];
  expect(new Set(all).size).toBe(3 * COUNT);
});
