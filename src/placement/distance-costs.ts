/**
 * Distance costs for the ranking of workers. Every placement uses them, so that work stays in its
 * zone or region unless a remote worker is enough better to outweigh the distance.
 */
import type { ZoneName } from '../core/identity.js';
import type { ZoneDistance, ZoneTopology } from './zone-topology.js';

/** Cost of a zone, added to the score of each of its workers. */
export type DistanceCost = (zone: ZoneName) => number;

type CostByDistance = Readonly<Record<ZoneDistance, number>>;

/**
 * For direct requests, in shares of a worker's slots. A worker in another zone is chosen if its
 * share of free slots is larger by the cost. A worker in another region is chosen only once the
 * region has no free slot: for a short answer the round trip takes as long as the work.
 */
const REQUEST_COSTS: CostByDistance = {
  'same-zone': 0,
  'same-region': 0.4,
  'other-region': 1.4,
};

/**
 * For batch items where zones are autonomous, in units of the placement score: an item goes to
 * another zone when local workers have half of their slots more in use than the remote one, or are
 * slower by a third. Its text is then sent between the zones, and a partition between them breaks
 * the run.
 */
const ZONE_ITEM_COST = 0.3;

/**
 * For batch items and workers of another region: slightly less than the score between a full and an
 * empty worker. An item crosses regions when no worker nearby has a free slot, by this node's count
 * or by the reported load, or when those nearby are slower by half or more; long items, which gain
 * more, cross sooner.
 */
const REGION_ITEM_COST = 0.55;

export function requestDistanceCost(distance: ZoneDistance): number {
  return REQUEST_COSTS[distance];
}

/** Distance cost of batch items; `undefined` where all workers are equally near. */
export function itemDistanceCost(
  topology: ZoneTopology,
  areZonesAutonomous: boolean,
): DistanceCost | undefined {
  if (!areZonesAutonomous && !topology.spansRegions) return undefined;
  const costs: CostByDistance = {
    'same-zone': 0,
    'same-region': areZonesAutonomous ? ZONE_ITEM_COST : 0,
    'other-region': REGION_ITEM_COST,
  };
  return (zone) => costs[topology.distanceTo(zone)];
}
