/** Where the zones of a deployment lie, seen from one node: its own zone, its region, and the rest. */
import type { RegionName, ZoneName } from '../core/identity.js';

/** How far a zone is from this node. */
export type ZoneDistance = 'same-zone' | 'same-region' | 'other-region';

/** How far two zones are from each other. */
export type DistanceBetween = (one: ZoneName, other: ZoneName) => ZoneDistance;

/** The zones of a deployment and the regions that hold them, by the settings of one node. */
export class ZoneTopology {
  /** Whether the deployment spans several regions. */
  readonly spansRegions: boolean;

  /** `regions` names the region of each zone. */
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

  /** The region of a zone; `undefined` where the settings do not know the zone. */
  regionOf(zone: ZoneName): RegionName | undefined {
    return this.regions.get(zone);
  }

  /** Whether any zone lies in a region. */
  hasRegion(region: RegionName): boolean {
    return [...this.regions.values()].includes(region);
  }

  /** Whether a zone lies in this node's region; in a deployment without regions every zone does. */
  isInOwnRegion(zone: ZoneName): boolean {
    return this.areInOneRegion(this.zone, zone);
  }

  /** How far a zone is from this node. */
  distanceTo(zone: ZoneName): ZoneDistance {
    return this.distanceBetween(this.zone, zone);
  }

  /** How far two zones are from each other. */
  distanceBetween(one: ZoneName, other: ZoneName): ZoneDistance {
    if (one === other) return 'same-zone';
    return this.areInOneRegion(one, other) ? 'same-region' : 'other-region';
  }

  private areInOneRegion(one: ZoneName, other: ZoneName): boolean {
    return !this.spansRegions || this.regions.get(one) === this.regions.get(other);
  }
}

/** The topology of a node whose settings name no regions. */
export function topologyWithoutRegions(zone: ZoneName): ZoneTopology {
  return new ZoneTopology(zone, new Map());
}

/** Distances in a deployment without regions. */
export function distanceInOneRegion(one: ZoneName, other: ZoneName): ZoneDistance {
  return one === other ? 'same-zone' : 'same-region';
}
