/** Routes the reads of one group by what its monitor reports. */
import type {GroupView} from '../groups/group-view.js';
import type {GroupMonitor, StatusReport} from '../groups/monitor.js';
import type {Clock} from '../infra/clock.js';
import {covers, type Position} from '../session/position.js';
import {ReplicaAges} from './replica-ages.js';
import {
  chooseTarget,
  type ProviderWeights,
  type ReadCandidate,
  type ReadChoice,
} from './replica-choice.js';

/** One read to route. */
export interface ReadRequest {
  readonly sessionId: string;
  /** `SessionToken.at(group)`. */
  readonly position: Position | undefined;
  readonly staleMs: number;
  readonly weights: ProviderWeights;
  readonly maxWaitMs: number;
  /** Databases that failed this read before. */
  readonly avoid?: ReadonlySet<string>;
}

/** Settings of a router. */
export interface ReadRouterOptions {
  readonly clock: Clock;
  readonly monitor: GroupMonitor;
  readonly dataCentre: string;
  /** Requests that a database runs or that wait for it. */
  readonly outstandingOf: (databaseId: string) => number;
}

/**
 * Chooses a database for each read of one group.
 *
 * Knowledge ages, so whoever runs the read compares the position that the
 * database reports with the session's by {@link isReadCurrent}.
 *
 * @example
 * const choice = router.choose({sessionId, position: token.at('claims'),
 *   staleMs: 2000, weights, maxWaitMs: 20});
 */
export class ReadRouter {
  readonly #clock: Clock;
  readonly #monitor: GroupMonitor;
  readonly #options: ReadRouterOptions;
  readonly #ages: ReplicaAges;
  readonly #stopListening: () => void;

  constructor(options: ReadRouterOptions) {
    this.#options = options;
    this.#clock = options.clock;
    this.#monitor = options.monitor;
    this.#ages = new ReplicaAges(options.monitor.current().databases.length);
    this.#stopListening = this.#monitor.onReport(report => {
      this.#recordReport(report);
    });
  }

  stop(): void {
    this.#stopListening();
  }

  /** Notes a position at which a database ran a batch, sent at `sentAt`. */
  notePosition(databaseId: string, position: Position, sentAt: number): void {
    const {primaryId} = this.#monitor.current();
    if (databaseId === primaryId) {
      this.#ages.recordPrimary(position.term, position, sentAt);
    } else {
      this.#ages.recordReplica(databaseId, position, this.#clock.now());
    }
  }

  choose(request: ReadRequest): ReadChoice {
    const view = this.#monitor.current();
    const avoided = (id: string | undefined) =>
      id !== undefined && (request.avoid?.has(id) ?? false);
    const primaryId = currentPrimary(view, request.position);
    return chooseTarget({
      ...request,
      dataCentre: this.#options.dataCentre,
      primaryId: avoided(primaryId) ? undefined : primaryId,
      candidates: this.#candidatesFor(view, request).filter(
        ({spec}) => !avoided(spec.id),
      ),
    });
  }

  /** The age, at most, of data that a replica showed just now. */
  ageOfShown(databaseId: string, shown: Position): number {
    const now = this.#clock.now();
    this.#ages.recordReplica(databaseId, shown, now);
    return this.#ages.ageMs(databaseId, now);
  }

  #candidatesFor(
    view: GroupView,
    {position, staleMs}: ReadRequest,
  ): readonly ReadCandidate[] {
    const now = this.#clock.now();
    return view.databases.map(({spec, reachable}) => {
      const ageMs = this.#ages.ageMs(spec.id, now);
      // Waiting helps a replica that misses the write, not one that is too old.
      const mayWait = position !== undefined && ageMs <= staleMs;
      return {
        spec,
        reachable,
        applied: this.#ages.appliedOf(spec.id),
        ageMs,
        outstanding: this.#options.outstandingOf(spec.id),
        expectedWaitMs: mayWait
          ? this.#ages.expectedWaitMs(spec.id, position, now)
          : Infinity,
      };
    });
  }

  #recordReport({
    databaseId,
    status,
    requestedAt,
    receivedAt,
  }: StatusReport): void {
    this.#ages.recordFence(databaseId, status.fencedTerm, requestedAt);
    if (status.role === 'primary') {
      this.#ages.recordPrimary(status.term, status.received, requestedAt);
    } else {
      this.#ages.recordReplica(databaseId, status.applied, receivedAt);
    }
  }
}

/**
 * Whether a read that ran at `ran` saw all that the session needs to see; if
 * not, its answer must not reach the caller.
 */
export function isReadCurrent(
  readPosition: Position | undefined,
  needed: Position | undefined,
): boolean {
  if (needed === undefined) return true;
  return readPosition !== undefined && covers(readPosition, needed);
}

/** A session that has seen a newer term than this node needs its primary. */
function currentPrimary(
  view: GroupView,
  position: Position | undefined,
): string | undefined {
  const newer = position !== undefined && position.term > view.term;
  return newer ? undefined : view.primaryId;
}
