/** Digests of the secrets of callers: a process stores and compares digests, never the secrets. */
import { createHash } from 'node:crypto';

/** SHA-256 of a secret, in lower-case hexadecimal. */
export type SecretDigest = string;

/** Digits of a fingerprint: enough to distinguish keys, too few to verify guesses. */
const FINGERPRINT_DIGITS = 8;

export function digestOf(secret: string): SecretDigest {
  return createHash('sha256').update(secret).digest('hex');
}

/** Prefix of the digest that identifies a secret in logs. */
export function fingerprintOf(secret: string): string {
  return digestOf(secret).slice(0, FINGERPRINT_DIGITS);
}
