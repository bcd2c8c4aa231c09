/** Fakes of the interfaces through which a caller's session uses the node. */
import type {Admission} from '../../src/admission/types.js';
import type {
  AccessPort,
  AdmissionPort,
  AuthOutcome,
  Authority,
  RouteAccess,
  SessionRules,
} from '../../src/callers/types.js';
import {notRun, type NotRun} from '../../src/verdict/verdict.js';

/** Name of the database group that the harness serves. */
export const GROUP = 'claims';

/** Keys and rules that a test can change at any time. */
export class FakeAccess implements AccessPort {
  readonly #keys = new Map<string, string>();
  staleMs = 60_000;
  open = false;
  /** Refuses each statement as a node does that may miss withdrawn keys. */
  cutOff = false;

  /** Gives a team the key `key-of-<team>`. */
  grant(team: string): void {
    this.#keys.set(team, keyOf(team));
  }

  withdraw(team: string): void {
    this.#keys.delete(team);
  }

  route(database: string): RouteAccess {
    if (database !== GROUP) {
      const message = `there is no route "${database}"`;
      return {kind: 'refused', verdict: notRun('unknownRoute', message)};
    }
    return {kind: this.open ? 'open' : 'keyed'};
  }

  authenticate(team: string, database: string, key: string): AuthOutcome {
    if (this.#keys.get(team) !== key) {
      const verdict = notRun('notAuthorised', `no key of team "${team}"`);
      return {kind: 'refused', verdict};
    }
    const authority = {team, group: database, keyId: `id-${team}`};
    return {kind: 'accepted', authority};
  }

  openAuthority(database: string): Authority {
    return {team: 'public', group: database, keyId: undefined};
  }

  recheck({team, keyId}: Authority): NotRun | undefined {
    if (this.cutOff) return notRun('cutOff', 'this VM is cut off', 1_000);
    if (keyId === undefined || this.#keys.has(team)) return undefined;
    return notRun('notAuthorised', `the key of team ${team} was withdrawn`);
  }

  rules(): SessionRules {
    return {
      staleMs: this.staleMs,
      priority: (kind, wanted) =>
        wanted ?? (kind === 'write' ? 'urgent' : 'ordinary'),
    };
  }
}

/** Admits every statement unless `refuseWithRetryMs` is set. */
export class FakeAdmission implements AdmissionPort {
  /** Number of admissions by team. */
  readonly admitted = new Map<string, number>();
  /** Refuses statements as over the rate, with this `retryAfterMs`. */
  refuseWithRetryMs: number | undefined;

  async admit(team: string): Promise<Admission> {
    if (this.refuseWithRetryMs !== undefined) {
      return {
        kind: 'refused',
        reason: 'overRate',
        retryAfterMs: this.refuseWithRetryMs,
      };
    }
    this.admitted.set(team, (this.admitted.get(team) ?? 0) + 1);
    return {kind: 'admitted'};
  }
}

/** The key that {@link FakeAccess.grant} gives a team. */
export function keyOf(team: string): string {
  return `key-of-${team}`;
}
