/** Regions in which work may be served, cached and stored. */
import type { RegionName } from '../core/identity.js';

/** Allowed regions; `undefined` allows all, an empty list none. */
export type AllowedRegions = readonly RegionName[] | undefined;

/** Regions that both rules allow. */
export function allowedByBoth(left: AllowedRegions, right: AllowedRegions): AllowedRegions {
  if (left === undefined) return right;
  if (right === undefined) return left;
  return left.filter((region) => right.includes(region));
}

/** Whether a region is allowed; an unknown region is allowed only where there is no rule. */
export function allowsRegion(allowed: AllowedRegions, region: RegionName | undefined): boolean {
  if (allowed === undefined) return true;
  return region !== undefined && allowed.includes(region);
}
