/**
 * The replicas of the zones' journals, by the records that they keep in the shared store. A record
 * goes with its lease when its zone is cut off from the store, so a replica is remembered beyond it:
 * what it may hold is not gone.
 */
import { rendezvousOrder } from '../core/hashing.js';
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type { StoreChange } from '../shared-store/shared-store.js';
import type { ReplicaLocation } from './replica-location.js';
import { parseReplicaLocation, REPLICA_PREFIX } from './replica-record.js';

/**
 * Key prefix of the zones that have a journal. Such a key stays: a gateway that starts while a zone is
 * cut off then knows that there is one, whose replicas it has never heard of.
 */
export const JOURNAL_ZONE_PREFIX = 'fleet/journal-zone/';

/**
 * Time for which a replica whose record has gone is still written to: one that comes back after a cut
 * of its zone registers again within seconds.
 */
const USE_AFTER_LAPSE: Milliseconds = 5_000;

/** Time for which a replica whose record has gone may still hold what nobody else holds. */
const MEMORY_AFTER_LAPSE: Milliseconds = 600_000;

interface KnownReplica {
  readonly place: ReplicaLocation;
  /** By {@link suspendAwareTime}; infinite while its record is there. */
  lapsedAt: Milliseconds;
}

/** Which replicas are meant: those to write to, or all that may hold something. */
type ReplicaUse = 'write' | 'read';

/** Options of {@link ReplicaDirectory}. */
export interface ReplicaDirectoryOptions {
  readonly clock: Pick<Clock, 'now' | 'suspendedTime'>;
  /** Replicas that keep a job: one more than the machines with disks that may be lost at once. */
  readonly groupSize: number;
}

/** Knows the replicas. */
export class ReplicaDirectory {
  private readonly replicas = new Map<NodeId, KnownReplica>();
  private readonly draining = new Set<NodeId>();
  private readonly zones = new Set<ZoneName>();
  private hasList = false;

  constructor(private readonly options: ReplicaDirectoryOptions) {}

  /** Takes in a change under the prefix of the fleet. */
  applyChange({ key, value }: StoreChange): void {
    if (key.startsWith(JOURNAL_ZONE_PREFIX)) this.zones.add(key.slice(JOURNAL_ZONE_PREFIX.length));
    if (!key.startsWith(REPLICA_PREFIX)) return;
    const node = key.slice(REPLICA_PREFIX.length);
    if (value === undefined) {
      const known = this.replicas.get(node);
      if (known !== undefined) known.lapsedAt = suspendAwareTime(this.options.clock);
      return;
    }
    const place = parseReplicaLocation(value);
    if (place === undefined) return;
    this.zones.add(place.zone);
    this.replicas.set(node, { place, lapsedAt: Number.POSITIVE_INFINITY });
  }

  /** The store has told all that lies under the prefix of the fleet. */
  noteListed(): void {
    this.hasList = true;
  }

  /** Whether all zones that have a journal are known. */
  get isListed(): boolean {
    return this.hasList;
  }

  /** The replicas that are to keep a job of a zone; `undefined` where the zone has too few. */
  groupFor(job: string, zone: ZoneName): readonly ReplicaLocation[] | undefined {
    const { groupSize } = this.options;
    const usable = this.placesIn(zone, 'write');
    if (usable.length < groupSize) return undefined;
    return rendezvousOrder(job, usable, ({ node }) => node).slice(0, groupSize);
  }

  /** Replicas that may hold something, by zone; none where a zone's journal is only heard of. */
  byZone(): ReadonlyMap<ZoneName, readonly ReplicaLocation[]> {
    return new Map([...this.zones].map((zone) => [zone, this.placesIn(zone, 'read')]));
  }

  /** The replica on a machine, if one is known there. */
  replicaOn(node: NodeId): ReplicaLocation | undefined {
    return this.replicas.get(node)?.place;
  }

  /** A machine is to be emptied: its replica is written to for no new job. */
  noteDraining(node: NodeId): void {
    this.draining.add(node);
  }

  private placesIn(zone: ZoneName, use: ReplicaUse): ReplicaLocation[] {
    const now = suspendAwareTime(this.options.clock);
    const lapse = use === 'write' ? USE_AFTER_LAPSE : MEMORY_AFTER_LAPSE;
    return [...this.replicas.values()]
      .filter(({ place, lapsedAt }) => place.zone === zone && now - lapsedAt < lapse)
      .map(({ place }) => place)
      .filter(({ node }) => use === 'read' || !this.draining.has(node));
  }
}
