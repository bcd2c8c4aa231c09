/** Routes batches from an entry node to the home of their group. */
import {toPeerAddress} from '../membership/member-entry.js';
import type {Member} from '../membership/member.js';
import type {PeerCaller} from '../peers/types.js';
import type {Clock} from '../infra/clock.js';
import {HomeForwarder, MAX_HOMES, splitPin} from './home-forwarder.js';
import {HOME_METHODS} from './messages.js';
import {
  failedResult,
  type ExecRequest,
  type ExecResult,
  type GroupExecutor,
  type PartSink,
} from './types.js';

const NOTIFY_TIMEOUT_MS = 1_000;

/** The homes on the router's own VM. */
export type LocalHomes = GroupExecutor;

/** Options of a home router. */
export interface HomeRouterOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly peers: PeerCaller;
  readonly local: LocalHomes;
  /** Returns the VMs in order of preference as the group's home. */
  readonly homeOrder: (group: string) => readonly Member[];
  readonly findVm: (vm: string) => Member | undefined;
}

/** Sends batches, rollbacks and cancel requests to the group's home. */
export class HomeRouter implements GroupExecutor {
  readonly #options: HomeRouterOptions;
  readonly #forwarder: HomeForwarder<ExecRequest, ExecResult>;

  constructor(options: HomeRouterOptions) {
    const {homeOrder, findVm, ...common} = options;
    this.#options = options;
    this.#forwarder = new HomeForwarder({
      ...common,
      method: HOME_METHODS.exec,
      homeOrder: group => homeOrder(group).map(toPeerAddress),
      findNode: id => {
        const vm = findVm(id);
        return vm && toPeerAddress(vm);
      },
      failed: verdict => failedResult(verdict),
    });
  }

  execute(
    req: ExecRequest,
    sink: PartSink,
    signal: AbortSignal,
  ): Promise<ExecResult> {
    return this.#forwarder.execute(req, sink, signal);
  }

  release(group: string, pin: string): void {
    const {node, local} = splitPin(pin);
    if (node === this.#options.self) {
      return this.#options.local.release(group, local);
    }
    void this.#notify(node, HOME_METHODS.release, {group, pin: local});
  }

  cancel(group: string, sessionId: string): void {
    this.#options.local.cancel(group, sessionId);
    for (const home of this.#options.homeOrder(group).slice(0, MAX_HOMES)) {
      if (home.id === this.#options.self) continue;
      void this.#notify(home.id, HOME_METHODS.cancel, {group, sessionId});
    }
  }

  async #notify(vm: string, method: string, body: unknown): Promise<void> {
    const home = this.#options.findVm(vm);
    if (home === undefined) return;
    const options = {timeoutMs: NOTIFY_TIMEOUT_MS};
    await this.#options.peers
      .call(toPeerAddress(home), method, body, options)
      .catch(() => {});
  }
}
