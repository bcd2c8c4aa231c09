/** The peer handler by which a budget's owner grants tokens to other nodes. */
import type {PeerHandler} from '../peers/types.js';
import type {BudgetOwner} from './budget-owner.js';
import {decodeTokenRequest} from './types.js';

/**
 * Creates the handler of token requests, which fails for malformed ones.
 *
 * @example
 * const handlers = new Map([['quota.take', createTokenHandler(owner)]]);
 */
export function createTokenHandler(
  owner: Pick<BudgetOwner, 'serve'>,
): PeerHandler {
  return async (body, {from}) => {
    const req = decodeTokenRequest(body);
    if (req === undefined) throw new Error('malformed token request');
    return owner.serve(from, req);
  };
}
