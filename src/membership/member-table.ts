/**
 * The table of all members, by zone, with the hashes by which two tables are compared. Updates
 * of one member are ordered by life, then refutation number, then state.
 */
import { placementHash } from '../core/hashing.js';
import { identityKey, type NodeId, type NodeRecord, type ZoneName } from '../core/identity.js';
import type { MemberState } from './membership-effects.js';
import type { MemberUpdate } from './messages.js';

/** Buckets of a zone in which members are hashed. */
export const BUCKET_COUNT = 32;

/** Odd, so that the hash of a leaving life differs from that of a staying one. */
const LEAVING_FACTOR = 0x9e3779b1;

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

/** Hashes of a record, kept because tables are hashed and sorted anew at every change. */
interface RecordHashes {
  /** Rendezvous score within the zone. */
  readonly score: number;
  readonly bucket: number;
  /** Hash of the life. */
  readonly life: number;
}

const recordHashes = new WeakMap<NodeRecord, RecordHashes>();

function hashesOf(record: NodeRecord): RecordHashes {
  const known = recordHashes.get(record);
  if (known !== undefined) return known;
  const score = placementHash(`${record.zone}\u0000${record.node}`);
  const bucket = placementHash(record.node) % BUCKET_COUNT;
  const hashes = { score, bucket, life: placementHash(identityKey(record)) };
  recordHashes.set(record, hashes);
  return hashes;
}

function entryHash(update: MemberUpdate): number {
  if (update.state === 'dead') return 0;
  const { life } = hashesOf(update.record);
  return update.leaving ? Math.imul(life, LEAVING_FACTOR) : life;
}

function byNode(left: NodeRecord, right: NodeRecord): number {
  return left.node < right.node ? -1 : 1;
}

/** Members of a zone by rendezvous score: the same order on every node. */
function rendezvousSorted(records: readonly NodeRecord[]): readonly NodeRecord[] {
  return [...records].sort(
    (left, right) => hashesOf(right).score - hashesOf(left).score || byNode(left, right),
  );
}

/** Members of one zone. */
class ZoneTable {
  readonly updates = new Map<NodeId, MemberUpdate>();
  readonly buckets = new Int32Array(BUCKET_COUNT);
  present: readonly NodeRecord[] | null = null;
  staying: readonly NodeRecord[] | null = null;
  bridges: readonly NodeRecord[] | null = null;
  ring: readonly NodeRecord[] | null = null;

  /** Drops the lists made of the members; each is made anew on its next use. */
  forgetLists(): void {
    this.ring = null;
    this.present = null;
    this.staying = null;
    this.bridges = null;
  }

  /** Adds the hash of an entry into its bucket, or takes it out again (XOR does both). */
  toggle(update: MemberUpdate): void {
    const bucket = hashesOf(update.record).bucket;
    this.buckets[bucket] = (this.buckets[bucket] ?? 0) ^ entryHash(update);
  }

  /** Hash of all entries of the zone. */
  hash(): number {
    let sum = 0;
    for (const bucket of this.buckets) sum = (Math.imul(sum, 31) + bucket) | 0;
    return sum;
  }
}

/** The table of all members. */
export class MemberTable {
  private readonly all = new Map<NodeId, MemberUpdate>();
  private readonly zoneTables = new Map<ZoneName, ZoneTable>();
  private sortedZones: readonly ZoneName[] | null = null;
  private namesHash = 0;
  private listedLeaving: ReadonlySet<string> = new Set();
  private readonly assumedDead = new Set<NodeId>();
  /** Rises with each change that other modules can see. */
  version = 0;

  constructor(private readonly bridgesPerZone: number) {}

  /** State of a member as other modules see it. */
  stateOf(update: MemberUpdate): MemberState {
    if (this.isGone(update)) return 'dead';
    return this.isLeaving(update) ? 'leaving' : update.state;
  }

  /**
   * Sets the addresses that the machine list marks as leaving; a sign for this node only.
   * False where nothing changed.
   */
  setListedLeaving(addresses: ReadonlySet<string>): boolean {
    const previous = this.listedLeaving;
    const isSame =
      previous.size === addresses.size && [...addresses].every((one) => previous.has(one));
    if (isSame) return false;
    this.listedLeaving = addresses;
    this.forgetAllLists();
    return true;
  }

  /** Treats a member as dead on this node only, while this node itself may be cut off. */
  assumeDead(node: NodeId): void {
    this.assumedDead.add(node);
    this.forgetAllLists();
  }

  /** Takes back all assumptions; the nodes they were about. */
  withdrawAssumptions(): readonly NodeId[] {
    const nodes = [...this.assumedDead];
    this.assumedDead.clear();
    if (nodes.length > 0) this.forgetAllLists();
    return nodes;
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

  /** What is known of a node; `undefined` for an unknown one. */
  find(node: NodeId): MemberUpdate | undefined {
    return this.all.get(node);
  }

  /** All entries, the dead included. */
  updates(): Iterable<MemberUpdate> {
    return this.all.values();
  }

  /** Stores an update without any check of order. */
  store(update: MemberUpdate): void {
    const previous = this.find(update.record.node);
    if (previous !== undefined) this.remove(previous);
    this.all.set(update.record.node, update);
    const zone = this.zoneTable(update.record.zone);
    zone.updates.set(update.record.node, update);
    zone.toggle(update);
    zone.forgetLists();
    this.version += 1;
  }

  /** Removes an entry. */
  remove(update: MemberUpdate): void {
    const zone = this.zoneTable(update.record.zone);
    this.all.delete(update.record.node);
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
      (update) => !this.isGone(update) && !this.isLeaving(update),
    );
    return zone.staying;
  }

  /** Nodes of a zone that exchange digests with other zones. */
  bridgesOf(name: ZoneName): readonly NodeRecord[] {
    const zone = this.zoneTables.get(name);
    if (zone === undefined) return [];
    zone.bridges ??= rendezvousSorted(this.stayingInZone(name)).slice(0, this.bridgesPerZone);
    return zone.bridges;
  }

  /** Members of a zone that are not dead, in an order that is the same on every node. */
  ringOf(name: ZoneName): readonly NodeRecord[] {
    const zone = this.zoneTables.get(name);
    if (zone === undefined) return [];
    zone.ring ??= rendezvousSorted(this.presentInZone(name));
    return zone.ring;
  }

  /** Hash of all zones. */
  fleetHash(): number {
    return this.zones().reduce((sum, zone) => (Math.imul(sum, 31) + this.zoneHash(zone)) | 0, 0);
  }

  /** Hash of one zone; 0 for an unknown one. */
  zoneHash(name: ZoneName): number {
    return this.zoneTables.get(name)?.hash() ?? 0;
  }

  /** Hashes of the buckets of one zone. */
  bucketHashes(name: ZoneName): readonly number[] {
    return [...(this.zoneTables.get(name)?.buckets ?? new Int32Array(BUCKET_COUNT))];
  }

  /** Entries of some buckets of a zone, the dead included. */
  bucketEntries(name: ZoneName, buckets: readonly number[]): readonly MemberUpdate[] {
    const updates = this.zoneTables.get(name)?.updates.values() ?? [];
    return [...updates].filter((update) => buckets.includes(hashesOf(update.record).bucket));
  }

  private forgetAllLists(): void {
    for (const zone of this.zoneTables.values()) zone.forgetLists();
    this.version += 1;
  }

  private isGone(update: MemberUpdate): boolean {
    return update.state === 'dead' || this.assumedDead.has(update.record.node);
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
