import {
  covers,
  decodeToken,
  SessionToken,
  TokenSigner,
} from '../../../src/index.js';

const signer = new TokenSigner('a secret that all VMs share');

/** One proxy: the session wrote; its token goes to the caller. */
export function tokenAfterWrite(term: number, offset: number): string {
  return SessionToken.fresh().with('claims', {term, offset}).encode(signer);
}

/** Another proxy: may a replica at this position serve the session? */
export function mayRead(text: string, term: number, offset: number): boolean {
  const decoded = decodeToken(text, signer);
  if (decoded.kind !== 'valid') throw new Error(decoded.message);
  const wanted = decoded.token.at('claims');
  return wanted !== undefined && covers({term, offset}, wanted);
}
