/** A node's metrics in the Prometheus text format. */
import {createServer, type Server} from 'node:http';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {FailoverAttemptOutcome} from '../groups/failover-coordinator.js';
import type {HomeMetrics} from '../home/home-metrics.js';
import type {PeerCallOutcome} from '../fleet/peer-backed-store.js';
import type {TrafficTotal} from '../peers/peer-traffic.js';
import type {EraMetrics} from '../infra/era-checked-store.js';
import type {LoadMetrics, LoadReportOutcome} from '../load/types.js';
import type {RejectionMetrics} from '../node/cluster-state.js';
import type {RefusalReason} from '../verdict/verdict.js';
import type {PaceMetrics} from '../pace/database-pace.js';

/** Bucket bounds around the target response times of the routes. */
const LATENCY_BUCKETS_S = [
  0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5,
];
const METRICS_PATH = '/metrics';

/** Bucket bounds around the usual time limits of a drain. */
const DRAIN_AGE_BUCKETS_S = [0.5, 1, 2, 3, 4, 5, 6, 7, 8, 10, 15, 30];

/** A finished statement. */
export interface FinishedStatement {
  readonly group: string;
  readonly kind: 'read' | 'write';
  /** `done`, the reason of any other verdict, or the database's error code. */
  readonly outcome: string;
  readonly elapsedMs: number;
}

/** Callbacks that read a node's gauges when metrics are scraped. */
export interface NodeGauges {
  readonly sessions: () => number;
  /** Time since the configuration was last proven to be the newest. */
  readonly catalogAgeMs: () => number;
  readonly catalogVersion: () => number;
  readonly members: () => number;
  /** Statements and open transactions at the homes that this node runs. */
  readonly homeActive: () => number;
  /** Bytes sent to other nodes so far. */
  readonly peerTraffic: () => readonly TrafficTotal[];
  readonly evacuatedDataCentres: () => number;
  /** Average delay of this node's timers. */
  readonly delayMs: () => number;
  /** Whether this node marks itself as slow. */
  readonly isSlow: () => boolean;
}

/**
 * Prometheus metrics of one node.
 *
 * @example
 * const metrics = new NodeMetrics();
 * metrics.observe({group: 'claims', kind: 'read', outcome: 'done', elapsedMs: 7});
 */
export class NodeMetrics
  implements HomeMetrics, EraMetrics, RejectionMetrics, LoadMetrics, PaceMetrics
{
  readonly #registry = new Registry();
  readonly #statements: Counter<'group' | 'kind' | 'outcome'>;
  readonly #latency: Histogram<'kind'>;
  readonly #failoverAttempts: Counter<'group' | 'outcome'>;
  readonly #drainAge: Histogram<'group'>;
  readonly #unacknowledged: Counter<'group'>;
  readonly #evacuationRefusals: Counter<'group' | 'data_centre'>;
  readonly #storeEra: Gauge;
  readonly #peerCalls: Counter<'outcome'>;
  readonly #rejected: Counter<'reason'>;
  readonly #queueWait: Histogram<'priority'>;
  readonly #refused: Counter<'priority' | 'reason'>;
  readonly #loadReports: Counter<'outcome'>;
  readonly #passedOn: Counter<'group'>;
  readonly #paceLimit: Gauge<'group' | 'database'>;

  constructor() {
    const registers = [this.#registry];
    this.#statements = new Counter({
      name: 'zinnia_statements_total',
      help: 'Statements that ended, by how they ended.',
      labelNames: ['group', 'kind', 'outcome'],
      registers,
    });
    this.#latency = new Histogram({
      name: 'zinnia_statement_seconds',
      help: 'Time of statements that were answered, at their entry.',
      labelNames: ['kind'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#failoverAttempts = new Counter({
      name: 'zinnia_failover_attempts_total',
      help: 'Attempts of this node to replace a primary, by how they ended.',
      labelNames: ['group', 'outcome'],
      registers,
    });
    this.#unacknowledged = new Counter({
      name: 'zinnia_unacknowledged_commits_total',
      help: 'Commits whose right to the primary ended before their answer.',
      labelNames: ['group'],
      registers,
    });
    this.#drainAge = new Histogram({
      name: 'zinnia_draining_statement_age_seconds',
      help: 'Statements sent to draining databases, by the age of that news.',
      labelNames: ['group'],
      buckets: DRAIN_AGE_BUCKETS_S,
      registers,
    });
    this.#evacuationRefusals = new Counter({
      name: 'zinnia_evacuation_refusals_total',
      help: 'Statements refused because a data centre is evacuated.',
      labelNames: ['group', 'data_centre'],
      registers,
    });
    this.#queueWait = new Histogram({
      name: 'zinnia_queue_wait_seconds',
      help: 'Time that statements waited for a slot, by the rank of their priority.',
      labelNames: ['priority'],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#refused = new Counter({
      name: 'zinnia_refused_total',
      help: 'Statements that homes refused, by the rank of their priority.',
      labelNames: ['priority', 'reason'],
      registers,
    });
    this.#storeEra = new Gauge({
      name: 'zinnia_store_era',
      help: 'How often the store was restored from a copy, by its last answer.',
      registers,
    });
    this.#peerCalls = new Counter({
      name: 'zinnia_store_calls_through_peers_total',
      help: 'Store calls made through other nodes, by whether one could help.',
      labelNames: ['outcome'],
      registers,
    });
    this.#rejected = new Counter({
      name: 'zinnia_store_rejected_total',
      help: 'Answers and values of the store that were older than known ones.',
      labelNames: ['reason'],
      registers,
    });
    this.#loadReports = new Counter({
      name: 'zinnia_load_reports_total',
      help: 'Reports of load at shared databases, by what became of them.',
      labelNames: ['outcome'],
      registers,
    });
    this.#passedOn = new Counter({
      name: 'zinnia_reads_passed_on_total',
      help: 'Reads that a reader with a full replica passed on to the home.',
      labelNames: ['group'],
      registers,
    });
    this.#paceLimit = new Gauge({
      name: 'zinnia_pace_limit',
      help: 'Statements at a time that a paced database gets from this node.',
      labelNames: ['group', 'database'],
      registers,
    });
  }

  /** Counts a statement; records its latency only if its outcome is `done`. */
  observe({group, kind, outcome, elapsedMs}: FinishedStatement): void {
    this.#statements.inc({group, kind, outcome});
    if (outcome === 'done') this.#latency.observe({kind}, elapsedMs / 1_000);
  }

  recordFailoverAttempt(group: string, outcome: FailoverAttemptOutcome): void {
    this.#failoverAttempts.inc({group, outcome});
  }

  recordDrainingStatement(group: string, ageMs: number): void {
    this.#drainAge.observe({group}, ageMs / 1_000);
  }

  recordUnacknowledgedCommit(group: string): void {
    this.#unacknowledged.inc({group});
  }

  recordEvacuationRefusal(group: string, dataCentre: string): void {
    this.#evacuationRefusals.inc({group, data_centre: dataCentre});
  }

  recordQueueWait(priority: number, waitedMs: number): void {
    this.#queueWait.observe({priority}, waitedMs / 1_000);
  }

  recordRefusal(priority: number, reason: RefusalReason): void {
    this.#refused.inc({priority, reason});
  }

  /** Counts a store call that went through other nodes. */
  recordPeerCall(outcome: PeerCallOutcome): void {
    this.#peerCalls.inc({outcome});
  }

  recordEra(era: number): void {
    this.#storeEra.set(era);
  }

  recordPaceLimit(
    group: string,
    database: string,
    limit: number | undefined,
  ): void {
    if (limit === undefined) this.#paceLimit.remove(group, database);
    else this.#paceLimit.set({group, database}, limit);
  }

  recordRejectedAnswer(): void {
    this.#rejected.inc({reason: 'earlierEra'});
  }

  recordRejectedValue(
    reason: Parameters<RejectionMetrics['recordRejectedValue']>[0],
  ): void {
    this.#rejected.inc({reason});
  }

  recordLoadReport(outcome: LoadReportOutcome): void {
    this.#loadReports.inc({outcome});
  }

  recordPassedOn(group: string): void {
    this.#passedOn.inc({group});
  }

  /** Registers the gauges, which are read at each scrape. */
  registerGauges(gauges: NodeGauges): void {
    const add = (name: string, help: string, read: () => number) =>
      new Gauge({
        name,
        help,
        registers: [this.#registry],
        collect() {
          this.set(read());
        },
      });
    add('zinnia_sessions', 'Open sessions.', gauges.sessions);
    add(
      'zinnia_catalog_age_seconds',
      'Age of the proof that the configuration is the newest.',
      () => gauges.catalogAgeMs() / 1_000,
    );
    add(
      'zinnia_catalog_version',
      'Version of the configuration in force.',
      gauges.catalogVersion,
    );
    add('zinnia_members', 'Nodes of the fleet that are live.', gauges.members);
    add(
      'zinnia_home_active',
      'Statements and open transactions at the homes here.',
      gauges.homeActive,
    );
    new Counter({
      name: 'zinnia_peer_bytes_total',
      help: 'Bytes sent to other nodes, by method and whether they leave the data centre.',
      labelNames: ['method', 'scope'],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const {method, scope, bytes} of gauges.peerTraffic()) {
          this.inc({method, scope}, bytes);
        }
      },
    });
    add(
      'zinnia_evacuated_data_centres',
      'Data centres that the operators have evacuated.',
      gauges.evacuatedDataCentres,
    );
    add(
      'zinnia_node_delay_seconds',
      'Average delay of the timers of this node.',
      () => gauges.delayMs() / 1_000,
    );
    add('zinnia_node_slow', 'Whether this node marks itself as slow.', () =>
      Number(gauges.isSlow()),
    );
  }

  /** Serves the metrics over HTTP; rejects if the port can't be bound. */
  listen(host: string, port: number): Promise<Server> {
    const server = createServer((req, res) => {
      if (req.method !== 'GET' || req.url !== METRICS_PATH) {
        res.statusCode = 404;
        res.end();
        return;
      }
      this.#registry.metrics().then(
        text => {
          res.setHeader('content-type', this.#registry.contentType);
          res.end(text);
        },
        (err: unknown) => {
          res.statusCode = 500;
          res.end(String(err));
        },
      );
    });
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve(server));
    });
  }
}
