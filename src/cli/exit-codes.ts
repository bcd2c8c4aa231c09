/** Exit codes of the commands. */
export const EXIT = {
  ok: 0,
  /** The change was refused, or its input is invalid. */
  refused: 1,
  /** The command line or a setting is invalid. */
  usage: 2,
  /** Accepted, but not confirmed in force on every VM before the timeout. */
  notInForce: 3,
  /** The store is unreachable, or the outcome of the change is unknown. */
  unreachable: 4,
} as const;

/** One of {@link EXIT}. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
