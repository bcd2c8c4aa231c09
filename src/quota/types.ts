/** Messages between the holders and the owner of a team's budget. */

/** Holders ask for tokens ahead for the demand of this time. */
export const PREFETCH_MS = 200;

/** A holder's request for tokens. */
export interface TokenRequest {
  readonly team: string;
  /** Tokens wanted now. */
  readonly wanted: number;
  /** Fewer tokens are of no use; 1 by default. */
  readonly atLeast?: number;
  /** Tokens granted earlier that were not spent and are given back. */
  readonly returned: number;
}

/** Decodes a token request of another node; undefined if it is malformed. */
export function decodeTokenRequest(body: unknown): TokenRequest | undefined {
  if (typeof body !== 'object' || body === null) return undefined;
  const {team, wanted, atLeast, returned} = body as Partial<TokenRequest>;
  if (typeof team !== 'string' || !isCount(wanted)) return undefined;
  const least = isCount(atLeast) ? {atLeast} : {};
  return {team, wanted, ...least, returned: isCount(returned) ? returned : 0};
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** The owner's reply. */
export type TokenReply =
  | {
      readonly kind: 'granted';
      readonly tokens: number;
      /** Time in milliseconds until more tokens may be available. */
      readonly retryAfterMs: number;
      /** The holder's fraction of all recently granted tokens, from 0 to 1. */
      readonly share: number;
    }
  /** The node does not own the budget, or may not grant from it now. */
  | {readonly kind: 'notOwner'};

/** A team's rate limit over all nodes together. */
export interface RateLimits {
  /** Operations a second. */
  readonly rate: number;
  /** Operations admitted at once, on top of the rate. */
  readonly burst: number;
}

/** The admission decision for one operation. */
export type QuotaDecision =
  | {readonly kind: 'admitted'}
  | {
      readonly kind: 'refused';
      readonly reason: 'overRate' | 'unavailable';
      readonly retryAfterMs: number;
    };
