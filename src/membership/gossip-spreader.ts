/** Chooses what each message carries, and sends urgent updates without waiting for a probe. */
import type { NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { MemberTable } from './member-table.js';
import type { EffectList } from './membership-effects.js';
import type { MembershipTiming } from './membership-options.js';
import type { Gossip } from './messages.js';
import type { UpdateQueue } from './update-queue.js';
import type { ZoneContactTable } from './zone-contact-table.js';

/** Transmissions on top of those that grow with the zone, so that small zones lose nothing. */
const EXTRA_TRANSMISSIONS = 6;

/** What the spreader works on. */
export interface GossipSpreaderParts {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly timing: MembershipTiming;
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  readonly contacts: ZoneContactTable;
  readonly effects: EffectList;
}

/** Some distinct items, chosen at random. */
export function chooseSome<Item>(
  items: readonly Item[],
  count: number,
  random: RandomSource,
): readonly Item[] {
  if (items.length <= count) return items;
  const chosen = new Set<Item>();
  while (chosen.size < count) chosen.add(items[random.integer(items.length)] as Item);
  return [...chosen];
}

/** Spreads updates inside the zone. */
export class GossipSpreader {
  private nextRoundAt: Milliseconds = 0;

  constructor(private readonly parts: GossipSpreaderParts) {}

  /** Gossip for a message to a peer; a peer held for suspect or dead is told so. */
  gossipFor(peer: NodeRecord, now: Milliseconds): Gossip {
    const updates = this.parts.queue.next(this.transmissions());
    const known = this.parts.table.find(peer.node);
    const mustHear = known !== undefined && known.state !== 'alive' && !updates.includes(known);
    return {
      updates: mustHear ? [...updates, known] : updates,
      contacts: this.parts.contacts.encode(now),
    };
  }

  /** Sends a round of urgent updates to a few peers of the zone, when one is due. */
  tick(now: Milliseconds): void {
    const { queue, timing, table, self, random, effects } = this.parts;
    if (now < this.nextRoundAt || !queue.hasUrgent()) return;
    this.nextRoundAt = now + timing.gossipInterval;
    const peers = table.presentInZone(self.zone).filter((record) => record.node !== self.node);
    for (const peer of chooseSome(peers, timing.gossipFanOut, random)) {
      const updates = queue.next(this.transmissions());
      if (updates.length > 0) effects.send(peer, { kind: 'updates', updates });
    }
  }

  private transmissions(): number {
    const size = this.parts.table.presentInZone(this.parts.self.zone).length;
    return (
      Math.ceil(this.parts.timing.retransmitFactor * Math.log10(size + 1)) + EXTRA_TRANSMISSIONS
    );
  }
}
