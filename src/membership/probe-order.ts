/** The order in which a node probes the members of its zone. */
import type { NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { MemberTable } from './member-table.js';

/** Chooses the next member to probe. */
export class ProbeOrder {
  private order: NodeRecord[] = [];
  private isRingTurn = false;

  constructor(
    private readonly self: NodeRecord,
    private readonly table: MemberTable,
    private readonly random: RandomSource,
  ) {}

  /**
   * Every second probe goes to the successor in the zone's ring, so that each member is probed at
   * a bounded interval; the others follow a random order, so that gossip mixes and no member
   * depends on one neighbour.
   */
  next(): NodeRecord | undefined {
    this.isRingTurn = !this.isRingTurn;
    return (this.isRingTurn ? this.ringSuccessor() : undefined) ?? this.nextRandomTarget();
  }

  private ringSuccessor(): NodeRecord | undefined {
    const ring = this.table.ringOf(this.self.zone);
    const position = ring.findIndex((record) => record.node === this.self.node);
    const successor = ring[(position + 1) % ring.length];
    return successor?.node === this.self.node ? undefined : successor;
  }

  /** The next member in a random order in which each comes once (SWIM, section 4.3). */
  private nextRandomTarget(): NodeRecord | undefined {
    for (let attempt = 0; attempt < 2; attempt += 1) {
      while (this.order.length > 0) {
        const candidate = this.order.pop();
        if (candidate === undefined) break;
        const update = this.table.find(candidate.node);
        if (update !== undefined && update.state !== 'dead') return update.record;
      }
      this.order = this.shuffledPeers();
    }
    return undefined;
  }

  private shuffledPeers(): NodeRecord[] {
    const peers = this.peers();
    for (let position = peers.length - 1; position > 0; position -= 1) {
      const other = this.random.integer(position + 1);
      const moved = peers[position] as NodeRecord;
      peers[position] = peers[other] as NodeRecord;
      peers[other] = moved;
    }
    return peers;
  }

  /** The other members of the zone that are not dead. */
  peers(): NodeRecord[] {
    return this.table
      .presentInZone(this.self.zone)
      .filter((record) => record.node !== this.self.node);
  }
}
