/** Routes the reads of one group by the statuses that its monitor receives. */
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
  /** Position that the read must cover, from `SessionToken.at(group)`. */
  readonly position: Position | undefined;
  /** Maximum age of the data. */
  readonly staleMs: number;
  readonly weights: ProviderWeights;
  /** How long the read may wait for a replica to catch up. */
  readonly maxWaitMs: number;
  /** Ids of databases that have failed this read. */
  readonly avoid?: ReadonlySet<string>;
}

/** Options of {@link ReadRouter}. */
export interface ReadRouterOptions {
  readonly clock: Clock;
  readonly monitor: GroupMonitor;
  readonly dataCentre: string;
  /** Number of requests running on a database or queued for it. */
  readonly outstandingOf: (databaseId: string) => number;
}

/**
 * Chooses a database for each read of one group.
 *
 * The statuses may be outdated, so whoever runs the read must check the
 * position that the database reports with {@link isReadCurrent}.
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

  /**
   * Records the position reported by a database for a batch sent at `sentAt`.
   */
  recordPosition(databaseId: string, position: Position, sentAt: number): void {
    const {primaryId} = this.#monitor.current();
    if (databaseId === primaryId) {
      this.#ages.recordPrimary(position.term, position, sentAt);
    } else {
      this.#ages.recordReplica(databaseId, position, this.#clock.now());
    }
  }

  /** Chooses a database for a read. */
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

  /** Returns the maximum age of data that a replica has just returned. */
  maxAgeMsAt(databaseId: string, visible: Position): number {
    const now = this.#clock.now();
    this.#ages.recordReplica(databaseId, visible, now);
    return this.#ages.ageMs(databaseId, now);
  }

  #candidatesFor(
    view: GroupView,
    {position, staleMs}: ReadRequest,
  ): readonly ReadCandidate[] {
    const now = this.#clock.now();
    return view.databases.map(({spec, reachable}) => {
      const ageMs = this.#ages.ageMs(spec.id, now);
      // Waiting helps if the replica lacks the session's position, but not if
      // its data is too old.
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
 * Whether a read at `readPosition` includes everything that the session needs;
 * if not, its answer must not be returned to the caller.
 */
export function isReadCurrent(
  readPosition: Position | undefined,
  needed: Position | undefined,
): boolean {
  if (needed === undefined) return true;
  return readPosition !== undefined && covers(readPosition, needed);
}

/**
 * Returns the primary; undefined if the session has seen a newer term than this
 * node, since the primary of that term is not known here.
 */
function currentPrimary(
  view: GroupView,
  position: Position | undefined,
): string | undefined {
  const newer = position !== undefined && position.term > view.term;
  return newer ? undefined : view.primaryId;
}
