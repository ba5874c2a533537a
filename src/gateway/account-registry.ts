/**
 * Accounts and the tokens they hold. Only digests of tokens are kept, and looking up a token takes
 * the same time whether it is known or not.
 */
import { timingSafeEqual } from 'node:crypto';
import { digestOf } from '../core/secret-digest.js';
import type { GatewayAccount } from './gateway-options.js';

const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const BEARER_PATTERN = /^Bearer +([^\s]+)$/i;

interface KnownAccount {
  readonly account: GatewayAccount;
  readonly digest: Buffer;
}

/** Finds the account that holds a token. */
export class AccountRegistry {
  readonly #known: readonly KnownAccount[];

  /** Throws a `RangeError` that names the account whose digest is not a SHA-256 in hexadecimal. */
  constructor(accounts: readonly GatewayAccount[]) {
    this.#known = accounts.map((account) => {
      if (!DIGEST_PATTERN.test(account.tokenDigest)) {
        throw new RangeError(`account ${account.name}: tokenDigest is not a SHA-256 digest`);
      }
      return { account, digest: Buffer.from(account.tokenDigest, 'hex') };
    });
  }

  /** The account named by an `Authorization` header, or `undefined`. */
  find(authorization: string | undefined): GatewayAccount | undefined {
    const token = BEARER_PATTERN.exec(authorization ?? '')?.[1] ?? '';
    const digest = Buffer.from(digestOf(token), 'hex');
    let found: GatewayAccount | undefined;
    for (const known of this.#known) {
      if (timingSafeEqual(known.digest, digest)) found = known.account;
    }
    return token === '' ? undefined : found;
  }
}
