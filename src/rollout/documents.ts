/** Documents: named store values that are replicated to every node. */

/** Names of the documents that are replicated to every node. */
export const DOCUMENT_NAMES = [
  'zinnia/config',
  'platform/groups',
  'platform/vms',
] as const;

/** One version of a document. */
export interface DocumentVersion {
  readonly name: string;
  /** The store revision of the change; at least 1. */
  readonly revision: number;
  /** The value; null if the key was deleted. */
  readonly value: string | null;
}

/** Called with each new version. Must not throw. */
export type DocumentListener = (version: DocumentVersion) => void;

/** Revisions by document name. */
export type DocumentDigest = Readonly<Record<string, number>>;

/**
 * The newest known version of each document. Older versions are rejected, so a
 * document's revision never decreases during the life of the process.
 */
export class Documents {
  readonly #versions = new Map<string, DocumentVersion>();
  readonly #listeners = new Set<DocumentListener>();

  /**
   * Stores a version if it is newer than the current one; returns whether it was.
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

  /** The current revision of a document; 0 if there is none. */
  revision(name: string): number {
    return this.#versions.get(name)?.revision ?? 0;
  }

  /** The current revisions of all documents, by name. */
  digest(): DocumentDigest {
    const entries = [...this.#versions.values()]
      .map(version => [version.name, version.revision] as const)
      .toSorted(([a], [b]) => (a < b ? -1 : 1));
    return Object.fromEntries(entries);
  }

  /** Current versions that are newer than those of a digest. */
  newerThan(digest: DocumentDigest): readonly DocumentVersion[] {
    return [...this.#versions.values()].filter(
      ({name, revision}) => revision > (digest[name] ?? 0),
    );
  }

  /** Calls `listener` with each new version; returns a function that removes it. */
  onChange(listener: DocumentListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

/** Whether a value received from a peer is a well-formed document version. */
export function isDocumentVersion(value: unknown): value is DocumentVersion {
  if (typeof value !== 'object' || value === null) return false;
  const version = value as Partial<DocumentVersion>;
  return (
    typeof version.name === 'string' &&
    Number.isSafeInteger(version.revision) &&
    (typeof version.value === 'string' || version.value === null)
  );
}

/** Parses a digest received from a peer; malformed entries are left out. */
export function readDocumentDigest(value: unknown): DocumentDigest {
  if (typeof value !== 'object' || value === null) return {};
  const entries = Object.entries(value).filter(([, revision]) =>
    Number.isSafeInteger(revision),
  );
  return Object.fromEntries(entries) as DocumentDigest;
}
