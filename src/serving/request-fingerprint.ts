/**
 * Recognizes a request that comes again. Callers give each try an id of its own and may send it to
 * any node, so two tries are the same request where all that a worker is asked is the same.
 */
import { createHash } from 'node:crypto';
import type { TenantName } from '../tenants/tenant.js';

/** Names what is asked and on whose behalf; the same at all nodes and for all tries. */
export type RequestFingerprint = string;

/** What a worker is asked, and for whom. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** `undefined` where no key proved one. */
  readonly tenant: TenantName | undefined;
  readonly body: Buffer;
}

/** Digits of a fingerprint in hexadecimal: 128 bits, so that no two requests share one by chance. */
const FINGERPRINT_DIGITS = 32;

/** Not in any of the parts, as HTTP allows it in none of them. */
const SEPARATOR = '\u0000';

/** The fingerprint of a request; costs a pass over its body. */
export function requestFingerprint(content: RequestContent): RequestFingerprint {
  const { method, host, path, tenant = '', body } = content;
  const hash = createHash('sha256');
  hash.update([method, host, path, tenant, ''].join(SEPARATOR)).update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}

/** A request whose fingerprint is worked out when it is first needed, and once. */
export class FingerprintedRequest {
  private cached: RequestFingerprint | undefined;

  /** `work` is called at most once. */
  constructor(private readonly content: () => RequestContent) {}

  get fingerprint(): RequestFingerprint {
    this.cached ??= requestFingerprint(this.content());
    return this.cached;
  }
}
