/** The users' two deployments, at the sizes of today. */

/** One team and how much it sends. */
export interface TeamProfile {
  readonly name: string;
  /** Sessions that the load opens for it. */
  readonly sessions: number;
  readonly rate: number;
  readonly burst: number;
}

/** A deployment: places, databases and teams. */
export interface Profile {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly groups: readonly string[];
  readonly slots: number;
  readonly maxConnections: number;
  readonly connectCostMs: number;
  readonly teams: readonly TeamProfile[];
}

/** Two teams are large, six are small. */
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

/** The profiles by name. */
export const PROFILES: Readonly<Record<string, Profile>> = {
  tasman: TASMAN,
  lumbre: LUMBRE,
};
