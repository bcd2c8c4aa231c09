/** The way from an entry to the home of a group, wherever that is. */
import {PeerError, type PeerAddress, type PeerCaller} from '../peers/types.js';
import type {Clock} from '../infra/clock.js';
import {
  mayHaveRun,
  notRun,
  type NotRun,
  type Verdict,
} from '../verdict/verdict.js';
import type {HomeWatch} from './home-watch.js';
import type {HomeRequest, HomeResult} from './types.js';

/** Homes that are tried for one request. */
export const MAX_HOMES = 3;
/** How much longer than the deadline the home's own verdict is waited for. */
const ANSWER_GRACE_MS = 250;
const HOME_RETRY_MS = 500;
const PIN_SEPARATOR = '/';

/** Runs the requests of groups whose home is on this VM. */
export interface HomeRunner<Req, Res, Part> {
  execute(req: Req, sink: Sink<Part>, signal: AbortSignal): Promise<Res>;
}

/** Receives the parts of an answer in order. */
export type Sink<Part> = (part: Part) => void | Promise<void>;

/** What a forwarder is built from. */
export interface HomeForwarderOptions<Req, Res, Part> {
  readonly self: string;
  readonly clock: Clock;
  readonly peers: PeerCaller;
  readonly local: HomeRunner<Req, Res, Part>;
  /** The peer method by which a home takes requests. */
  readonly method: string;
  /** How peers send requests and results; as they are without it. */
  readonly codec?: {
    encode(req: Req): unknown;
    decode(body: unknown): Res;
  };
  /** Nodes in order of preference as the group's home. */
  readonly homeOrder: (group: string) => readonly PeerAddress[];
  readonly findNode: (id: string) => PeerAddress | undefined;
  /** A node that may serve the request before its group's home is asked. */
  readonly readerOf?: (req: Req) => PeerAddress | undefined;
  /** The result of a request that failed with a verdict. */
  readonly failed: (verdict: Verdict) => Res;
  /** Tells which homes give no sign of life; without it all count as alive. */
  readonly watch?: HomeWatch | undefined;
}

/** Where an open transaction is: its node, and its name there. */
export interface PinPlace {
  readonly node: string;
  readonly local: string;
}

/**
 * Sends each request to the group's home, or to the next choice while that is
 * known not to have run it.
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
    const near = await this.#tryNear(req, sink, signal);
    if (near !== undefined) return near;
    const homes = this.#homesOf(req.group);
    let last = failed(noHome(req.group));
    let lost: Res | undefined;
    for (const home of homes) {
      const leftMs = deadlineAt - clock.now();
      if (leftMs <= 0) break;
      const tracked = trackParts(sink);
      const attempt = {...req, deadlineMs: leftMs};
      last = await this.#tryHome(home, attempt, tracked.sink, signal);
      if (last.verdict.kind === 'mayHaveRun') lost = last;
      if (!mayTryNext(req, last.verdict, tracked.forwarded())) break;
    }
    // An earlier home may have run it, whatever the last one says.
    return last.verdict.kind === 'notRun' ? (lost ?? last) : last;
  }

  /** The answer of a reader nearby; undefined where the home must be asked. */
  async #tryNear(
    req: Req,
    sink: Sink<Part>,
    signal: AbortSignal,
  ): Promise<Res | undefined> {
    const {readerOf, watch} = this.#options;
    const reader = readerOf?.(req);
    if (reader === undefined || watch?.isSilent(reader.id)) return undefined;
    const tracked = trackParts(sink);
    const attempt = {...req, nearOnly: true};
    const result = await this.#tryHome(reader, attempt, tracked.sink, signal);
    const isFinal = !mayLeaveReader(req, result.verdict);
    return isFinal || tracked.forwarded() ? result : undefined;
  }

  /** The preferred homes; silent ones last, as they may be all there is. */
  #homesOf(group: string): readonly PeerAddress[] {
    const {homeOrder, watch} = this.#options;
    const order = homeOrder(group);
    if (watch === undefined) return order.slice(0, MAX_HOMES);
    const answering = order.filter(({id}) => !watch.isSilent(id));
    const silent = order.filter(({id}) => watch.isSilent(id));
    return [...answering, ...silent].slice(0, MAX_HOMES);
  }

  /** Runs a request where its transaction is open. */
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
    const unreached =
      verdict.kind === 'notRun' && verdict.reason === 'homeUnavailable';
    const lost = verdict.kind === 'mayHaveRun' && verdict.reason === 'homeLost';
    if (unreached || (lost && !req.commits)) {
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
    const watched = watch?.begin(home, signal);
    try {
      const body = codec === undefined ? req : codec.encode(req);
      const result = await peers.call(home, method, body, {
        timeoutMs: req.deadlineMs + ANSWER_GRACE_MS,
        // What may be repeated is not left with a home that went silent.
        signal: req.kind === 'read' && watched ? watched.signal : signal,
        onPart: part => sink(part as Part),
      });
      watched?.end('answered');
      return codec === undefined ? (result as Res) : codec.decode(result);
    } catch (err) {
      watched?.end(signal.aborted ? 'abandoned' : 'failed');
      return failed(homeVerdict(err, home.id));
    }
  }
}

/** Whether another home may run the request without running it twice. */
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

/** Whether the home may serve what a reader did not. */
function mayLeaveReader(req: HomeRequest, verdict: Verdict): boolean {
  if (verdict.kind === 'done') return false;
  if (verdict.kind === 'mayHaveRun') return req.kind === 'read';
  return !FINAL_AT_READER.has(verdict.reason);
}

/** Refusals that are the same at every home. */
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

/** Where the transaction of a pin is open. */
export function splitPin(pin: string): PinPlace {
  const at = pin.lastIndexOf(PIN_SEPARATOR);
  return {node: pin.slice(0, at), local: pin.slice(at + 1)};
}
