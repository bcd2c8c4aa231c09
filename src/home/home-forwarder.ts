/** Forwards requests from an entry node to the home of their group. */
import {PeerError, type PeerAddress, type PeerCaller} from '../peers/types.js';
import type {Clock} from '../infra/clock.js';
import {
  mayHaveRun,
  notRun,
  type NotRun,
  type Verdict,
} from '../verdict/verdict.js';
import type {HomeMonitor} from './home-monitor.js';
import type {HomeRequest, HomeResult} from './types.js';

/** Maximum number of homes tried for one request. */
export const MAX_HOMES = 3;
/** Time beyond the deadline to wait for the home's own verdict. */
const VERDICT_GRACE_MS = 250;
const HOME_RETRY_MS = 500;
const PIN_SEPARATOR = '/';

/** Runs the requests of the groups whose home is on this VM. */
export interface HomeRunner<Req, Res, Part> {
  execute(req: Req, sink: Sink<Part>, signal: AbortSignal): Promise<Res>;
}

/** Receives the parts of an answer in order. */
export type Sink<Part> = (part: Part) => void | Promise<void>;

/** Options of a forwarder. */
export interface HomeForwarderOptions<Req, Res, Part> {
  readonly self: string;
  readonly clock: Clock;
  readonly peers: PeerCaller;
  readonly local: HomeRunner<Req, Res, Part>;
  /** The peer method that a home serves for these requests. */
  readonly method: string;
  /** Encoding of requests and results between peers; none sends them as is. */
  readonly codec?: {
    encode(req: Req): unknown;
    decode(body: unknown): Res;
  };
  /** Nodes in order of preference as the group's home. */
  readonly homeOrder: (group: string) => readonly PeerAddress[];
  readonly findNode: (id: string) => PeerAddress | undefined;
  /** Returns a nearby node to try before the group's home. */
  readonly readerOf?: (req: Req) => PeerAddress | undefined;
  /** Creates the result of a request that failed with a verdict. */
  readonly failed: (verdict: Verdict) => Res;
  /** Detects silent homes; without it every home is assumed to answer. */
  readonly watch?: HomeMonitor | undefined;
}

/** Location of an open transaction: its node and its pin there. */
export interface PinLocation {
  readonly node: string;
  readonly local: string;
}

/**
 * Sends each request to its group's home. Tries the next choice if the home
 * did not run the request, or if a read was lost with the home.
 *
 * @example
 * const result = await forwarder.execute(req, part => write(part), signal);
 */
export class HomeForwarder<
  Req extends HomeRequest,
  Res extends HomeResult,
  Part = Uint8Array,
> {
  readonly #options: HomeForwarderOptions<Req, Res, Part>;

  constructor(options: HomeForwarderOptions<Req, Res, Part>) {
    this.#options = options;
  }

  async execute(req: Req, sink: Sink<Part>, signal: AbortSignal): Promise<Res> {
    if (req.pin !== undefined) return this.#executePinned(req, sink, signal);
    const {clock, failed} = this.#options;
    const deadlineAt = clock.now() + req.deadlineMs;
    const nearby = await this.#tryNearbyReader(req, sink, signal);
    if (nearby?.isFinal) return nearby.result;
    const fullReplica = nearby?.result.fullReplica;
    const homes = this.#rankHomes(req.group);
    let last = failed(noHome(req.group));
    let lost: Res | undefined;
    for (const home of homes) {
      const leftMs = deadlineAt - clock.now();
      if (leftMs <= 0) break;
      const tracked = trackParts(sink);
      const attempt = {
        ...req,
        deadlineMs: leftMs,
        ...(fullReplica && {fullReplica}),
      };
      last = await this.#tryHome(home, attempt, tracked.sink, signal);
      if (last.verdict.kind === 'mayHaveRun') lost = last;
      if (!mayTryNext(req, last.verdict, tracked.forwarded())) break;
    }
    // An earlier home may have run the read even if the last one refused it.
    return last.verdict.kind === 'notRun' ? (lost ?? last) : last;
  }

  /** Tries a nearby reader; undefined if there is none that answers. */
  async #tryNearbyReader(
    req: Req,
    sink: Sink<Part>,
    signal: AbortSignal,
  ): Promise<{readonly result: Res; readonly isFinal: boolean} | undefined> {
    const {readerOf, watch} = this.#options;
    const reader = readerOf?.(req);
    if (reader === undefined || watch?.isSilent(reader.id)) return undefined;
    const tracked = trackParts(sink);
    const attempt = {...req, nearOnly: true};
    const result = await this.#tryHome(reader, attempt, tracked.sink, signal);
    const isFinal =
      !mayFallBackToHome(req, result.verdict) || tracked.forwarded();
    return {result, isFinal};
  }

  /** The preferred homes, silent ones last in case no other is left. */
  #rankHomes(group: string): readonly PeerAddress[] {
    const {homeOrder, watch} = this.#options;
    const order = homeOrder(group);
    if (watch === undefined) return order.slice(0, MAX_HOMES);
    const answering = order.filter(({id}) => !watch.isSilent(id));
    const silent = order.filter(({id}) => watch.isSilent(id));
    return [...answering, ...silent].slice(0, MAX_HOMES);
  }

  /** Runs a request on the node where its transaction is open. */
  async #executePinned(
    req: Req,
    sink: Sink<Part>,
    signal: AbortSignal,
  ): Promise<Res> {
    const {findNode, failed} = this.#options;
    const {node, local} = splitPin(req.pin ?? '');
    const home = findNode(node);
    if (home === undefined) return failed(transactionLost(node));
    const attempt = {...req, pin: local};
    const result = await this.#tryHome(home, attempt, sink, signal);
    const {verdict} = result;
    const notReached =
      verdict.kind === 'notRun' && verdict.reason === 'homeUnavailable';
    const lost = verdict.kind === 'mayHaveRun' && verdict.reason === 'homeLost';
    if (notReached || (lost && !req.commits)) {
      return failed(transactionLost(node));
    }
    return result;
  }

  async #tryHome(
    home: PeerAddress,
    req: Req,
    sink: Sink<Part>,
    signal: AbortSignal,
  ): Promise<Res> {
    const result =
      home.id === this.#options.self
        ? await this.#options.local.execute(req, sink, signal)
        : await this.#callHome(home, req, sink, signal);
    if (result.pin === undefined) return result;
    return {...result, pin: joinPin(home.id, result.pin)};
  }

  async #callHome(
    home: PeerAddress,
    req: Req,
    sink: Sink<Part>,
    signal: AbortSignal,
  ): Promise<Res> {
    const {peers, method, failed, watch, codec} = this.#options;
    const monitored = watch?.begin(home, signal);
    try {
      const body = codec === undefined ? req : codec.encode(req);
      const result = await peers.call(home, method, body, {
        timeoutMs: req.deadlineMs + VERDICT_GRACE_MS,
        // A read can be repeated elsewhere, so it is aborted on a silent home.
        signal: req.kind === 'read' && monitored ? monitored.signal : signal,
        onPart: part => sink(part as Part),
      });
      monitored?.end('answered');
      return codec === undefined ? (result as Res) : codec.decode(result);
    } catch (err) {
      monitored?.end(signal.aborted ? 'abandoned' : 'failed');
      return failed(homeVerdict(err, home.id));
    }
  }
}

/** True if another home may be tried: a write is never run twice. */
function mayTryNext(
  req: HomeRequest,
  verdict: Verdict,
  forwarded: boolean,
): boolean {
  if (verdict.kind === 'done' || forwarded) return false;
  if (verdict.kind === 'mayHaveRun') {
    return req.kind === 'read' && verdict.reason === 'homeLost';
  }
  return (
    verdict.reason === 'homeUnavailable' || verdict.reason === 'shuttingDown'
  );
}

/** True if the home may serve a request that a reader did not. */
export function mayFallBackToHome(req: HomeRequest, verdict: Verdict): boolean {
  if (verdict.kind === 'done') return false;
  if (verdict.kind === 'mayHaveRun') return req.kind === 'read';
  return !FINAL_AT_READER.has(verdict.reason);
}

/** Refusals that every home would give as well. */
const FINAL_AT_READER: ReadonlySet<NotRun['reason']> = new Set([
  'rateLimited',
  'badRequest',
  'cancelled',
]);

function trackParts<Part>(sink: Sink<Part>) {
  let forwarded = false;
  return {
    forwarded: () => forwarded,
    sink: (part: Part) => {
      forwarded = true;
      return sink(part);
    },
  };
}

function homeVerdict(err: unknown, node: string): Verdict {
  const message = `home ${node}: ${err instanceof Error ? err.message : String(err)}`;
  if (err instanceof PeerError && err.kind === 'notSent') {
    return notRun('homeUnavailable', message, HOME_RETRY_MS);
  }
  return mayHaveRun('homeLost', message);
}

function noHome(group: string): Verdict {
  const message = `no VM can be the home of group ${group} now`;
  return notRun('homeUnavailable', message, HOME_RETRY_MS);
}

function transactionLost(node: string): Verdict {
  const message = `the transaction was rolled back: its home ${node} was lost; begin it again`;
  return notRun('homeUnavailable', message, 0);
}

function joinPin(node: string, pin: string): string {
  return `${node}${PIN_SEPARATOR}${pin}`;
}

/** Splits a pin into its node and the pin on that node. */
export function splitPin(pin: string): PinLocation {
  const at = pin.lastIndexOf(PIN_SEPARATOR);
  return {node: pin.slice(0, at), local: pin.slice(at + 1)};
}
