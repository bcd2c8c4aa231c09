/** The actions of a schedule of faults. */
import type {AckMode} from '../../src/groups/replica-confirmer.js';

/** The endpoints of the links: three nodes and three databases. */
export const NODE_IDS: readonly string[] = ['vm-1', 'vm-2', 'vm-3'];
export const DATABASE_IDS: readonly string[] = ['db-1', 'db-2', 'db-3'];

/** One action of a schedule. */
export type Action =
  /** Cuts the links between these endpoints and all others; mends the rest. */
  | {readonly kind: 'isolate'; readonly ends: readonly string[]}
  | {readonly kind: 'mend'}
  | {readonly kind: 'freeze'; readonly database: string}
  | {readonly kind: 'resume'; readonly database: string}
  | {readonly kind: 'crash'; readonly database: string}
  | {readonly kind: 'restart'; readonly database: string}
  | {
      readonly kind: 'lag';
      readonly database: string;
      readonly ms: number;
    }
  | {readonly kind: 'pauseNode'; readonly node: string}
  | {readonly kind: 'resumeNode'; readonly node: string}
  | {
      readonly kind: 'slowLink';
      readonly node: string;
      readonly database: string;
      readonly ms: number;
    }
  | {
      readonly kind: 'loseAnswers';
      readonly node: string;
      readonly database: string;
      readonly count: number;
    }
  | {
      readonly kind: 'duplicate';
      readonly node: string;
      readonly database: string;
      readonly afterMs: number;
    }
  | {
      readonly kind: 'write';
      readonly node: string;
      readonly session: string;
      readonly ack: AckMode;
    }
  | {
      readonly kind: 'read';
      readonly node: string;
      readonly session: string;
      readonly staleMs: number;
    };

/** A pause and the action that follows it. */
export interface Step {
  readonly waitMs: number;
  readonly action: Action;
}
