/** Tenants, identities of callers, and access to what a tenant owns. */
import type { SecretDigest } from '../core/secret-digest.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';

/** Name of a tenant; sent to workers and in usage reports. */
export type TenantName = string;

export interface Tenant {
  readonly name: TenantName;
  /** Digests of the API keys. */
  readonly keyDigests: readonly SecretDigest[];
  /** Priority of the requests, 0 the most urgent; `undefined` uses that of the route. */
  readonly priority: number | undefined;
  /**
   * Regions in which the requests may be served and stored; routes may limit further. @default any
   */
  readonly allowedRegions?: AllowedRegions;
}

/** The identified caller of a request. */
export type CallerIdentity =
  /** The configuration has no tenants, so no key is required. */
  | { readonly kind: 'unrestricted' }
  /** No known key was sent, on a public route. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'tenant'; readonly tenant: Tenant };

export const UNRESTRICTED: CallerIdentity = { kind: 'unrestricted' };

/** Name of the caller's tenant; `undefined` where the caller has none. */
export function tenantNameOf(caller: CallerIdentity): TenantName | undefined {
  return caller.kind === 'tenant' ? caller.tenant.name : undefined;
}

/** Whether a caller may read, repeat or cancel what `owner` owns; without an owner all may. */
export function mayAccess(caller: CallerIdentity, owner: TenantName | undefined): boolean {
  if (owner === undefined || caller.kind === 'unrestricted') return true;
  return tenantNameOf(caller) === owner;
}
