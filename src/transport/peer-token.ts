/**
 * The shared token by which nodes know each other. Only its digest is kept, and comparisons take
 * the same time for any token.
 */
import { createHash, timingSafeEqual } from 'node:crypto';

/** Header that carries the token. */
export const PEER_TOKEN_HEADER = 'wardwing-peer-token';

/** Checks tokens against one expected token. */
export class PeerTokenCheck {
  readonly #digest: Buffer;

  constructor(token: string) {
    if (token === '') throw new RangeError('the shared token must not be empty');
    this.#digest = digestOf(token);
  }

  /** Whether a header's value is the expected token. */
  accepts(value: string | readonly string[] | undefined): boolean {
    const token = typeof value === 'string' ? value : '';
    return timingSafeEqual(digestOf(token), this.#digest);
  }
}

function digestOf(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}
