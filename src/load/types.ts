/** What nodes tell one another about the databases that they share. */

/** The work of one node at a database of a group. */
export interface DatabaseLoad {
  readonly databaseId: string;
  /** Statements that the node runs there or has queued for it. */
  readonly outstanding: number;
  /** Average execution time that the node measured there, in milliseconds. */
  readonly costMs: number;
  /**
   * Statements that the node runs there concurrently at most; 0 if the database
   * does not answer the node.
   */
  readonly concurrency: number;
}

/** What other nodes last reported to have sent to a group's databases. */
export interface GroupLoad {
  /** Statements of other nodes at a database, fading out with their age. */
  outstandingElsewhere(databaseId: string): number;
  /** Expected execution time of these statements, in milliseconds. */
  workElsewhereMs(databaseId: string): number;
  /** Longest average execution time reported for a database; 0 if none is. */
  costElsewhereMs(databaseId: string): number;
  /** Whether another node reports that a database does not answer it. */
  isUnreachableElsewhere(databaseId: string): boolean;
  /** Age of the oldest report that counts; undefined if none does. */
  ageMs(): number | undefined;
}

/** The shared load information of one group at one of its senders. */
export interface GroupSharing {
  readonly load: GroupLoad;
  /** Counts a read that this node passed on to the group's home. */
  recordPassedOn(): void;
}

/** Counts the reports of other nodes and what is decided from them. */
export interface LoadMetrics {
  recordLoadReport(outcome: LoadReportOutcome): void;
  /** Counts a read that a reader passed on to the group's home. */
  recordPassedOn(group: string): void;
}

/** What became of a report that this node sent or received. */
export type LoadReportOutcome =
  'sent' | 'notDelivered' | 'accepted' | 'ignored';
