/** A stand-in of a database group that speaks the line protocol. */
import {LineDatabase, type Commit} from './database.js';

/** How a group is made. */
export interface LineGroupOptions {
  readonly name: string;
  readonly databases: number;
  /** How long a replica takes to apply a commit. */
  readonly lagMs?: number;
  /** How long a promotion takes. */
  readonly promoteMs?: number;
  readonly maxConnections?: number;
}

/**
 * One primary and its replicas under a rising term.
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
  /** Fencing tokens of the orders that were carried out. */
  readonly tokens: number[] = [];

  private constructor(options: LineGroupOptions) {
    this.name = options.name;
    this.lagMs = options.lagMs ?? 0;
    this.#promoteMs = options.promoteMs ?? 50;
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
    await Promise.all(group.databases.map(one => one.listen()));
    group.databases[0]!.becomePrimary(1);
    return group;
  }

  get primary(): LineDatabase {
    return this.databases.find(({isPrimary}) => isPrimary)!;
  }

  get replicas(): readonly LineDatabase[] {
    return this.databases.filter(({isPrimary}) => !isPrimary);
  }

  /** Carries an order out; false if its token is too low. */
  promote(id: string, token: number): boolean {
    if (token < Math.max(0, ...this.tokens)) return false;
    const chosen = this.databases.find(one => one.id === id);
    if (chosen === undefined || chosen.isStopped) return false;
    this.tokens.push(token);
    const term = Math.max(...this.databases.map(one => one.term)) + 1;
    for (const one of this.databases) one.becomeReplica();
    setTimeout(() => {
      chosen.becomePrimary(term);
      for (const one of this.databases) one.truncateTo(chosen);
    }, this.#promoteMs);
    return true;
  }

  async stop(): Promise<void> {
    await Promise.all(this.databases.map(one => one.stop()));
  }

  #replicate(commit: Commit, from: LineDatabase): void {
    for (const one of this.databases) {
      if (one === from) continue;
      setTimeout(() => one.apply(commit), this.lagMs);
    }
  }
}
