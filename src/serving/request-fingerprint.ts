/**
 * Recognizes retries of a request. Callers give each try its own id and may send it to any node, so
 * two tries are the same request if their content and tenant are the same.
 */
import { createHash } from 'node:crypto';
import type { TenantName } from '../tenants/tenant.js';

/** Hash of a request's content and tenant; the same at all nodes and for all tries. */
export type RequestFingerprint = string;

/** The parts of a request that identify it. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** `undefined` for a caller without a tenant. */
  readonly tenant: TenantName | undefined;
  readonly body: Buffer;
}

/** Hexadecimal digits of a fingerprint: 128 bits, so that no two requests share one by chance. */
const FINGERPRINT_DIGITS = 32;

/** Separates the parts; HTTP allows this character in none of them. */
const SEPARATOR = '\u0000';

/** Hashes a request, including its whole body. */
export function requestFingerprint(content: RequestContent): RequestFingerprint {
  const { method, host, path, tenant = '', body } = content;
  const hash = createHash('sha256');
  hash.update([method, host, path, tenant, ''].join(SEPARATOR)).update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}

/** A request whose fingerprint is computed on first use. */
export class FingerprintedRequest {
  private cached: RequestFingerprint | undefined;

  /** `content` is called at most once. */
  constructor(private readonly content: () => RequestContent) {}

  get fingerprint(): RequestFingerprint {
    this.cached ??= requestFingerprint(this.content());
    return this.cached;
  }
}
