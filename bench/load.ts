/** Loads of the benches on one group, made of the demo's sessions. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Fleet, FleetNode} from '../demo/fleet.js';
import {LoadRecord} from '../demo/load-record.js';
import {SessionLoad, type LoadMix} from '../demo/session-load.js';

/** Sessions of one kind. */
export interface SessionGroup {
  readonly mix: LoadMix;
  readonly count: number;
}

/** What a load consists of. */
export interface LoadOptions {
  readonly fleet: Fleet;
  /** The nodes that the sessions roam over; all where not given. */
  readonly nodes?: readonly FleetNode[];
  readonly group: string;
  readonly team: string;
  readonly sessions: readonly SessionGroup[];
  readonly paceMs: number;
  readonly seed: number;
}

/** A load that runs until it is stopped. */
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

  /** Lets the running statements end. */
  async stop(): Promise<LoadRecord> {
    this.#isStopped = true;
    await this.#sessions;
    return this.record;
  }
}
