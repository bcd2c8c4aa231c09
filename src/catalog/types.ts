/** What operators and databases have announced: routes, teams, databases. */

/** Which commits a read must see. */
export type Consistency =
  /** Every commit that was acknowledged before it. */
  | 'primary'
  /** Every commit older than the route's staleness. */
  | 'bounded'
  /** Also every commit of its own session. */
  | 'session';

/** How callers reach a database group. */
export interface Route {
  /** The database name that callers ask for. */
  readonly database: string;
  readonly group: string;
  readonly consistency: Consistency;
  readonly maxStalenessMs: number;
  /** Limit of one statement. */
  readonly timeoutMs: number;
  /** Response time to aim at, for a whole operation. */
  readonly latencyGoalMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether callers need no key. */
  readonly isOpen: boolean;
}

/** The name under which callers of open routes without a key are served. */
export const OPEN_TEAM = 'public';

/** A team and what it may use. */
export interface Team {
  readonly name: string;
  /** Operations a second, over all nodes together. */
  readonly rate: number;
  readonly burst: number;
}

/** A database group as operators describe it. */
export interface GroupRules {
  readonly name: string;
  /** Connections that each of its databases accepts from all nodes. */
  readonly maxConnections: number;
}

/** One version of the operators' configuration. */
export interface Catalog {
  readonly version: number;
  /** By database name. */
  readonly routes: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<string, GroupRules>;
  readonly teams: ReadonlyMap<string, Team>;
  /** Team names by key. */
  readonly keys: ReadonlyMap<string, string>;
  /** How long a transaction may stand idle. */
  readonly idleTransactionMs: number;
}

/** A database as it announced itself. */
export interface DatabaseEntry {
  readonly id: string;
  readonly group: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Statements it executes at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Its own view; undefined if it did not say. */
  readonly role: 'primary' | 'replica' | undefined;
  /** Start of its process by its own clock, in Unix milliseconds. */
  readonly startedAt: number | undefined;
}

/** A catalog without routes, teams or keys. */
export const EMPTY_CATALOG: Catalog = {
  version: 0,
  routes: new Map(),
  groups: new Map(),
  teams: new Map(),
  keys: new Map(),
  idleTransactionMs: 60_000,
};
