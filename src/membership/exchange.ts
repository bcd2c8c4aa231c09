/** Gossip anti-entropy: pairs of nodes compare state and send what is missing. */

import type {PeerConnector, DedicatedConnection} from '../peers/peer-pool.js';
import type {PeerHandler} from '../peers/types.js';
import type {Clock, Random} from '../infra/clock.js';
import {elapsedSince, takeInstant, type Instant} from './elapsed.js';
import {toPeerAddress} from './member-entry.js';
import type {Members} from './members.js';
import {PartnerChoice} from './partner-choice.js';

/** Interval between the exchanges that one node starts. */
export const EXCHANGE_INTERVAL_MS = 500;

/** Timeout of each call of an exchange. */
const EXCHANGE_TIMEOUT_MS = 500;

/** Above this many live nodes, each exchange opens a connection of its own. */
const MAX_POOLED_FLEET_SIZE = 32;

const METHOD_COMPARE = 'exchange.compare';
const METHOD_PROVIDE = 'exchange.provide';

/** Result of comparing a peer's summary with local state. */
export interface Comparison {
  /** Content that the peer is missing. */
  readonly give?: unknown;
  /** Request for content that this node is missing; passed to the peer's `provide`. */
  readonly want?: unknown;
}

/** One kind of state that nodes exchange. All values are plain data. */
export interface ExchangeSection {
  /** Name of the section in every message, so keep it short. */
  readonly name: string;
  /** Summary of local state for the peer to compare; its transit time is unknown. */
  summary(): unknown;
  /** Compares the peer's summary with local state. */
  compare(theirs: unknown, from: string): Comparison;
  /** Returns the content that the peer requested. */
  provide(want: unknown): unknown;
  /** Applies content that the peer sent at most `elapsedMs` ago. */
  accept(content: unknown, elapsedMs: number, from: string): void;
}

type Sections = Readonly<Record<string, unknown>>;

interface CompareAnswer {
  readonly give: Sections;
  readonly want: Sections;
  /**
   * Instance and clocks of the answering node. The caller returns them with
   * the content, so that the answering node can compute the content's age.
   */
  readonly stamp?: readonly [string, number, number];
}

/** Dependencies of {@link Exchange}. */
export interface ExchangeOptions {
  readonly members: Members;
  readonly caller: PeerConnector;
  readonly clock: Clock;
  readonly random: Random;
  readonly sections: readonly ExchangeSection[];
}

/** Runs exchanges with one partner at a time. */
export class Exchange {
  readonly #options: ExchangeOptions;
  readonly #sections: ReadonlyMap<string, ExchangeSection>;
  readonly #partnerChoice: PartnerChoice;

  constructor(options: ExchangeOptions) {
    this.#options = options;
    const roundMs = EXCHANGE_INTERVAL_MS;
    this.#partnerChoice = new PartnerChoice({...options, roundMs});
    this.#sections = new Map(
      options.sections.map(section => [section.name, section]),
    );
  }

  /** Peer methods that other nodes call. */
  get handlers(): Readonly<Record<string, PeerHandler>> {
    return {
      [METHOD_COMPARE]: async (body, ctx) => this.#onCompare(body, ctx.from),
      [METHOD_PROVIDE]: async (body, ctx) => this.#onProvide(body, ctx.from),
    };
  }

  /** Runs exchanges until `signal` aborts; a failed one is not retried. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.#options;
    await clock.sleep(random.next() * EXCHANGE_INTERVAL_MS, signal);
    while (!signal.aborted) {
      const start = takeInstant(clock);
      await this.runOnce().catch(() => {});
      const remainingMs = EXCHANGE_INTERVAL_MS - elapsedSince(clock, start);
      await clock.sleep(Math.max(0, remainingMs), signal);
    }
  }

  /** Runs one exchange; rejects if it fails. */
  async runOnce(): Promise<void> {
    const partner = this.#partnerChoice.next();
    if (partner === undefined) return;
    const {caller, members} = this.#options;
    const address = toPeerAddress(partner);
    if (members.live().length <= MAX_POOLED_FLEET_SIZE) {
      const call = caller.call.bind(caller, address);
      return this.#exchange(partner.id, {call, close: () => {}});
    }
    const limit = {timeoutMs: EXCHANGE_TIMEOUT_MS};
    const session = await caller.openDedicated(address, limit);
    try {
      await this.#exchange(partner.id, session);
    } finally {
      session.close();
    }
  }

  async #exchange(
    partnerId: string,
    session: DedicatedConnection,
  ): Promise<void> {
    const {clock} = this.#options;
    const limit = {timeoutMs: EXCHANGE_TIMEOUT_MS};
    const start = takeInstant(clock);
    const answer = (await session.call(
      METHOD_COMPARE,
      this.#collect(section => section.summary()),
      limit,
    )) as CompareAnswer;
    const elapsedMs = elapsedSince(clock, start);
    this.#accept(answer.give, elapsedMs, partnerId);
    const provided = this.#collect(section => {
      const want = answer.want[section.name];
      return want === undefined ? undefined : section.provide(want);
    });
    if (Object.keys(provided).length === 0) return;
    const body = {give: provided, stamp: answer.stamp};
    await session.call(METHOD_PROVIDE, body, limit);
  }

  #onCompare(body: unknown, from: string): CompareAnswer {
    const summaries = toSections(body);
    const give: Record<string, unknown> = {};
    const want: Record<string, unknown> = {};
    for (const [name, section] of this.#sections) {
      const comparison = section.compare(summaries[name], from);
      if (comparison.give !== undefined) give[name] = comparison.give;
      if (comparison.want !== undefined) want[name] = comparison.want;
    }
    if (Object.keys(want).length === 0) return {give, want};
    return {give, want, stamp: this.#takeStamp()};
  }

  #takeStamp(): readonly [string, number, number] {
    const {monotonicMs, wallMs} = takeInstant(this.#options.clock);
    const {instance} = this.#options.members.selfIdentity;
    return [instance, Math.floor(monotonicMs), Math.floor(wallMs)];
  }

  #onProvide(body: unknown, from: string): null {
    const {give, stamp} = toSections(body);
    const sentAt = this.#parseStamp(stamp);
    if (sentAt === undefined) return null;
    const elapsedMs = elapsedSince(this.#options.clock, sentAt);
    this.#accept(toSections(give), elapsedMs, from);
    return null;
  }

  /** Undefined unless this process made the stamp: clocks of another differ. */
  #parseStamp(stamp: unknown): Instant | undefined {
    if (!Array.isArray(stamp)) return undefined;
    const [instance, monotonicMs, wallMs] = stamp as unknown[];
    if (instance !== this.#options.members.selfIdentity.instance) {
      return undefined;
    }
    if (typeof monotonicMs !== 'number' || typeof wallMs !== 'number') {
      return undefined;
    }
    return {monotonicMs, wallMs};
  }

  #accept(give: Sections, elapsedMs: number, from: string): void {
    for (const [name, section] of this.#sections) {
      const content = give[name];
      if (content !== undefined) section.accept(content, elapsedMs, from);
    }
  }

  #collect(take: (section: ExchangeSection) => unknown): Sections {
    const contents: Record<string, unknown> = {};
    for (const [name, section] of this.#sections) {
      const content = take(section);
      if (content !== undefined) contents[name] = content;
    }
    return contents;
  }
}

function toSections(value: unknown): Sections {
  return typeof value === 'object' && value !== null ? (value as Sections) : {};
}
