import {AckTracker, ackVerdict, orderFailover} from '../../../src/index.js';
import type {AckTrackerOptions, CommittedWrite} from '../../../src/index.js';

/** Whether a write that the primary committed may be acknowledged. */
export const acknowledge = (group: AckTrackerOptions, write: CommittedWrite) =>
  new AckTracker(group).acknowledge(write).then(ackVerdict);

/** Fences a majority and promotes the database that holds the most. */
export const failOver = (group: AckTrackerOptions, suspectId: string) =>
  orderFailover({...group, orderer: 'vm1/1', suspectId});
