/** Authenticates and authorises callers by the current configuration. */
import type {
  AccessPort,
  AuthOutcome,
  Authority,
  RouteAccess,
  SessionRules,
} from '../callers/types.js';
import type {PriorityClass} from '../callers/priority-class.js';
import type {StandingMonitor} from '../membership/standing.js';
import {verifyKey} from '../rollout/keys.js';
import {groupRow, teamRow, type GroupRow} from '../rollout/table.js';
import {notRun, type NotRun} from '../verdict/verdict.js';
import type {LiveConfig} from './live-config.js';

/** Team whose rate limit applies to callers of routes that require no key. */
export const PUBLIC_TEAM = 'public';
const CUT_OFF_RETRY_MS = 1_000;

/** Checks keys and routes against the current configuration document. */
export class ConfiguredAccess implements AccessPort {
  readonly #config: LiveConfig;
  readonly #standing: Pick<StandingMonitor, 'evaluate'>;

  constructor(config: LiveConfig, standing: Pick<StandingMonitor, 'evaluate'>) {
    this.#config = config;
    this.#standing = standing;
  }

  route(database: string): RouteAccess {
    const row = this.#row(database);
    if (row === undefined || this.#config.findGroup(database) === undefined) {
      const message = `there is no route "${database}"; name a database group of the table`;
      return {kind: 'refused', verdict: notRun('unknownRoute', message)};
    }
    return row.open ? {kind: 'open'} : {kind: 'keyed'};
  }

  authenticate(team: string, database: string, key: string): AuthOutcome {
    const cutOff = this.#cutOff();
    if (cutOff !== undefined) return {kind: 'refused', verdict: cutOff};
    const check = verifyKey(this.#config.document, key);
    if (check.kind === 'withdrawn') {
      return refused(
        `key ${check.keyId} of team ${team} was withdrawn; ask an operator for a new one`,
      );
    }
    if (check.kind !== 'valid' || check.team !== team) {
      return refused(
        `the password is no key of team "${team}"; use the key that zinnia key grant printed`,
      );
    }
    if (teamRow(this.#config.document.table, team) === undefined) {
      return refused(
        `team "${team}" has no row in the table; an operator must add one`,
      );
    }
    const authority = {team, group: database, keyId: check.keyId};
    return {kind: 'accepted', authority};
  }

  openAuthority(database: string): Authority {
    return {team: PUBLIC_TEAM, group: database, keyId: undefined};
  }

  recheck({team, group, keyId}: Authority): NotRun | undefined {
    const {document} = this.#config;
    if (keyId === undefined) {
      if (this.#row(group)?.open) return undefined;
      return notRun('notAuthorised', `route ${group} is no longer open to all`);
    }
    if (document.findKey(keyId) === undefined) {
      return notRun(
        'notAuthorised',
        `key ${keyId} of team ${team} was withdrawn`,
      );
    }
    return this.#cutOff();
  }

  rules({team, group}: Authority): SessionRules {
    const row = this.#row(group);
    const limits = teamRow(this.#config.document.table, team);
    const groupStaleMs = row?.staleMs ?? 0;
    return {
      staleMs: Math.min(groupStaleMs, limits?.staleMs ?? groupStaleMs),
      priority: (kind, wanted) => {
        if (limits?.priority === 'ordinary') return 'ordinary';
        return wanted ?? defaultPriority(row, kind);
      },
    };
  }

  #row(group: string): GroupRow | undefined {
    return groupRow(this.#config.document.table, group);
  }

  #cutOff(): NotRun | undefined {
    if (this.#standing.evaluate() !== 'cutOff') return undefined;
    const message =
      'this VM hears neither the platform nor its peers, so a withdrawn key could go unseen';
    return notRun('cutOff', message, CUT_OFF_RETRY_MS);
  }
}

function defaultPriority(
  row: GroupRow | undefined,
  kind: 'read' | 'write',
): PriorityClass {
  if (row?.urgent === 'all') return 'urgent';
  if (row?.urgent === 'none') return 'ordinary';
  return kind === 'write' ? 'urgent' : 'ordinary';
}

function refused(message: string): AuthOutcome {
  return {kind: 'refused', verdict: notRun('notAuthorised', message)};
}
