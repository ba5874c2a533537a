/** Tenants, and what a caller may reach by the tenant that its key proves. */
import type { SecretDigest } from '../core/secret-digest.js';
import type { AllowedRegions } from '../placement/allowed-regions.js';

/** Name of a tenant, as workers and usage reports are told it. */
export type TenantName = string;

/** One tenant of the operator's configuration. */
export interface Tenant {
  readonly name: TenantName;
  /** Digests of the API keys that prove it. */
  readonly keyDigests: readonly SecretDigest[];
  /** Rank of its requests, 0 the most urgent; `undefined` leaves that to the route. */
  readonly priority: number | undefined;
  /** Where its requests may be served and kept, whatever their routes allow. @default anywhere */
  readonly allowedRegions?: AllowedRegions;
}

/** On whose behalf a call comes. */
export type CallerIdentity =
  /** The configuration has no tenants, so nobody is asked for a key. */
  | { readonly kind: 'unrestricted' }
  /** No key was shown, on a route that is open to all. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'tenant'; readonly tenant: Tenant };

/** The identity of every caller where the configuration has no tenants. */
export const UNRESTRICTED: CallerIdentity = { kind: 'unrestricted' };

/** The tenant that a caller proved, by name. */
export function tenantNameOf(caller: CallerIdentity): TenantName | undefined {
  return caller.kind === 'tenant' ? caller.tenant.name : undefined;
}

/** Whether a caller may read, repeat or end what belongs to an owner; `undefined` owns for all. */
export function mayAccess(caller: CallerIdentity, owner: TenantName | undefined): boolean {
  if (owner === undefined || caller.kind === 'unrestricted') return true;
  return tenantNameOf(caller) === owner;
}
