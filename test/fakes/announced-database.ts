/** Announcements of databases. */
import type {AnnouncedDatabase} from '../../src/catalog/types.js';

/** A database of group `claims` with two slots that does not state its role. */
export function createAnnouncement(
  id: string,
  rest: Partial<AnnouncedDatabase> = {},
): AnnouncedDatabase {
  return {
    id,
    group: 'claims',
    host: 'h',
    port: 1,
    dataCentre: 'hobart',
    slots: 2,
    isDraining: false,
    role: undefined,
    sequence: 1,
    startedAt: undefined,
    ...rest,
  };
}
