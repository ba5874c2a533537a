/**
 * Identifies tenants by API key. Keys are looked up by digest, in constant time for any number of
 * tenants; the time does not reveal how much of a guessed key was right.
 */
import { digestOf, fingerprintOf, type SecretDigest } from '../core/secret-digest.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { type CallerIdentity, type Tenant, type TenantName, UNRESTRICTED } from './tenant.js';

/** The tenants of one configuration, by key digest and by name. */
export class TenantDirectory {
  private readonly byDigest = new Map<SecretDigest, Tenant>();
  private readonly byName = new Map<TenantName, Tenant>();

  /** `tenants` is undefined where the configuration defines none; no keys are then required. */
  constructor(private readonly tenants: readonly Tenant[] | undefined) {
    for (const tenant of tenants ?? []) {
      this.byName.set(tenant.name, tenant);
      for (const digest of tenant.keyDigests) this.byDigest.set(digest, tenant);
    }
  }

  /** The tenant of this name; `undefined` where the configuration no longer has it. */
  get(name: TenantName): Tenant | undefined {
    return this.byName.get(name);
  }

  /**
   * The caller of a request with this key, or the failure `unauthenticated`. Where `isPublic`, no
   * key is required; a known key still identifies its tenant.
   */
  identify(key: string | undefined, isPublic: boolean): CallerIdentity | Failure {
    if (this.tenants === undefined) return UNRESTRICTED;
    const tenant = key === undefined ? undefined : this.byDigest.get(digestOf(key));
    if (tenant !== undefined) return { kind: 'tenant', tenant };
    if (isPublic) return { kind: 'anonymous' };
    if (key === undefined) return failure('unauthenticated', 'the request carries no API key');
    return failure('unauthenticated', `no tenant holds the key ${fingerprintOf(key)}`);
  }
}
