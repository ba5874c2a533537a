/** Where the zones of a deployment lie, seen from one node: its own zone, its region, and the rest. */
import type { RegionName, ZoneName } from '../core/identity.js';

/** How far a zone is from this node. */
export type ZoneDistance = 'same-zone' | 'same-region' | 'other-region';

/** The zones of a deployment and the regions that hold them, by the settings of one node. */
export class ZoneTopology {
  /** `regions` names the region of each zone. */
  constructor(
    readonly zone: ZoneName,
    private readonly regions: ReadonlyMap<ZoneName, RegionName>,
  ) {}

  /** The region of this node; `undefined` where the settings name none. */
  get region(): RegionName | undefined {
    return this.regions.get(this.zone);
  }

  /** Whether the deployment spans several regions. */
  get spansRegions(): boolean {
    return new Set(this.regions.values()).size > 1;
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
    return this.regions.get(zone) === this.region;
  }

  /** How far a zone is from this node. */
  distanceTo(zone: ZoneName): ZoneDistance {
    if (zone === this.zone) return 'same-zone';
    return this.isInOwnRegion(zone) ? 'same-region' : 'other-region';
  }
}

/** The topology of a node whose settings name no regions. */
export function withoutRegions(zone: ZoneName): ZoneTopology {
  return new ZoneTopology(zone, new Map());
}
