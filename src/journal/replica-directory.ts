/**
 * Directory of the journal replicas, built from their records in the shared store. The record of a
 * partitioned replica expires with its lease, so the directory retains the replica for a while: it
 * may still hold entries.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { StoreChange } from '../shared-store/shared-store.js';
import type { ReplicaLocation } from './replica-location.js';
import { parseReplicaLocation, REPLICA_PREFIX } from './replica-record.js';

/**
 * Key prefix of the zones that have a journal. The keys have no lease, so a gateway that starts while
 * a zone is partitioned still learns that the zone has a journal.
 */
export const JOURNAL_ZONE_PREFIX = 'fleet/journal-zone/';

/** Covers the time in which a replica registers again after its zone was partitioned. */
const WRITE_PERIOD_AFTER_EXPIRY: Milliseconds = 5_000;

/** Time for which a replica with an expired record may hold entries that exist nowhere else. */
const READ_PERIOD_AFTER_EXPIRY: Milliseconds = 600_000;

interface KnownReplica {
  readonly location: ReplicaLocation;
  /** In {@link suspendAwareTime}; infinite while the record exists. */
  expiredAt: Milliseconds;
}

/** Selects the replicas that accept writes, or all that may hold entries. */
type ReplicaUse = 'write' | 'read';

export interface ReplicaDirectoryOptions {
  readonly clock: Pick<Clock, 'now' | 'suspendedTime'>;
  /** Replicas per job: one more than the number of disks that may be lost at once. */
  readonly groupSize: number;
}

/** Known replicas by node. */
export class ReplicaDirectory {
  private readonly replicas = new Map<NodeId, KnownReplica>();
  private readonly draining = new Set<NodeId>();
  private readonly zones = new Set<ZoneName>();
  private hasList = false;

  constructor(private readonly options: ReplicaDirectoryOptions) {}

  /** Applies a change of a key under the fleet prefix; other keys are ignored. */
  applyChange({ key, value }: StoreChange): void {
    if (key.startsWith(JOURNAL_ZONE_PREFIX)) this.zones.add(key.slice(JOURNAL_ZONE_PREFIX.length));
    if (!key.startsWith(REPLICA_PREFIX)) return;
    const node = key.slice(REPLICA_PREFIX.length);
    if (value === undefined) {
      const replica = this.replicas.get(node);
      if (replica !== undefined) replica.expiredAt = suspendAwareTime(this.options.clock);
      return;
    }
    const location = parseReplicaLocation(value);
    if (location === undefined) return;
    this.zones.add(location.zone);
    this.replicas.set(node, { location, expiredAt: Number.POSITIVE_INFINITY });
  }

  /** Called once all keys under the fleet prefix were listed. */
  noteListed(): void {
    this.hasList = true;
  }

  /** Whether the list of zones with a journal is complete. */
  get isListed(): boolean {
    return this.hasList;
  }

  /** The replicas to store a job of a zone; `undefined` if the zone has too few. */
  groupFor(job: string, zone: ZoneName): readonly ReplicaLocation[] | undefined {
    const { groupSize } = this.options;
    const usable = this.locationsIn(zone, 'write');
    if (usable.length < groupSize) return undefined;
    return rendezvousOrder(job, usable, ({ node }) => node).slice(0, groupSize);
  }

  /** Whether a replica is registered with the same disk and address, and accepts new jobs. */
  isUsable({ address, zone, disk }: ReplicaLocation): boolean {
    return this.locationsIn(zone, 'write').some(
      (location) => location.address === address && location.disk === disk,
    );
  }

  /** Replicas that may hold entries, by zone; empty for a zone whose replicas are not known. */
  byZone(): ReadonlyMap<ZoneName, readonly ReplicaLocation[]> {
    return new Map([...this.zones].map((zone) => [zone, this.locationsIn(zone, 'read')]));
  }

  /** The known replica on a machine. */
  replicaOn(node: NodeId): ReplicaLocation | undefined {
    return this.replicas.get(node)?.location;
  }

  /** Excludes the replica of a draining machine from new jobs. */
  noteDraining(node: NodeId): void {
    this.draining.add(node);
  }

  /** Whether a machine is being drained. */
  isDraining(node: NodeId): boolean {
    return this.draining.has(node);
  }

  private locationsIn(zone: ZoneName, use: ReplicaUse): ReplicaLocation[] {
    const now = suspendAwareTime(this.options.clock);
    const period = use === 'write' ? WRITE_PERIOD_AFTER_EXPIRY : READ_PERIOD_AFTER_EXPIRY;
    return [...this.replicas.values()]
      .filter(({ location, expiredAt }) => location.zone === zone && now - expiredAt < period)
      .map(({ location }) => location)
      .filter(({ node }) => use === 'read' || !this.draining.has(node));
  }
}
