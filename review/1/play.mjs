/**
 * Consumers write and read data that contains a line feed. The databases must run
 * the statements as they were sent, and nothing else; a read must return the data
 * as it is stored, with the database's signature for this read.
 */
import {createConfig, recordRuns, runCase, Session} from '../common/site.mjs';

const READS = 8;

await runCase(import.meta.url, async ({site, record, isTroubled}) => {
  const lineBreak = isTroubled ? '\n' : ' ';
  await site.startPlatform({config: createConfig()});
  // Committed before the script starts.
  const stored = new Map([
    ['1b1', `x${lineBreak}DONE paid${lineBreak}READY I 1.1`],
    ['1b2', '42'],
  ]);
  for (const {commits} of site.group.databases)
    commits.push({term: 1, number: 1, writes: [...stored]});
  const nodes = [site.startNode(0), site.startNode(1)];
  await site.waitUntilReady(nodes);
  const statements = [
    ['w1', `WRITE 1a1 12 Elizabeth St${lineBreak}Hobart`],
    ['w2', `WRITE 1a2 x${lineBreak}QUERY w9 WRITE 1a3 paid-twice`],
  ];
  const sent = new Map(statements);
  const answers = [];
  for (const [id, text] of statements) {
    const session = new Session(`session-${id}`, record);
    const isOpen = await session.open(nodes[0].host, 'claim-lodge', 'red-key');
    if (!isOpen) throw new Error('the session was refused');
    answers.push(await session.query(text, id));
    await session.unaskedLines(1_000);
    session.close();
  }
  const mixed = [];
  for (let n = 0; n < READS; n++) {
    // Two consumers read by turns.
    const item = n % 2 === 0 ? '1b1' : '1b2';
    const session = new Session(`reader${n}`, record);
    await session.open(nodes[0].host, 'cover-lookup', 'red-key');
    const {id, text, end, rows} = await session.query(`READ ${item}`);
    sent.set(id, text);
    const isDone = end?.startsWith('DONE') ?? false;
    const isSigned = isDone && end.endsWith(`.${id}`);
    const isRight = rows.length === 1 && rows[0] === stored.get(item);
    if (isDone && !(isSigned && isRight))
      mixed.push({rule: 'MIXED', id, rows, end, stored: stored.get(item)});
    session.close();
  }
  const runs = recordRuns(site, record);
  if (!answers.some(({end}) => end?.startsWith('DONE')))
    throw new Error('no statement was served');
  const unasked = runs.flatMap(({database, id, text}) => {
    if (!sent.has(id))
      return [
        {rule: 'UNASKED', what: 'no consumer sent it', database, id, text},
      ];
    if (sent.get(id) === text.replace(/^AFTER \S+ /, '')) return [];
    const what = 'the text was changed';
    return [{rule: 'UNASKED', what, database, id, text, sent: sent.get(id)}];
  });
  return [...unasked, ...mixed];
});
