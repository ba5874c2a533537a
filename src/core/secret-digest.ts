/** Digests of secrets that callers present: a process keeps and compares these, never the secrets. */
import { createHash } from 'node:crypto';

/** SHA-256 of a secret, in lower-case hexadecimal. */
export type SecretDigest = string;

/** Hexadecimal digits by which logs name a secret: enough to tell keys apart, too few to try them. */
const FINGERPRINT_DIGITS = 8;

/** The digest under which a secret is known. */
export function digestOf(secret: string): SecretDigest {
  return createHash('sha256').update(secret).digest('hex');
}

/** A short name of a secret for logs. */
export function fingerprintOf(secret: string): string {
  return digestOf(secret).slice(0, FINGERPRINT_DIGITS);
}
