/**
 * Which domains may have bodies on this node's disk: those of intents that name the node's zone.
 * The disk is told whenever the set changes, so that bodies of all others are deleted.
 */
import type { ZoneName } from '../core/identity.js';
import type { DiskRequest, LedgerDomain } from '../ledger/ledger.js';

/** Follows the intents for one disk. */
export class DiskResidency {
  private told: string | null = null;

  /** The request for the disk, or `null` where the domains are the ones it was told last. */
  update(domains: readonly LedgerDomain[], zone: ZoneName): DiskRequest | null {
    const names = domains
      .filter((domain) => domain.zones.includes(zone))
      .map((domain) => domain.name)
      .sort();
    const key = names.join('\n');
    if (key === this.told) return null;
    this.told = key;
    return { kind: 'keep-domains', domains: names };
  }
}
