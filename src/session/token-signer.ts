/** Signs session tokens, so that callers can't forge or alter them. */
import {createHmac, timingSafeEqual} from 'node:crypto';

const MIN_SECRET_BYTES = 16;
/**
 * Domain separation: signatures of other uses of the secret are not valid here.
 */
const PURPOSE = 'zinnia-session-token:';

/** Signs and verifies the text of session tokens with HMAC-SHA256. */
export class TokenSigner {
  readonly #secret: Buffer;
  readonly #accepted: readonly Buffer[];

  /**
   * @param secret The secret used to sign.
   * @param previousSecrets Secrets still accepted during a rotation.
   *
   * @example
   * const signer = new TokenSigner(newSecret, [oldSecret]);
   */
  constructor(
    secret: string | Uint8Array,
    previousSecrets: readonly (string | Uint8Array)[] = [],
  ) {
    this.#secret = checkedSecret(secret);
    this.#accepted = [this.#secret, ...previousSecrets.map(checkedSecret)];
  }

  /** Returns the signature of a text, in base64url. */
  sign(text: string): string {
    return hmac(this.#secret, text).toString('base64url');
  }

  /** Whether one of the accepted secrets made this signature. */
  verify(text: string, signature: string): boolean {
    const given = Buffer.from(signature, 'base64url');
    return this.#accepted.some(secret => {
      const expected = hmac(secret, text);
      return (
        given.length === expected.length && timingSafeEqual(given, expected)
      );
    });
  }
}

function checkedSecret(secret: string | Uint8Array): Buffer {
  const bytes = Buffer.from(secret);
  if (bytes.length >= MIN_SECRET_BYTES) return bytes;
  throw new Error(
    `the token secret has ${bytes.length} bytes; ` +
      `set one of at least ${MIN_SECRET_BYTES} random bytes`,
  );
}

function hmac(secret: Buffer, text: string): Buffer {
  return createHmac('sha256', secret).update(PURPOSE).update(text).digest();
}
