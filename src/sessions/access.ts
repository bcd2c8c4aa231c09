/** Authorizes sessions by the current catalog and by how old it may be. */
import {ANONYMOUS_TEAM, type Catalog, type Route} from '../catalog/types.js';
import {notRun, type NotRun} from '../verdict/verdict.js';

const STALE_RETRY_MS = 500;
/**
 * Safety margin subtracted from the revocation time of a key: a statement that
 * was already admitted may still wait for a slot.
 */
const REVOKE_SAFETY_MS = 900;

/** The database name and key that a caller sent when it connected. */
export interface Credentials {
  readonly database: string;
  readonly key: string | undefined;
}

/** The catalog state behind a decision, for the logs. */
export interface AccessBasis {
  /** Version of the current configuration. */
  readonly version: number;
  /** Time since it was last proven to be the newest. */
  readonly ageMs: number;
}

/** Whether a session may run statements now, and as which team. */
export type AccessDecision =
  | {readonly kind: 'granted'; readonly route: Route; readonly team: string}
  | {
      readonly kind: 'refused';
      readonly verdict: NotRun;
      readonly basis: AccessBasis;
    };

/** Inputs of the access decisions. */
export interface AccessOptions {
  readonly catalog: () => Catalog;
  /** Milliseconds since the catalog was last proven to be the newest. */
  readonly ageMs: () => number;
  /** Age above which the catalog may miss the withdrawal of a key. */
  readonly maxCatalogAgeMs: number;
}

/**
 * Maximum catalog age at which statements that need a key are admitted.
 *
 * @param revokeMs time within which a withdrawn key must stop working
 */
export function maxCatalogAgeFor(revokeMs: number): number {
  return revokeMs - REVOKE_SAFETY_MS;
}

/**
 * Checks a session's credentials against the catalog, before each operation.
 *
 * @example
 * const access = gate.check({database: 'claims', key});
 * if (access.kind === 'refused') return answer(access.verdict);
 */
export class AccessGate {
  readonly #options: AccessOptions;

  constructor(options: AccessOptions) {
    this.#options = options;
  }

  check({database, key}: Credentials): AccessDecision {
    const {catalog, ageMs, maxCatalogAgeMs} = this.#options;
    const {routes, keys, teams, version} = catalog();
    const basis = {version, ageMs: Math.round(ageMs())};
    const refused = (verdict: NotRun): AccessDecision => ({
      kind: 'refused',
      verdict,
      basis,
    });
    const isStale = version === 0 || basis.ageMs > maxCatalogAgeMs;
    const route = routes.get(database);
    if (isStale && (route === undefined || !route.allowsAnonymous)) {
      const message =
        'this node can not prove that its configuration is the newest';
      return refused(notRun('cutOff', message, STALE_RETRY_MS));
    }
    if (route === undefined) {
      const message = `there is no route for database "${database}"`;
      return refused(notRun('unknownRoute', message));
    }
    const team = key === undefined ? undefined : keys.get(key);
    if (team !== undefined && teams.has(team)) {
      return {kind: 'granted', route, team};
    }
    if (route.allowsAnonymous)
      return {kind: 'granted', route, team: ANONYMOUS_TEAM};
    const message = `the key is not valid for database "${database}"`;
    return refused(notRun('notAuthorised', message));
  }
}
