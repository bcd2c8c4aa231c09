/** The exit codes of every operator's command. */
export const EXIT = {
  ok: 0,
  /** The change was refused, or its input is invalid. */
  refused: 1,
  /** The command line can't be understood. */
  usage: 2,
  /** Accepted, but not seen in force everywhere in time. */
  notInForce: 3,
  /** The store can't be reached, or did not say what became of the edit. */
  unreachable: 4,
} as const;

/** One of {@link EXIT}. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];
