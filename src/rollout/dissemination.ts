/** Replicates documents: pushes new versions and compares them in each exchange. */

import {
  elapsedSince,
  takeInstant,
  type Instant,
} from '../membership/elapsed.js';
import type {Comparison, ExchangeSection} from '../membership/exchange.js';
import {toPeerAddress} from '../membership/member-entry.js';
import type {Member} from '../membership/member.js';
import type {Members} from '../membership/members.js';
import type {PeerCaller, PeerHandler} from '../peers/types.js';
import type {Clock, Random} from '../infra/clock.js';
import {
  isDocumentVersion,
  readDocumentDigest,
  type DocumentDigest,
  type Documents,
  type DocumentVersion,
} from './documents.js';

/** Number of nodes to which each node pushes a new version. */
export const PUSH_FANOUT = 3;

/** Longer values are announced first and sent only on request. */
const MAX_UNANNOUNCED_CHARACTERS = 512;

/** Timeout of an announcement or of sending a small value. */
const ANNOUNCE_TIMEOUT_MS = 1_000;

/** Timeout of sending an announced document. */
const PUT_TIMEOUT_MS = 5_000;

/** How long a node waits for a requested version before it requests it again. */
const EXPECTED_VERSION_TIMEOUT_MS = 1_000;

const METHOD_ANNOUNCE = 'documents.announce';
const METHOD_PUT = 'documents.put';

/** Dependencies of {@link Dissemination}. */
export interface DisseminationOptions {
  readonly documents: Documents;
  readonly members: Members;
  readonly caller: PeerCaller;
  readonly clock: Clock;
  readonly random: Random;
}

interface ExpectedVersion {
  readonly revision: number;
  readonly since: Instant;
}

/** Pushes each new version to a few random nodes. */
export class Dissemination {
  readonly #options: DisseminationOptions;
  readonly #expected = new Map<string, ExpectedVersion>();

  constructor(options: DisseminationOptions) {
    this.#options = options;
    options.documents.onChange(version => this.#push(version));
  }

  /** Peer methods that other nodes call. */
  get handlers(): Readonly<Record<string, PeerHandler>> {
    return {
      [METHOD_ANNOUNCE]: async body => this.#onAnnounce(body),
      [METHOD_PUT]: async body => this.#onPut(body),
    };
  }

  /** Exchange section that compares documents. */
  get section(): ExchangeSection {
    return new DocumentsSection(this.#options.documents);
  }

  #push(version: DocumentVersion): void {
    for (const vm of this.#choosePeers()) {
      // The next exchange delivers what is lost here.
      void this.#pushTo(vm, version).catch(() => {});
    }
  }

  async #pushTo(vm: Member, version: DocumentVersion): Promise<void> {
    const {caller} = this.#options;
    const to = toPeerAddress(vm);
    if ((version.value?.length ?? 0) <= MAX_UNANNOUNCED_CHARACTERS) {
      const limit = {timeoutMs: ANNOUNCE_TIMEOUT_MS};
      await caller.call(to, METHOD_PUT, [version], limit);
      return;
    }
    const digest = {[version.name]: version.revision};
    const wanted = await caller.call(to, METHOD_ANNOUNCE, digest, {
      timeoutMs: ANNOUNCE_TIMEOUT_MS,
    });
    if (wanted !== true) return;
    await caller.call(to, METHOD_PUT, [version], {timeoutMs: PUT_TIMEOUT_MS});
  }

  #choosePeers(): readonly Member[] {
    const {members, random} = this.#options;
    const pool = members.live().filter(vm => vm.id !== members.selfId);
    const chosen: Member[] = [];
    while (chosen.length < PUSH_FANOUT && pool.length > 0) {
      const at = Math.floor(random.next() * pool.length);
      chosen.push(...pool.splice(at, 1));
    }
    return chosen;
  }

  /** Whether any announced version is newer and not already requested. */
  #onAnnounce(body: unknown): boolean {
    const digest = readDocumentDigest(body);
    const wanted = Object.entries(digest).filter(([name, revision]) =>
      this.#shouldRequest(name, revision),
    );
    const since = takeInstant(this.#options.clock);
    for (const [name, revision] of wanted) {
      this.#expected.set(name, {revision, since});
    }
    return wanted.length > 0;
  }

  #shouldRequest(name: string, revision: number): boolean {
    const {clock, documents} = this.#options;
    if (revision <= documents.revision(name)) return false;
    const expected = this.#expected.get(name);
    if (expected === undefined || expected.revision < revision) return true;
    return elapsedSince(clock, expected.since) > EXPECTED_VERSION_TIMEOUT_MS;
  }

  #onPut(body: unknown): null {
    offerVersions(this.#options.documents, body);
    return null;
  }
}

/** Compares the documents of two nodes and sends the newer versions. */
class DocumentsSection implements ExchangeSection {
  readonly name = 'docs';
  readonly #documents: Documents;

  constructor(documents: Documents) {
    this.#documents = documents;
  }

  summary(): DocumentDigest {
    return this.#documents.digest();
  }

  compare(theirs: unknown): Comparison {
    const digest = readDocumentDigest(theirs);
    const newer = this.#documents.newerThan(digest);
    const lacking = Object.entries(digest).some(
      ([name, revision]) => revision > this.#documents.revision(name),
    );
    return {
      give: newer.length > 0 ? newer : undefined,
      want: lacking ? this.#documents.digest() : undefined,
    };
  }

  provide(want: unknown): unknown {
    return this.#documents.newerThan(readDocumentDigest(want));
  }

  accept(content: unknown): void {
    offerVersions(this.#documents, content);
  }
}

function offerVersions(documents: Documents, content: unknown): void {
  if (!Array.isArray(content)) return;
  for (const version of content.filter(isDocumentVersion)) {
    documents.offer(version.name, version.revision, version.value);
  }
}
