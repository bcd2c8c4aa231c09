/** Interfaces through which a caller's session uses the rest of the node. */
import type {Admission} from '../admission/types.js';
import type {GroupExecutor} from '../home/types.js';
import type {Clock} from '../infra/clock.js';
import type {Classifier} from '../routing/classify.js';
import type {TokenSigner} from '../session/token-signer.js';
import type {Logger} from '../telemetry/log.js';
import type {StatementSample} from '../telemetry/statement-metrics.js';
import type {NotRun} from '../verdict/verdict.js';
import type {PriorityClass} from './priority-class.js';

/** The team and database group for which a session was authenticated. */
export interface Authority {
  readonly team: string;
  readonly group: string;
  /** The key's id; undefined on a route that needs no key. */
  readonly keyId: string | undefined;
}

/** The outcome of checking a caller's key. */
export type AuthOutcome =
  | {readonly kind: 'accepted'; readonly authority: Authority}
  | {readonly kind: 'refused'; readonly verdict: NotRun};

/** Whether a database name can be reached, and whether a key is needed. */
export type RouteAccess =
  | {readonly kind: 'keyed'}
  | {readonly kind: 'open'}
  | {readonly kind: 'refused'; readonly verdict: NotRun};

/** Configured rules for one team on one group. */
export interface SessionRules {
  /** Maximum staleness of a read in milliseconds; 0 reads at the primary. */
  readonly staleMs: number;
  /** The priority class of a statement; `wanted` is the session's request. */
  priority(
    kind: 'read' | 'write',
    wanted: PriorityClass | undefined,
  ): PriorityClass;
}

/** Checks callers against the current configuration. */
export interface AccessPort {
  route(database: string): RouteAccess;
  authenticate(team: string, database: string, key: string): AuthOutcome;
  openAuthority(database: string): Authority;
  /** The refusal if the session has lost its access; undefined if it has not. */
  recheck(authority: Authority): NotRun | undefined;
  rules(authority: Authority): SessionRules;
}

/** Rate-limits statements by their team's rate and burst. */
export interface AdmissionPort {
  admit(team: string, deadlineMs: number): Promise<Admission>;
}

/** Dependencies of a session. */
export interface SessionDeps {
  readonly access: AccessPort;
  readonly admission: AdmissionPort;
  readonly executor: GroupExecutor;
  readonly classifier: Classifier;
  readonly signer: TokenSigner;
  readonly clock: Clock;
  readonly log: Logger;
  readonly deadlineMs: number;
  observe(sample: StatementSample): void;
}
