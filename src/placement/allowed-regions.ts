/** In which regions a piece of work may be served, cached and kept. */
import type { RegionName } from '../core/identity.js';

/** Regions that are allowed; `undefined` where any is. An empty list allows none. */
export type AllowedRegions = readonly RegionName[] | undefined;

/** The regions that both of two rules allow. */
export function allowedByBoth(left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined) return right;
  if (right === undefined) return left;
  return left.filter((region) => right.includes(region));
}

/** Whether a region is allowed; one that is not known is not, where any rule speaks. */
export function allowsRegion(allowed: AllowedRegions, region: RegionName | undefined): boolean {
  if (allowed === undefined) return true;
  return region !== undefined && allowed.includes(region);
}
