/** The operators' configuration and the databases that announced themselves. */

/** Which commits must be visible to a read. */
export type Consistency =
  /** Every commit that was acknowledged before the read. */
  | 'primary'
  /** Every commit older than the route's maximum staleness. */
  | 'bounded'
  /** As `bounded`, and every commit of the read's own session. */
  | 'session';

/** Maps a database name to a group, with its consistency and time limits. */
export interface Route {
  /** Database name that callers connect to. */
  readonly database: string;
  readonly group: string;
  readonly consistency: Consistency;
  readonly maxStalenessMs: number;
  /** Time limit of one statement. */
  readonly timeoutMs: number;
  /** Desired response time of a whole operation. */
  readonly latencyGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True if callers need no key. */
  readonly allowsAnonymous: boolean;
}

/** Team of the callers without a valid key on routes that require none. */
export const ANONYMOUS_TEAM = 'public';

/** A team and its rate limit. */
export interface Team {
  readonly name: string;
  /** Operations per second, over all nodes together. */
  readonly rate: number;
  readonly burst: number;
}

/** Configuration of a database group. */
export interface GroupConfig {
  readonly name: string;
  /** Connections that each of its databases accepts from all nodes together. */
  readonly maxConnections: number;
  /**
   * Requests per second that a cold database gets from all nodes together; 0 or
   * undefined for no limit.
   */
  readonly coldRate?: number | undefined;
  /** Replicas that receive a commit before it is acknowledged; 0 if undefined. */
  readonly syncReplicas?: number | undefined;
}

/** One version of the operators' configuration. */
export interface Catalog {
  readonly version: number;
  /** By database name. */
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupConfig>;
  readonly teams: ReadonlyMap<string, Team>;
  /** Team names by key. */
  readonly keys: ReadonlyMap<string, string>;
  /** How long a transaction may stay idle. */
  readonly idleTransactionTimeoutMs: number;
}

/** A database as it announced itself. */
export interface AnnouncedDatabase {
  readonly id: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Number of statements that it executes concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Role that it reported; undefined if it reported none. */
  readonly role: 'primary' | 'replica' | undefined;
  /** Rises with each announcement of one process. */
  readonly sequence: number;
  /** Start of its process by its own wall clock, in Unix milliseconds. */
  readonly startedAt: number | undefined;
  /** How much longer it remains cold after its start; undefined or 0 if it is not. */
  readonly coldRemainingMs?: number | undefined;
}

/** A catalog without routes, teams or keys. */
export const EMPTY_CATALOG: Catalog = {
  version: 0,
  routes: new Map(),
  groups: new Map(),
  teams: new Map(),
  keys: new Map(),
  idleTransactionTimeoutMs: 60_000,
};
