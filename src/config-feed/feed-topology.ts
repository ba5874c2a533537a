/**
 * Who reads from the key-value service in a zone, and who pulls from whom. The members of a zone
 * in rendezvous order form a tree whose roots are the watchers; all nodes with the same view of
 * the zone see the same tree, and one that leaves moves few others.
 */
import { placementHash, rendezvousOrder } from '../core/hashing.js';
import type { NodeRecord, ZoneName } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { MemberView } from '../membership/membership-effects.js';

/** What the topology needs to know. */
export interface FeedTopologyOptions {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly watchersPerZone: number;
  readonly treeFanOut: number;
  readonly parents: number;
}

/** Places of the nodes in the feed. */
export class FeedTopology {
  private readonly zones = new Map<ZoneName, NodeRecord[]>();
  private readonly orders = new Map<ZoneName, readonly NodeRecord[]>();
  private homeHash = 0;
  private parentList: readonly NodeRecord[] = [];
  private watches = false;

  constructor(private readonly options: FeedTopologyOptions) {
    this.setMembers([{ record: options.self, state: 'alive' }]);
  }

  /** Takes over a view of the fleet; only staying members have a place. */
  setMembers(members: readonly MemberView[]): void {
    this.zones.clear();
    for (const { record, state } of members) {
      if (state !== 'alive' && state !== 'suspect') continue;
      const zone = this.zones.get(record.zone);
      if (zone === undefined) this.zones.set(record.zone, [record]);
      else zone.push(record);
    }
    const home = this.zones.get(this.options.self.zone) ?? [];
    const hash = home.reduce((sum, record) => sum ^ lifeHash(record), home.length);
    const previous = this.orders.get(this.options.self.zone);
    this.orders.clear();
    if (hash === this.homeHash && previous !== undefined) {
      this.orders.set(this.options.self.zone, previous);
      return;
    }
    this.homeHash = hash;
    this.placeSelf();
  }

  /** Whether this node reads from the key-value service. */
  get isWatcher(): boolean {
    return this.watches;
  }

  /** Nodes of the own zone that this node pulls from; none for a watcher. */
  get parents(): readonly NodeRecord[] {
    return this.parentList;
  }

  /** A random watcher of another zone. */
  randomForeignWatcher(): NodeRecord | undefined {
    const zone = this.randomForeignZone();
    if (zone === undefined) return undefined;
    const watchers = this.orderOf(zone).slice(0, this.options.watchersPerZone);
    return this.pick(watchers);
  }

  /** A random other member of the own zone. */
  randomHomePeer(): NodeRecord | undefined {
    const { self } = this.options;
    const home = this.zones.get(self.zone) ?? [];
    const peer = this.pick(home);
    if (peer?.node !== self.node) return peer;
    return home.length > 1
      ? this.pick(home.filter((other) => other.node !== self.node))
      : undefined;
  }

  /** A random member of another zone. */
  randomForeignPeer(): NodeRecord | undefined {
    const zone = this.randomForeignZone();
    return zone === undefined ? undefined : this.pick(this.zones.get(zone) ?? []);
  }

  private placeSelf(): void {
    const { self, watchersPerZone, treeFanOut, parents } = this.options;
    const order = this.orderOf(self.zone);
    const rank = order.findIndex((record) => record.node === self.node);
    this.watches = rank >= 0 && rank < watchersPerZone;
    this.parentList = [];
    if (this.watches) return;
    const place = rank < 0 ? order.length : rank;
    const first = Math.max(0, Math.floor((place - watchersPerZone) / treeFanOut));
    this.parentList = order.slice(first, Math.min(first + parents, place));
  }

  private orderOf(zone: ZoneName): readonly NodeRecord[] {
    const known = this.orders.get(zone);
    if (known !== undefined) return known;
    const members = this.zones.get(zone) ?? [];
    const order = rendezvousOrder(`feed ${zone}`, members, (record) => record.node);
    this.orders.set(zone, order);
    return order;
  }

  private randomForeignZone(): ZoneName | undefined {
    const names = [...this.zones.keys()].filter((name) => name !== this.options.self.zone);
    return this.pick(names);
  }

  private pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this.options.random.integer(items.length)];
  }
}

function lifeHash(record: NodeRecord): number {
  return placementHash(record.node, record.incarnation);
}
