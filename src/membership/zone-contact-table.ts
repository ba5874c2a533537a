/**
 * When each other zone last answered a digest of this zone's bridges. Every node keeps the times
 * on its own clock; ages travel with the probes and only ever make a contact more recent.
 */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { MemberTable } from './member-table.js';
import type { ZoneContacts } from './messages.js';

/** Unit of the ages in messages. */
const AGE_UNIT: Milliseconds = 100;

/** Times of last contact of one node. */
export class ZoneContactTable {
  private readonly contactedAt = new Map<ZoneName, Milliseconds>();

  constructor(private readonly table: MemberTable) {}

  /** Notes that a zone answered, at a time not later than now. */
  contacted(zone: ZoneName, at: Milliseconds): void {
    const known = this.contactedAt.get(zone);
    if (known === undefined || known < at) this.contactedAt.set(zone, at);
  }

  /** Time since the last contact; a zone seen for the first time counts as just contacted. */
  age(zone: ZoneName, now: Milliseconds): Milliseconds {
    const at = this.contactedAt.get(zone);
    if (at === undefined) this.contactedAt.set(zone, now);
    return now - (at ?? now);
  }

  /** The table as a message carries it. */
  encode(now: Milliseconds): ZoneContacts {
    const ages = this.table.zones().map((zone) => Math.ceil(this.age(zone, now) / AGE_UNIT));
    return { zonesHash: this.table.zonesHash(), ages };
  }

  /** Takes over later contacts of a peer in this zone; ignored where the zone lists differ. */
  merge(contacts: ZoneContacts, now: Milliseconds): void {
    if (contacts.zonesHash !== this.table.zonesHash()) return;
    const zones = this.table.zones();
    contacts.ages.forEach((age, position) => {
      const zone = zones[position];
      if (zone !== undefined) this.contacted(zone, now - age * AGE_UNIT);
    });
  }
}
