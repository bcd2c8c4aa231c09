/**
 * A node gets SIGTERM while consumers use their sessions without a pause. A
 * request that it has read and passed on must get a complete answer.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  createConfig,
  GRACE_MS,
  recordRuns,
  runCase,
  Session,
} from '../common/site.mjs';

const SESSIONS = 24;
/** Work of a statement; that of cover-lookup is 170 ms at most. */
const DATABASE_MS = 120;
const LOAD_BEFORE_MS = 1_500;
/** Time limits of a statement, and of a consumer on its operation. */
const ROUTE_TIMEOUT_MS = 1_500;
const CONSUMER_LIMIT_MS = 6_000;
/** The rule holds from SIGTERM until 1 s after `grace_s`. */
const WINDOW_MS = GRACE_MS + 1_000;
/** A request sent earlier may be cut in the last sixth of `grace_s`. */
const LATE_MS = 3_000;

await runCase(import.meta.url, async ({site, record, isTroubled}) => {
  await site.startPlatform({config: createConfig(), databaseMs: DATABASE_MS});
  const nodes = [0, 1, 2].map(n => site.startNode(n));
  await site.waitUntilReady(nodes);
  // Until the nodes know one another and hold their rights.
  await sleep(3_000);
  const [leaving] = nodes;
  const results = [];
  let isOver = false;
  const keepReading = async (session, name) => {
    for (let n = 1; !isOver && !session.isClosed; n++) {
      results.push(await session.query(`READ 1a${n % 50}`, `${name}-${n}`));
    }
  };
  const sessions = Array.from({length: SESSIONS}, (_, n) => ({
    name: `s${n}`,
    session: new Session(`s${n}`, record),
  }));
  for (const {session} of sessions) {
    if (!(await session.open(leaving.host, 'cover-lookup', 'red-key')))
      throw new Error('a session was refused');
  }
  const loops = sessions.map(({name, session}) => keepReading(session, name));
  await sleep(LOAD_BEFORE_MS);
  const termAt = isTroubled ? site.terminate(leaving) : Date.now();
  await sleep(WINDOW_MS);
  isOver = true;
  await Promise.all(loops);
  recordRuns(site, record);
  if (!results.some(({end}) => end?.startsWith('DONE')))
    throw new Error('no statement was served');
  const arrivals = new Map(
    site.group.databases.flatMap(({id: database, requests}) =>
      requests.map(({at, line}) => [line.split(' ')[1], {at, database}]),
    ),
  );
  return results
    .filter(({isComplete, endedAt}) => {
      const sinceTermMs = endedAt - termAt;
      return !isComplete && sinceTermMs >= 0 && sinceTermMs <= WINDOW_MS;
    })
    .filter(({sentAt, endedAt}) => {
      const limitMs = Math.min(ROUTE_TIMEOUT_MS, CONSUMER_LIMIT_MS);
      return sentAt - termAt > LATE_MS && endedAt - sentAt < limitMs;
    })
    .flatMap(({id, sentAt, endedAt}) => {
      const arrival = arrivals.get(id);
      if (arrival === undefined || arrival.at > endedAt) return [];
      return [
        {
          rule: 'LOST',
          id,
          database: arrival.database,
          sentMsAfterTerm: sentAt - termAt,
          passedOnMsAfterTerm: arrival.at - termAt,
          cutMsAfterTerm: endedAt - termAt,
        },
      ];
    });
});
