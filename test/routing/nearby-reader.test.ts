import {describe, expect, it} from 'vitest';
import {rankHomes} from '../../src/fleet/member-list.js';
import type {FleetMember} from '../../src/fleet/member-record.js';
import {
  chooseNearbyReader,
  type NearbyReaderInput,
} from '../../src/routing/nearby-reader.js';

const DATA_CENTRES = ['hobart', 'launceston', 'devonport', 'burnie'];
const REPLICA_DATA_CENTRES = ['launceston', 'devonport'];
/** Reads per ten statements, from recordings of calm days. */
const READS_PER_TEN = 8;

const members: readonly FleetMember[] = DATA_CENTRES.flatMap(dataCentre =>
  ['a', 'b'].map(name => ({
    id: `${dataCentre}-${name}`,
    host: '10.0.0.1',
    port: 7000,
    dataCentre,
    instance: '1',
    cores: 1,
    isLeaving: false,
  })),
);
const [home] = rankHomes('claims', members, 'hobart');

const input = (
  rest: Partial<NearbyReaderInput<FleetMember>> = {},
): NearbyReaderInput<FleetMember> => ({
  isRead: true,
  consistency: 'session',
  dataCentre: 'launceston',
  home,
  readers: rankHomes('claims', members, 'launceston'),
  hasReplica: true,
  ...rest,
});

describe('chooseNearbyReader', () => {
  it('returns a node of the data centre, the same one for every entry there', () => {
    const reader = chooseNearbyReader(input());
    expect(reader?.dataCentre).toBe('launceston');
    expect(chooseNearbyReader(input())).toBe(reader);
  });

  it('returns no reader if only the primary may serve the statement', () => {
    expect(chooseNearbyReader(input({isRead: false}))).toBeUndefined();
    expect(chooseNearbyReader(input({consistency: 'primary'}))).toBeUndefined();
  });

  it('returns no reader if the home is as near or there is no replica', () => {
    const atHome = {dataCentre: 'hobart', readers: members};
    expect(chooseNearbyReader(input(atHome))).toBeUndefined();
    expect(chooseNearbyReader(input({hasReplica: false}))).toBeUndefined();
    expect(chooseNearbyReader(input({home: undefined}))).toBeUndefined();
  });

  it('returns no reader if no node of the data centre has enough cores', () => {
    const small = members.map(member =>
      member.dataCentre === 'launceston' ? {...member, cores: 0.2} : member,
    );
    const readers = rankHomes('claims', small, 'launceston');
    expect(chooseNearbyReader(input({readers}))).toBeUndefined();
  });

  it('at least halves the answers that cross between data centres', () => {
    let crossingsBefore = 0;
    let crossings = 0;
    for (const [n, place] of DATA_CENTRES.entries()) {
      for (let statement = 0; statement < 1_000; statement++) {
        const isRead = statement % 10 < READS_PER_TEN;
        // The home distributes the reads over the group's databases in turn.
        const spread = ['hobart', ...REPLICA_DATA_CENTRES][
          (statement + n) % 3
        ]!;
        const toHome = place === 'hobart' ? 0 : 1;
        const byHome = toHome + (isRead && spread !== 'hobart' ? 1 : 0);
        crossingsBefore += byHome;
        const reader = chooseNearbyReader(
          input({
            isRead,
            dataCentre: place,
            readers: rankHomes('claims', members, place),
            hasReplica: REPLICA_DATA_CENTRES.includes(place),
          }),
        );
        if (reader === undefined) crossings += byHome;
      }
    }
    expect(crossings).toBeLessThan(crossingsBefore / 2);
  });
});
