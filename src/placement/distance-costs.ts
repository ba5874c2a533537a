/**
 * What it costs to have work done at a distance, in the measure by which workers are compared. All
 * choices of workers ask here, so that work stays near for the same reasons everywhere and goes
 * further only as far as its caller gains.
 */
import type { ZoneName } from '../core/identity.js';
import type { ZoneDistance, ZoneTopology } from './zone-topology.js';

/** Cost of a worker of a zone, beside what speaks against the worker itself. */
export type DistanceCost = (zone: ZoneName) => number;

type CostByDistance = Readonly<Record<ZoneDistance, number>>;

/**
 * For a direct request, in shares of a worker's places that are taken. A worker of another zone is
 * chosen if that much more of it is free. One of another region is chosen only once the workers of
 * the region have no place left: a short answer takes as long as the way there and back.
 */
const REQUEST_COSTS: CostByDistance = {
  'same-zone': 0,
  'same-region': 0.4,
  'other-region': 1.4,
};

/**
 * For an item, against the score of its placement, where each zone serves its own callers: it goes to
 * another zone when the near workers have half of their places more taken than the far one, or are
 * slower by a third. Its text crosses between the zones, and its run breaks where they are cut off
 * from each other.
 */
const ZONE_ITEM_COST = 0.3;

/**
 * The same for another region: somewhat less than a full worker costs against an empty one. An item
 * goes over the link when no near worker has a place left, by this node's count or by the load that it
 * told, or when the near ones are slower by half or more; a long one, which gains more, sooner.
 */
const REGION_ITEM_COST = 0.55;

/** Cost of the way of a direct request. */
export function requestDistanceCost(distance: ZoneDistance): number {
  return REQUEST_COSTS[distance];
}

/** Cost of the way of an item; `undefined` where all workers are as near. */
export function itemDistanceCost(
  topology: ZoneTopology,
  zonesServeAlone: boolean,
): DistanceCost | undefined {
  if (!zonesServeAlone && !topology.spansRegions) return undefined;
  const costs: CostByDistance = {
    'same-zone': 0,
    'same-region': zonesServeAlone ? ZONE_ITEM_COST : 0,
    'other-region': REGION_ITEM_COST,
  };
  return (zone) => costs[topology.distanceTo(zone)];
}
