/** Stand-in for a database group that speaks the line protocol. */
import {LineDatabase, type Commit} from './database.js';

/** Settings of a group. */
export interface LineGroupOptions {
  readonly name: string;
  /** Number of databases. */
  readonly databases: number;
  /** Replica lag: time until a replica applies a commit. */
  readonly lagMs?: number;
  /** Time that a promotion takes; no database is primary meanwhile. */
  readonly promoteMs?: number;
  readonly maxConnections?: number;
  /**
   * Whether a replaced primary goes on until it is told to step down, as one
   * that is cut off from the new primary does.
   */
  readonly oldPrimaryGoesOn?: boolean;
}

/**
 * One primary and its replicas; each promotion raises the term.
 *
 * @example
 * const group = await LineGroup.start({name: 'claims', databases: 3});
 * group.primary.commits.length;
 */
export class LineGroup {
  readonly name: string;
  readonly databases: readonly LineDatabase[];
  lagMs: number;
  readonly #promoteMs: number;
  readonly #oldPrimaryGoesOn: boolean;
  /** When each promotion took effect, in Unix milliseconds. */
  readonly promotedAt: number[] = [];
  /** Fencing tokens of the promotions that were accepted. */
  readonly tokens: number[] = [];

  private constructor(options: LineGroupOptions) {
    this.name = options.name;
    this.lagMs = options.lagMs ?? 0;
    this.#promoteMs = options.promoteMs ?? 50;
    this.#oldPrimaryGoesOn = options.oldPrimaryGoesOn ?? false;
    this.databases = Array.from(
      {length: options.databases},
      (_, n) =>
        new LineDatabase({
          id: `${options.name}-${n}`,
          group: options.name,
          maxConnections: options.maxConnections ?? 16,
          onCommit: (commit, from) => this.#replicate(commit, from),
        }),
    );
  }

  static async start(options: LineGroupOptions): Promise<LineGroup> {
    const group = new LineGroup(options);
    await Promise.all(group.databases.map(database => database.listen()));
    group.databases[0]!.becomePrimary(1);
    return group;
  }

  get primary(): LineDatabase {
    return this.databases.find(({isPrimary}) => isPrimary)!;
  }

  get replicas(): readonly LineDatabase[] {
    return this.databases.filter(({isPrimary}) => !isPrimary);
  }

  /** The primary of the latest promotion. */
  get newestPrimary(): LineDatabase {
    return this.databases
      .filter(({isPrimary}) => isPrimary)
      .toSorted((a, b) => b.term - a.term)[0]!;
  }

  /**
   * Promotes a database after `promoteMs`. Returns false if the token is
   * lower than a previous token, or if the database is unknown or stopped.
   */
  promote(id: string, token: number): boolean {
    if (token < Math.max(0, ...this.tokens)) return false;
    const candidate = this.databases.find(database => database.id === id);
    if (candidate === undefined || candidate.isStopped) return false;
    this.tokens.push(token);
    if (candidate.isPrimary) return true;
    if (!this.#oldPrimaryGoesOn) {
      for (const database of this.databases) database.becomeReplica();
    }
    setTimeout(() => {
      if (candidate.isStopped) return;
      const terms = this.databases.map(database => database.term);
      candidate.becomePrimary(Math.max(...terms) + 1);
      this.promotedAt.push(Date.now());
      for (const database of this.databases) {
        if (!database.isPrimary || database === candidate)
          database.truncateTo(candidate);
      }
    }, this.#promoteMs);
    return true;
  }

  async stop(): Promise<void> {
    await Promise.all(this.databases.map(database => database.stop()));
  }

  #replicate(commit: Commit, from: LineDatabase): void {
    for (const database of this.databases) {
      if (database === from) continue;
      setTimeout(() => database.apply(commit), this.lagMs);
    }
  }
}
