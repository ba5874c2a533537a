/**
 * Leases of the emulated key-value service: keys that are deleted unless their lease is kept
 * alive in time.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { KeyValueCore } from './key-value-core.js';

interface Lease {
  readonly timeToLive: Milliseconds;
  expiresAt: Milliseconds;
  readonly keys: Set<string>;
}

/** All leases of one service. */
export class LeaseTable {
  private readonly leases = new Map<string, Lease>();
  private lastId = 0;

  constructor(private readonly core: KeyValueCore) {}

  /** Grants a lease; a wanted identifier of 0 or `''` lets the service choose. */
  grant(timeToLive: Milliseconds, now: Milliseconds, wantedId = ''): string {
    this.lastId += 1;
    const id = wantedId === '' || wantedId === '0' ? String(this.lastId) : wantedId;
    this.leases.set(id, { timeToLive, expiresAt: now + timeToLive, keys: new Set() });
    return id;
  }

  /** Ties a key to a lease; `false` of an unknown lease. */
  attach(id: string, key: string): boolean {
    const lease = this.leases.get(id);
    lease?.keys.add(key);
    return lease !== undefined;
  }

  /** Renews a lease; returns its time to live, 0 where it has expired. */
  keepAlive(id: string, now: Milliseconds): Milliseconds {
    const lease = this.leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAt = now + lease.timeToLive;
    return lease.timeToLive;
  }

  /** Ends a lease and deletes its keys in one transaction; `false` of an unknown lease. */
  revoke(id: string): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    this.leases.delete(id);
    const writes = [...lease.keys].map((key) => ({ kind: 'delete' as const, key }));
    this.core.perform({ kind: 'transaction', compares: [], writes });
    return true;
  }

  /** Revokes all leases that were not kept alive; returns how many. */
  expire(now: Milliseconds): number {
    const due = [...this.leases].filter(([, lease]) => lease.expiresAt <= now);
    for (const [id] of due) this.revoke(id);
    return due.length;
  }
}
