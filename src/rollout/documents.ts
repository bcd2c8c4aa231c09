/** The documents that every node holds: named values of the store. */

/** Names of the documents that are spread to every node. */
export const DOCUMENT_NAMES = [
  'zinnia/config',
  'platform/groups',
  'platform/vms',
] as const;

/** One version of a document. */
export interface DocumentVersion {
  readonly name: string;
  /** The store's revision of the change; at least 1. */
  readonly revision: number;
  /** The value; null if the key was deleted. */
  readonly value: string | null;
}

/** Called with each version that becomes the newest. Must not throw. */
export type DocumentListener = (version: DocumentVersion) => void;

/** Revisions by document name. */
export type DocumentDigest = Readonly<Record<string, number>>;

/**
 * The newest known version of each document. A revision never falls while the
 * process lives, whoever offers an older one.
 */
export class Documents {
  readonly #versions = new Map<string, DocumentVersion>();
  readonly #listeners = new Set<DocumentListener>();

  /**
   * Takes a version if it is newer than the one held; returns whether it was.
   *
   * @example
   * documents.offer('zinnia/config', 7, json); // true
   * documents.offer('zinnia/config', 6, json); // false
   */
  offer(name: string, revision: number, value: string | null): boolean {
    if (!Number.isSafeInteger(revision) || revision < 1) return false;
    if (revision <= this.revision(name)) return false;
    const version = {name, revision, value};
    this.#versions.set(name, version);
    for (const listener of [...this.#listeners]) listener(version);
    return true;
  }

  /** The newest version of a document. */
  get(name: string): DocumentVersion | undefined {
    return this.#versions.get(name);
  }

  /** The revision held of a document; 0 if there is none. */
  revision(name: string): number {
    return this.#versions.get(name)?.revision ?? 0;
  }

  /** The revisions of every document held. */
  digest(): DocumentDigest {
    const entries = [...this.#versions.values()].map(
      version => [version.name, version.revision] as const,
    );
    return Object.fromEntries(entries);
  }

  /** Versions held here that are newer than those of a digest. */
  newerThan(digest: DocumentDigest): readonly DocumentVersion[] {
    return [...this.#versions.values()].filter(
      ({name, revision}) => revision > (digest[name] ?? 0),
    );
  }

  /** Calls `listener` with each new version; returns how to stop. */
  onChange(listener: DocumentListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

/** Whether a value received from a peer is a document's version. */
export function isDocumentVersion(value: unknown): value is DocumentVersion {
  if (typeof value !== 'object' || value === null) return false;
  const version = value as Partial<DocumentVersion>;
  return (
    typeof version.name === 'string' &&
    Number.isSafeInteger(version.revision) &&
    (typeof version.value === 'string' || version.value === null)
  );
}

/** Reads a digest received from a peer, without what is malformed. */
export function readDocumentDigest(value: unknown): DocumentDigest {
  if (typeof value !== 'object' || value === null) return {};
  const entries = Object.entries(value).filter(([, revision]) =>
    Number.isSafeInteger(revision),
  );
  return Object.fromEntries(entries) as DocumentDigest;
}
