/** A closed-loop load of {@link SessionLoad} sessions on one database group. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Fleet, FleetNode} from '../demo/fleet.js';
import {LoadRecord} from '../demo/load-record.js';
import {SessionLoad, type LoadMix} from '../demo/session-load.js';

/** A number of sessions with the same load mix. */
export interface SessionGroup {
  readonly mix: LoadMix;
  readonly count: number;
}

/** Options of a load. */
export interface LoadOptions {
  readonly fleet: Fleet;
  /** Nodes that the sessions connect to; all nodes by default. */
  readonly nodes?: readonly FleetNode[];
  readonly group: string;
  readonly team: string;
  readonly sessions: readonly SessionGroup[];
  readonly paceMs: number;
  readonly seed: number;
}

/** A load that starts when constructed and runs until it is stopped. */
export class RunningLoad {
  readonly record = new LoadRecord();
  readonly #sessions: Promise<unknown>;
  #isStopped = false;

  constructor(options: LoadOptions) {
    const {fleet, group, team, paceMs} = options;
    const generator = xoroshiro128plus(options.seed);
    const random = () => (generator.next() >>> 0) / 2 ** 32;
    const all = options.sessions.flatMap(({mix, count}, kind) =>
      Array.from({length: count}, (_, index) =>
        new SessionLoad({
          id: `${team}-${kind}-${index}`,
          team,
          key: fleet.keys.get(team) ?? '',
          group,
          nodes: options.nodes ?? fleet.nodes,
          record: this.record,
          paceMs,
          mix,
          random,
          isOver: () => this.#isStopped,
        }).run(),
      ),
    );
    this.#sessions = Promise.all(all);
  }

  /** Ends the sessions after their running operations; returns the record. */
  async stop(): Promise<LoadRecord> {
    this.#isStopped = true;
    await this.#sessions;
    return this.record;
  }
}
