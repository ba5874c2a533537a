/**
 * Finds the tenant that an API key proves. Keys are looked up by their digests: one look takes the
 * same time for any number of tenants, and tells nothing of how much of a guessed key was right.
 */
import { digestOf, fingerprintOf, type SecretDigest } from '../core/secret-digest.js';
import { type Failure, failure } from '../errors/error-kinds.js';
import { type CallerIdentity, type Tenant, type TenantName, UNRESTRICTED } from './tenant.js';

/** The tenants of one configuration, by their keys. */
export class TenantDirectory {
  private readonly byDigest = new Map<SecretDigest, Tenant>();
  private readonly byName = new Map<TenantName, Tenant>();

  /** `tenants` is undefined where the configuration knows none; keys are then not asked for. */
  constructor(private readonly tenants: readonly Tenant[] | undefined) {
    for (const tenant of tenants ?? []) {
      this.byName.set(tenant.name, tenant);
      for (const digest of tenant.keyDigests) this.byDigest.set(digest, tenant);
    }
  }

  /** The tenant of this name, if the configuration still has it. */
  named(name: TenantName): Tenant | undefined {
    return this.byName.get(name);
  }

  /**
   * On whose behalf a call with this key comes, or why it is refused. Where `isPublic`, no key is
   * needed, and a known one still names its tenant.
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
