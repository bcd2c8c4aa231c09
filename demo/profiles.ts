/** Profiles of two deployments of the users, at their current sizes. */

/** A team, its number of load sessions and its rate limit. */
export interface TeamProfile {
  readonly name: string;
  /** Number of sessions that the load opens. */
  readonly sessions: number;
  /** Allowed statements per second. */
  readonly rate: number;
  /** Capacity of the team's token bucket. */
  readonly burst: number;
}

/** A deployment: data centres, database groups and teams. */
export interface Profile {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly groups: readonly string[];
  /** Statements that a database runs concurrently. */
  readonly slots: number;
  readonly maxConnections: number;
  /** Time that a database takes to open a connection. */
  readonly connectCostMs: number;
  readonly teams: readonly TeamProfile[];
}

/** Creates teams with many sessions and a high rate, and teams with few and a low one. */
function createTeams(
  large: readonly string[],
  small: readonly string[],
): readonly TeamProfile[] {
  return [
    ...large.map(name => ({name, sessions: 12, rate: 800, burst: 400})),
    ...small.map(name => ({name, sessions: 3, rate: 250, burst: 120})),
  ];
}

/** Tasman Freelancers' Mutual Sickness Association. */
export const TASMAN: Profile = {
  name: 'tasman',
  dataCentres: ['hobart', 'launceston', 'devonport', 'burnie'],
  groups: ['members', 'claims', 'ledger'],
  slots: 2,
  maxConnections: 16,
  connectCostMs: 12,
  teams: createTeams(
    ['lodgements', 'assessors'],
    ['payments', 'balances', 'top-ups', 'reports', 'letters', 'audit'],
  ),
};

/** Citas Lumbre Estilo. */
export const LUMBRE: Profile = {
  name: 'lumbre',
  dataCentres: ['cdmx-norte', 'cdmx-sur', 'queretaro', 'puebla'],
  groups: ['citas', 'agendas', 'portafolios'],
  slots: 2,
  maxConnections: 30,
  connectCostMs: 27,
  teams: createTeams(
    ['reservas', 'tiendas'],
    ['estilistas', 'agenda', 'avisos', 'catalogo', 'soporte', 'informes'],
  ),
};

/** Profiles by name. */
export const PROFILES: Readonly<Record<string, Profile>> = {
  tasman: TASMAN,
  lumbre: LUMBRE,
};
