/**
 * The table of all members, by zone, with the hashes by which two tables are compared. Updates
 * of one member are ordered by life, then refutation number, then state.
 */
import { placementHash, rendezvousOrder } from '../core/hashing.js';
import type { NodeId, NodeRecord, ZoneName } from '../core/identity.js';
import type { MemberState } from './membership-effects.js';
import type { MemberUpdate } from './messages.js';

/** Buckets of a zone in which members are hashed. */
export const BUCKET_COUNT = 32;

const STATE_RANKS = { alive: 0, suspect: 1, dead: 2 } as const;

/** Whether an update takes the place of another one of the same node. */
export function supersedes(next: MemberUpdate, current: MemberUpdate): boolean {
  const lives = next.record.incarnation - current.record.incarnation;
  if (lives !== 0) return lives > 0;
  const refutations = next.refutation - current.refutation;
  if (refutations !== 0) return refutations > 0;
  return STATE_RANKS[next.state] > STATE_RANKS[current.state];
}

/** Whether two updates look the same from another zone: suspicion stays inside a zone. */
export function sameAbroad(left: MemberUpdate | undefined, right: MemberUpdate): boolean {
  if (left === undefined) return false;
  return (
    left.record.incarnation === right.record.incarnation &&
    left.leaving === right.leaving &&
    (left.state === 'dead') === (right.state === 'dead')
  );
}

function bucketOf(node: NodeId): number {
  return placementHash(node) % BUCKET_COUNT;
}

function entryHash(update: MemberUpdate): number {
  if (update.state === 'dead') return 0;
  const { node, incarnation } = update.record;
  return placementHash(`${node}#${incarnation}#${update.leaving}`);
}

function byNode(left: NodeRecord, right: NodeRecord): number {
  return left.node < right.node ? -1 : 1;
}

/** Members of one zone. */
class ZoneTable {
  readonly updates = new Map<NodeId, MemberUpdate>();
  readonly buckets = new Int32Array(BUCKET_COUNT);
  present: readonly NodeRecord[] | null = null;
  staying: readonly NodeRecord[] | null = null;
  bridges: readonly NodeRecord[] | null = null;

  forgetLists(): void {
    this.present = null;
    this.staying = null;
    this.bridges = null;
  }

  /** Adds the hash of an entry into its bucket, or takes it out again (XOR does both). */
  toggle(update: MemberUpdate): void {
    const bucket = bucketOf(update.record.node);
    this.buckets[bucket] = (this.buckets[bucket] ?? 0) ^ entryHash(update);
  }

  hash(): number {
    let sum = 0;
    for (const bucket of this.buckets) sum = (Math.imul(sum, 31) + bucket) | 0;
    return sum;
  }
}

/** The table of all members. */
export class MemberTable {
  private readonly zoneTables = new Map<ZoneName, ZoneTable>();
  private sortedZones: readonly ZoneName[] | null = null;
  private namesHash = 0;
  private listedLeaving: ReadonlySet<string> = new Set();
  /** Rises with each change that other modules can see. */
  version = 0;

  constructor(private readonly bridgesPerZone: number) {}

  /** State of a member as other modules see it. */
  stateOf(update: MemberUpdate): MemberState {
    if (update.state === 'dead') return 'dead';
    return this.isLeaving(update) ? 'leaving' : update.state;
  }

  /** Sets the addresses that the machine list marks as leaving; a sign for this node only. */
  setListedLeaving(addresses: ReadonlySet<string>): void {
    this.listedLeaving = addresses;
    for (const zone of this.zoneTables.values()) zone.forgetLists();
    this.version += 1;
  }

  /** Zone names, sorted. */
  zones(): readonly ZoneName[] {
    if (this.sortedZones === null) {
      this.sortedZones = [...this.zoneTables.keys()].sort();
      this.namesHash = placementHash(this.sortedZones.join('\n'));
    }
    return this.sortedZones;
  }

  /** Hash of the list of zone names. */
  zonesHash(): number {
    this.zones();
    return this.namesHash;
  }

  find(node: NodeId): MemberUpdate | undefined {
    for (const zone of this.zoneTables.values()) {
      const update = zone.updates.get(node);
      if (update !== undefined) return update;
    }
    return undefined;
  }

  *updates(): Iterable<MemberUpdate> {
    for (const zone of this.zoneTables.values()) yield* zone.updates.values();
  }

  /** Stores an update without any check of order. */
  store(update: MemberUpdate): void {
    const previous = this.find(update.record.node);
    if (previous !== undefined) this.remove(previous);
    const zone = this.zoneTable(update.record.zone);
    zone.updates.set(update.record.node, update);
    zone.toggle(update);
    zone.forgetLists();
    this.version += 1;
  }

  /** Removes an entry. */
  remove(update: MemberUpdate): void {
    const zone = this.zoneTable(update.record.zone);
    zone.updates.delete(update.record.node);
    zone.toggle(update);
    zone.forgetLists();
    this.version += 1;
  }

  /** Members of a zone that are not dead, leaving ones included, by name. */
  presentInZone(name: ZoneName): readonly NodeRecord[] {
    const zone = this.zoneTables.get(name);
    if (zone === undefined) return [];
    zone.present ??= this.listZone(zone, (update) => update.state !== 'dead');
    return zone.present;
  }

  /** Members of a zone that are neither dead nor leaving, by name. */
  stayingInZone(name: ZoneName): readonly NodeRecord[] {
    const zone = this.zoneTables.get(name);
    if (zone === undefined) return [];
    zone.staying ??= this.listZone(
      zone,
      (update) => update.state !== 'dead' && !this.isLeaving(update),
    );
    return zone.staying;
  }

  /** Nodes of a zone that exchange digests with other zones. */
  bridgesOf(name: ZoneName): readonly NodeRecord[] {
    const zone = this.zoneTables.get(name);
    if (zone === undefined) return [];
    zone.bridges ??= rendezvousOrder(
      `bridge ${name}`,
      this.stayingInZone(name),
      (record) => record.node,
    ).slice(0, this.bridgesPerZone);
    return zone.bridges;
  }

  zoneHash(name: ZoneName): number {
    return this.zoneTables.get(name)?.hash() ?? 0;
  }

  bucketHashes(name: ZoneName): readonly number[] {
    return [...(this.zoneTables.get(name)?.buckets ?? new Int32Array(BUCKET_COUNT))];
  }

  /** Entries of some buckets of a zone, the dead included. */
  bucketEntries(name: ZoneName, buckets: readonly number[]): readonly MemberUpdate[] {
    const updates = this.zoneTables.get(name)?.updates.values() ?? [];
    return [...updates].filter((update) => buckets.includes(bucketOf(update.record.node)));
  }

  private isLeaving(update: MemberUpdate): boolean {
    return update.leaving || this.listedLeaving.has(update.record.address);
  }

  private listZone(
    zone: ZoneTable,
    isWanted: (update: MemberUpdate) => boolean,
  ): readonly NodeRecord[] {
    const records: NodeRecord[] = [];
    for (const update of zone.updates.values()) if (isWanted(update)) records.push(update.record);
    return records.sort(byNode);
  }

  private zoneTable(name: ZoneName): ZoneTable {
    let zone = this.zoneTables.get(name);
    if (zone === undefined) {
      zone = new ZoneTable();
      this.zoneTables.set(name, zone);
      this.sortedZones = null;
    }
    return zone;
  }
}
