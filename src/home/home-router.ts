/** The entry's way to the home of a group, wherever that is. */
import {toPeerAddress} from '../membership/known-vm.js';
import type {Member} from '../membership/member.js';
import {PeerError, type PeerCaller} from '../peers/types.js';
import type {Clock} from '../platform/clock.js';
import {mayHaveRun, notRun, type Verdict} from '../verdict/verdict.js';
import {HOME_METHODS} from './messages.js';
import {
  failedResult,
  type ExecRequest,
  type ExecResult,
  type GroupExecutor,
  type PartSink,
} from './types.js';

/** Homes that are tried for one batch. */
const MAX_HOMES = 3;
/** How much longer than the deadline the home's own verdict is waited for. */
const ANSWER_GRACE_MS = 250;
const ORDER_TIMEOUT_MS = 1_000;
const HOME_RETRY_MS = 500;
const PIN_SEPARATOR = '/';

/** The part of the home service that the router uses on its own VM. */
export type LocalHomes = GroupExecutor;

/** What the router is built from. */
export interface HomeRouterOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly peers: PeerCaller;
  readonly local: LocalHomes;
  /** VMs in order of preference as the group's home. */
  readonly homeOrder: (group: string) => readonly Member[];
  readonly findVm: (vm: string) => Member | undefined;
}

/** Sends each batch to the group's home. */
export class HomeRouter implements GroupExecutor {
  readonly #options: HomeRouterOptions;

  constructor(options: HomeRouterOptions) {
    this.#options = options;
  }

  async execute(
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult> {
    if (req.pin !== undefined) return this.#executePinned(req, sink, signal);
    const deadlineAt = this.#options.clock.now() + req.deadlineMs;
    const homes = this.#options.homeOrder(req.group).slice(0, MAX_HOMES);
    let last = failedResult(noHome(req.group));
    let lost: ExecResult | undefined;
    for (const home of homes) {
      const leftMs = deadlineAt - this.#options.clock.now();
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

  release(group: string, pin: string): void {
    const {vm, local} = splitPin(pin);
    if (vm === this.#options.self) {
      return this.#options.local.release(group, local);
    }
    void this.#tell(vm, HOME_METHODS.release, {group, pin: local});
  }

  cancel(group: string, sessionId: string): void {
    this.#options.local.cancel(group, sessionId);
    for (const home of this.#options.homeOrder(group).slice(0, MAX_HOMES)) {
      if (home.id === this.#options.self) continue;
      void this.#tell(home.id, HOME_METHODS.cancel, {group, sessionId});
    }
  }

  /** Runs a batch where its transaction is open. */
  async #executePinned(
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult> {
    const {vm, local} = splitPin(req.pin ?? '');
    const home = this.#options.findVm(vm);
    if (home === undefined) return failedResult(transactionLost(vm));
    const attempt = {...req, pin: local};
    const result = await this.#tryHome(home, attempt, sink, signal);
    const {verdict} = result;
    const unreached =
      verdict.kind === 'notRun' && verdict.reason === 'homeUnavailable';
    const lost = verdict.kind === 'mayHaveRun' && verdict.reason === 'homeLost';
    if (unreached || (lost && !req.commits)) {
      return failedResult(transactionLost(vm));
    }
    return result;
  }

  async #tryHome(
    home: Member,
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult> {
    const result =
      home.id === this.#options.self
        ? await this.#options.local.execute(req, sink, signal)
        : await this.#callHome(home, req, sink, signal);
    if (result.pin === undefined) return result;
    return {...result, pin: joinPin(home.id, result.pin)};
  }

  async #callHome(
    home: Member,
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult> {
    const address = toPeerAddress(home);
    try {
      const result = await this.#options.peers.call(
        address,
        HOME_METHODS.exec,
        req,
        {
          timeoutMs: req.deadlineMs + ANSWER_GRACE_MS,
          signal,
          onPart: part => sink(part as Uint8Array),
        },
      );
      return result as ExecResult;
    } catch (err) {
      return failedResult(homeVerdict(err, home.id));
    }
  }

  async #tell(vm: string, method: string, body: unknown): Promise<void> {
    const home = this.#options.findVm(vm);
    if (home === undefined) return;
    const options = {timeoutMs: ORDER_TIMEOUT_MS};
    await this.#options.peers
      .call(toPeerAddress(home), method, body, options)
      .catch(() => {});
  }
}

/** Whether another home may run the batch without running it twice. */
function mayTryNext(
  req: ExecRequest,
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

function trackParts(sink: PartSink) {
  let forwarded = false;
  return {
    forwarded: () => forwarded,
    sink: (frames: Uint8Array) => {
      forwarded = true;
      return sink(frames);
    },
  };
}

function homeVerdict(err: unknown, vm: string): Verdict {
  const message = `home ${vm}: ${err instanceof Error ? err.message : String(err)}`;
  if (err instanceof PeerError && err.kind === 'notSent') {
    return notRun('homeUnavailable', message, HOME_RETRY_MS);
  }
  return mayHaveRun('homeLost', message);
}

function noHome(group: string): Verdict {
  const message = `no VM can be the home of group ${group} now`;
  return notRun('homeUnavailable', message, HOME_RETRY_MS);
}

function transactionLost(vm: string): Verdict {
  const message = `the transaction was rolled back: its home ${vm} was lost; begin it again`;
  return notRun('homeUnavailable', message, 0);
}

function joinPin(vm: string, pin: string): string {
  return `${vm}${PIN_SEPARATOR}${pin}`;
}

function splitPin(pin: string): {readonly vm: string; readonly local: string} {
  const at = pin.lastIndexOf(PIN_SEPARATOR);
  return {vm: pin.slice(0, at), local: pin.slice(at + 1)};
}
