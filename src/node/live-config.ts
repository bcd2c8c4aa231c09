/** Applies configuration documents as they arrive and serves the newest. */
import * as z from 'zod';
import {GROUPS_KEY, type GroupSpec} from '../groups/types.js';
import {decodeDocument} from '../rollout/config-codec.js';
import {CONFIG_KEY, ConfigDocument} from '../rollout/config-document.js';
import type {Documents, DocumentVersion} from '../rollout/documents.js';
import type {Logger} from '../telemetry/log.js';

const groupsSchema = z.array(
  z.object({
    name: z.string().min(1),
    databases: z
      .array(
        z.object({
          id: z.string().min(1),
          host: z.string().min(1),
          port: z.int().min(1).max(65_535),
          dataCentre: z.string(),
          provider: z.enum(['old', 'new']),
          slots: z.int().min(1),
          maxConnections: z.int().min(1),
        }),
      )
      .min(1),
  }),
);

/** Decodes the platform's database groups; throws if the text is malformed. */
export function decodeGroups(text: string): readonly GroupSpec[] {
  return groupsSchema.parse(JSON.parse(text));
}

/** Holds the newest valid configuration; malformed documents are rejected. */
export class LiveConfig {
  readonly #log: Logger;
  readonly #listeners = new Set<() => void>();
  #document = ConfigDocument.EMPTY;
  #groups: ReadonlyMap<string, GroupSpec> = new Map();
  #retired: ReadonlySet<string> = new Set();

  constructor(documents: Documents, log: Logger) {
    this.#log = log;
    documents.onChange(version => this.#apply(version));
  }

  /** The operators' configuration: table and keys. */
  get document(): ConfigDocument {
    return this.#document;
  }

  /** The platform's database groups. */
  get groups(): readonly GroupSpec[] {
    return [...this.#groups.values()];
  }

  /** Budget instances that may never spend again. */
  get retired(): ReadonlySet<string> {
    return this.#retired;
  }

  findGroup(name: string): GroupSpec | undefined {
    return this.#groups.get(name);
  }

  /** Calls `listener` after each change. */
  onChange(listener: () => void): void {
    this.#listeners.add(listener);
  }

  #apply({name, revision, value}: DocumentVersion): void {
    if (value === null) return;
    try {
      if (name === CONFIG_KEY) this.#applyConfig(value);
      else if (name === GROUPS_KEY) this.#applyGroups(value);
      else return;
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      this.#log.error('documentRejected', {name, revision, message});
      return;
    }
    for (const listener of this.#listeners) listener();
  }

  #applyConfig(text: string): void {
    const document = decodeDocument(text);
    if (document.version < this.#document.version) {
      this.#log.error('configVersionFell', {
        inForce: this.#document.version,
        offered: document.version,
      });
      return;
    }
    this.#document = document;
    this.#retired = new Set(document.retired.map(({instance}) => instance));
    this.#log.info('configInForce', {version: document.version});
  }

  #applyGroups(text: string): void {
    const groups = decodeGroups(text);
    this.#groups = new Map(groups.map(group => [group.name, group]));
    this.#log.info('groupsInForce', {groups: groups.length});
  }
}
