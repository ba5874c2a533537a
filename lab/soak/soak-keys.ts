/**
 * The API keys of the soak: each new configuration gives every tenant a new key and takes the oldest
 * of its two away, so that callers always hold one that is in force in two configurations.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** How all API keys of the soak begin. */
export const KEY_PREFIX = 'key-';

/** The answer to a key that is not known. */
export const UNAUTHORIZED = 401;

/** All tenants: that of lookups, and one of each trainer. */
export const SOAK_TENANTS = [
  'brokers',
  'trainers',
  'trainers-b',
  'trainers-c',
  'trainers-d',
] as const;

/** One tenant. */
export type SoakTenant = (typeof SOAK_TENANTS)[number];

/** The keys that a configuration holds of one tenant. */
export interface SoakTenantKeys {
  readonly name: SoakTenant;
  readonly api_keys: readonly string[];
}

/** Knows which keys hold. */
export class SoakKeys {
  private generation = 1;
  private rotatedAt: Milliseconds = 0;

  constructor(private readonly now: () => Milliseconds) {}

  /** A new configuration: the keys that it holds, by tenant. */
  rotate(): readonly SoakTenantKeys[] {
    this.generation += 1;
    this.rotatedAt = this.now();
    const generations = [this.generation - 1, this.generation];
    return SOAK_TENANTS.map((name) => ({
      name,
      api_keys: generations.map((generation) => keyOf(name, generation)),
    }));
  }

  /** A key that the newest configuration and the one before hold. */
  currentKey(tenant: string): string {
    return keyOf(tenant, this.generation - 1);
  }

  /** A key that only the newest configuration holds. */
  newestKey(tenant: SoakTenant): string {
    return keyOf(tenant, this.generation);
  }

  /** Whether the newest configuration holds a key. */
  holds(tenant: SoakTenant, key: string): boolean {
    return key === this.currentKey(tenant) || key === this.newestKey(tenant);
  }

  /** A key that the newest configuration took away. */
  revokedKey(tenant: SoakTenant): string {
    return keyOf(tenant, this.generation - 2);
  }

  /** Time since keys were last taken away. */
  get timeSinceRotation(): Milliseconds {
    return this.now() - this.rotatedAt;
  }
}

function keyOf(tenant: string, generation: number): string {
  return `${KEY_PREFIX}${tenant}-${generation}`;
}
