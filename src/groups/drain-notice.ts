/** What a node knows about a database that has announced its shutdown. */

/** When a node learnt that a database drains. */
export interface DrainNotice {
  /** On the node's monotonic clock, in milliseconds. */
  readonly learntAt: number;
  /**
   * Age of the node's copy of the store before the announcement arrived, in
   * milliseconds: the database may have announced it this much earlier. Infinite
   * if it was the first copy.
   */
  readonly copyAgeMs: number;
}
