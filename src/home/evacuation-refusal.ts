/** Refusals of statements that only an evacuated data centre could serve. */
import type {Evacuation} from '../catalog/evacuations.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import type {HomeContext} from './home-context.js';

type RefusalContext = Pick<
  HomeContext,
  'group' | 'members' | 'evacuations' | 'leadership' | 'primaryRetryMs'
>;

/** Creates the refusal of a statement for a database in this data centre. */
export function evacuationRefusal(
  {group, members, evacuations, primaryRetryMs}: RefusalContext,
  dataCentre: string,
): NotRun {
  const dataCentres = [...members.values()].map(({entry}) => entry.dataCentre);
  const evacuated = [...new Set(dataCentres)].filter(
    name => evacuations.useOf(name) !== 'open',
  );
  const hasOther = dataCentres.some(name => !evacuated.includes(name));
  const message = hasOther
    ? `data centre ${dataCentre} is evacuated, and group ${group} has no primary elsewhere yet`
    : `data centre ${evacuated.toSorted().join(', ')} is evacuated, and group ${group} has no database elsewhere`;
  return notRun('evacuated', message, primaryRetryMs());
}

/**
 * Returns the evacuated data centre for which a group lacks a primary: that of
 * its closed primary, or any if all of its databases are closed. Undefined if
 * evacuations are not the cause.
 *
 * @example
 * const dataCentre = evacuatedDataCentre(ctx);
 * if (dataCentre !== undefined) return evacuationRefusal(ctx, dataCentre);
 */
export function evacuatedDataCentre({
  members,
  evacuations,
  leadership,
}: RefusalContext): string | undefined {
  const leader = members.get(leadership.leaderId ?? '');
  const relevant = leader === undefined ? [...members.values()] : [leader];
  const closed = relevant.filter(
    ({entry}) => evacuations.useOf(entry.dataCentre) === 'closed',
  );
  const isCause = closed.length > 0 && closed.length === relevant.length;
  return isCause ? closed[0]?.entry.dataCentre : undefined;
}

/** Returns the evacuation behind a refusal, for the logs and metrics. */
export function causeOfRefusal(ctx: RefusalContext): Evacuation | undefined {
  const {members, evacuations} = ctx;
  const closed = evacuatedDataCentre(ctx);
  if (closed !== undefined) return evacuations.find(closed);
  const dataCentres = [...members.values()].map(({entry}) => entry.dataCentre);
  const evacuated = dataCentres.map(name => evacuations.find(name));
  return evacuated.find(evacuation => evacuation !== undefined);
}
