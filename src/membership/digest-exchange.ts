/**
 * Comparison of tables: digests of zones, then of buckets, then the entries that differ. Used by
 * bridging nodes between zones and, less often, by every node with a peer of its own zone.
 */
import type { NodeRecord, ZoneName } from '../core/identity.js';
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import { BUCKET_COUNT, type MemberTable } from './member-table.js';
import type { EffectList } from './membership-effects.js';
import type { MembershipTiming } from './membership-options.js';
import type {
  MembershipMessage,
  MemberUpdate,
  WantedBuckets,
  ZoneBuckets,
  ZoneDigest,
} from './messages.js';
import type { ZoneContactTable } from './zone-contact-table.js';

/** Buckets settled by one exchange at most; the next digest finds the rest. */
const BUCKETS_PER_EXCHANGE = 16;

/** Share by which the time between digests to another zone is spread both ways. */
const BRIDGE_JITTER = 0.1;

/** Share by which the time between repairs is spread both ways. */
export const REPAIR_JITTER = 0.25;

/** What the exchange asks of its owner. */
export interface DigestExchangeHost {
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly timing: MembershipTiming;
  readonly table: MemberTable;
  readonly contacts: ZoneContactTable;
  readonly effects: EffectList;
  apply(update: MemberUpdate, now: Milliseconds): void;
}

/** The form of an update outside its own zone, where suspicion is nobody's business. */
function updateFor(receiver: ZoneName, update: MemberUpdate): MemberUpdate {
  if (update.state !== 'suspect' || update.record.zone === receiver) return update;
  return { ...update, state: 'alive' };
}

/** Compares tables with other nodes. */
export class DigestExchange {
  private readonly nextDigestAt = new Map<ZoneName, Milliseconds>();
  private nextRepairAt: Milliseconds | null = null;
  private abroad: MemberUpdate[] = [];

  constructor(private readonly host: DigestExchangeHost) {}

  /** Starts the comparisons that are due: inside the zone, and from a bridge to other zones. */
  tick(now: Milliseconds): void {
    if (this.isBridge()) this.bridge(now);
    else this.abroad = [];
    const { repairInterval } = this.host.timing;
    this.nextRepairAt ??= now + repairInterval * this.host.random.fraction();
    if (now < this.nextRepairAt) return;
    this.nextRepairAt = now + jittered(this.host.random, repairInterval, REPAIR_JITTER);
    this.repair();
  }

  /** A change in the own zone that other zones should hear of. */
  changedAtHome(update: MemberUpdate): void {
    this.abroad.push(update);
  }

  /** Handles a message of the exchange. */
  receive(from: NodeRecord, message: MembershipMessage, now: Milliseconds): void {
    if (message.kind === 'digest') this.answerFleetDigest(from, message.fleetHash);
    if (message.kind === 'zone-digest') {
      this.host.contacts.contacted(from.zone, now);
      this.answerZoneDigests(from, message.zones);
    }
    if (message.kind === 'bucket-digest') {
      this.host.contacts.contacted(from.zone, now);
      if (message.zones.length > 0) this.answerBuckets(from, message.zones);
    }
    if (message.kind === 'bucket-entries') this.takeEntries(from, message, now);
  }

  /** Sends a digest to an address whose node may be unknown. */
  sendDigestTo(address: string): void {
    this.host.effects.sendToAddress(address, this.digest());
  }

  private isBridge(): boolean {
    const { table, self } = this.host;
    return table.bridgesOf(self.zone).some((record) => record.node === self.node);
  }

  private bridge(now: Milliseconds): void {
    const { table, self, effects, random } = this.host;
    const updates = this.abroad;
    this.abroad = [];
    for (const zone of table.zones()) {
      if (zone === self.zone) continue;
      const bridges = table.bridgesOf(zone);
      const bridge = bridges[random.integer(Math.max(1, bridges.length))];
      if (bridge === undefined) continue;
      if (updates.length > 0) {
        const sent = updates.map((update) => updateFor(zone, update));
        effects.send(bridge, { kind: 'updates', updates: sent });
      }
      if (this.isDue(zone, now)) effects.send(bridge, this.digest());
    }
  }

  private isDue(zone: ZoneName, now: Milliseconds): boolean {
    const { timing, random } = this.host;
    const due = this.nextDigestAt.get(zone);
    const isFirst = due === undefined;
    if (!isFirst && now < due) return false;
    const { bridgeInterval } = timing;
    const wait = isFirst
      ? bridgeInterval * random.fraction()
      : jittered(random, bridgeInterval, BRIDGE_JITTER);
    this.nextDigestAt.set(zone, now + wait);
    return !isFirst;
  }

  private repair(): void {
    const { table, self, effects, random } = this.host;
    const peers = table.presentInZone(self.zone);
    const peer = peers[random.integer(Math.max(1, peers.length))];
    if (peer === undefined || peer.node === self.node) return;
    effects.send(peer, this.digest());
  }

  private digest(): MembershipMessage {
    return { kind: 'digest', fleetHash: this.host.table.fleetHash() };
  }

  private answerFleetDigest(from: NodeRecord, fleetHash: number): void {
    const { table, effects } = this.host;
    if (fleetHash === table.fleetHash()) {
      effects.send(from, { kind: 'bucket-digest', zones: [] });
      return;
    }
    const zones = table.zones().map((zone) => ({ zone, hash: table.zoneHash(zone) }));
    effects.send(from, { kind: 'zone-digest', zones });
  }

  private answerZoneDigests(from: NodeRecord, digests: readonly ZoneDigest[]): void {
    const { table, effects } = this.host;
    const theirs = new Map(digests.map((digest) => [digest.zone, digest.hash]));
    const names = new Set([...table.zones(), ...theirs.keys()]);
    const zones = [...names]
      .filter((zone) => table.zoneHash(zone) !== (theirs.get(zone) ?? 0))
      .map((zone) => ({ zone, hashes: table.bucketHashes(zone) }));
    effects.send(from, { kind: 'bucket-digest', zones });
  }

  private answerBuckets(from: NodeRecord, zones: readonly ZoneBuckets[]): void {
    const wanted: WantedBuckets[] = [];
    let left = BUCKETS_PER_EXCHANGE;
    for (const { zone, hashes } of zones) {
      const own = this.host.table.bucketHashes(zone);
      const differing = hashes
        .map((hash, bucket) => (hash === own[bucket] ? -1 : bucket))
        .filter((bucket) => bucket >= 0)
        .slice(0, left);
      left -= differing.length;
      if (differing.length > 0) wanted.push({ zone, buckets: differing });
    }
    if (wanted.length === 0) return;
    const updates = this.entriesOf(from.zone, wanted);
    this.host.effects.send(from, { kind: 'bucket-entries', updates, wanted });
  }

  private takeEntries(
    from: NodeRecord,
    message: Extract<MembershipMessage, { kind: 'bucket-entries' }>,
    now: Milliseconds,
  ): void {
    const isSound = ({ buckets }: WantedBuckets) => buckets.length <= BUCKET_COUNT;
    const updates = this.entriesOf(from.zone, message.wanted.filter(isSound));
    for (const update of message.updates) this.host.apply(update, now);
    if (updates.length > 0) {
      this.host.effects.send(from, { kind: 'bucket-entries', updates, wanted: [] });
    }
  }

  private entriesOf(receiver: ZoneName, wanted: readonly WantedBuckets[]): MemberUpdate[] {
    return wanted
      .flatMap(({ zone, buckets }) => this.host.table.bucketEntries(zone, buckets))
      .map((update) => updateFor(receiver, update));
  }
}
