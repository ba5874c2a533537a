/** Zones and regions of a deployment, and their distances from one node. */
import type { RegionName, ZoneName } from '../core/identity.js';

export type ZoneDistance = 'same-zone' | 'same-region' | 'other-region';

export type DistanceBetween = (one: ZoneName, other: ZoneName) => ZoneDistance;

/** Zones and their regions, from the settings of one node. */
export class ZoneTopology {
  /** Whether the deployment spans several regions. */
  readonly spansRegions: boolean;

  /** `regions` maps each zone to its region. */
  constructor(
    readonly zone: ZoneName,
    private readonly regions: ReadonlyMap<ZoneName, RegionName>,
  ) {
    this.spansRegions = new Set(regions.values()).size > 1;
  }

  /** The region of this node; `undefined` where the settings name none. */
  get region(): RegionName | undefined {
    return this.regions.get(this.zone);
  }

  /** The region of a zone; `undefined` where the settings do not name the zone. */
  regionOf(zone: ZoneName): RegionName | undefined {
    return this.regions.get(zone);
  }

  /** Whether any zone is in this region. */
  hasRegion(region: RegionName): boolean {
    return [...this.regions.values()].includes(region);
  }

  /** Whether a zone is in this node's region; without regions every zone is. */
  isInOwnRegion(zone: ZoneName): boolean {
    return this.areInOneRegion(this.zone, zone);
  }

  distanceTo(zone: ZoneName): ZoneDistance {
    return this.distanceBetween(this.zone, zone);
  }

  distanceBetween(one: ZoneName, other: ZoneName): ZoneDistance {
    if (one === other) return 'same-zone';
    return this.areInOneRegion(one, other) ? 'same-region' : 'other-region';
  }

  private areInOneRegion(one: ZoneName, other: ZoneName): boolean {
    return !this.spansRegions || this.regions.get(one) === this.regions.get(other);
  }
}

/** Topology of a node whose settings name no regions. */
export function topologyWithoutRegions(zone: ZoneName): ZoneTopology {
  return new ZoneTopology(zone, new Map());
}

/** Distances in a deployment without regions. */
export function distanceInOneRegion(one: ZoneName, other: ZoneName): ZoneDistance {
  return one === other ? 'same-zone' : 'same-region';
}
