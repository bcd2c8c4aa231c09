/** Streaming watch: one JSON line for each batch of changes. */
import type {ServerResponse} from 'node:http';
import {
  createHeader,
  formatChange,
  readInt,
  readObject,
  readRange,
  type Body,
} from './messages.js';
import type {KeyRange, Revisions} from './revisions.js';

/** Interval of progress messages on a watch. */
export const PROGRESS_INTERVAL_MS = 500;

/** Streams changes to one client until its connection closes. */
export class WatchStream {
  readonly #revisions: Revisions;
  readonly #res: ServerResponse;
  readonly #range: KeyRange;
  #nextRevision: number;

  constructor(revisions: Revisions, res: ServerResponse, body: Body) {
    const request = readObject(body, 'create_request');
    const start = readInt(request, 'start_revision');
    this.#revisions = revisions;
    this.#res = res;
    this.#range = readRange(request);
    this.#nextRevision = start > 0 ? start : revisions.revision + 1;
  }

  /** Starts streaming; a compacted start revision ends the watch at once. */
  start(): void {
    this.#res.writeHead(200, {'content-type': 'application/json'});
    this.#send({created: true});
    if (this.#nextRevision < this.#revisions.compactedRevision) {
      const compacted = String(this.#revisions.compactedRevision);
      this.#send({canceled: true, compact_revision: compacted});
      this.#res.end();
      return;
    }
    const stopListening = this.#revisions.onChange(() => this.#sendChanges());
    const timer = setInterval(() => this.#send({}), PROGRESS_INTERVAL_MS);
    this.#res.on('close', () => {
      stopListening();
      clearInterval(timer);
    });
    this.#sendChanges();
  }

  #sendChanges(): void {
    const changes = this.#revisions.changesSince(
      this.#range,
      this.#nextRevision,
    );
    this.#nextRevision = Math.max(
      this.#nextRevision,
      this.#revisions.revision + 1,
    );
    if (changes.length > 0) this.#send({events: changes.map(formatChange)});
  }

  #send(fields: Body): void {
    const header = createHeader(this.#revisions.revision);
    this.#res.write(`${JSON.stringify({result: {header, ...fields}})}\n`);
  }
}
