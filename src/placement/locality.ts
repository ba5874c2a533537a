/**
 * The part of a fleet that serves the callers of a zone before any other part does: the zone by
 * itself where each zone serves its own callers, else its region where the fleet spans several.
 */
import type { ZoneName } from '../core/identity.js';
import type { ZoneTopology } from './zone-topology.js';

/** Name of a zone or of a region. */
export type LocalityName = string;

/** The localities of a fleet, seen from one node. */
export interface Localities {
  readonly kind: 'zone' | 'region';
  /** The locality of this node. */
  readonly own: LocalityName;
  /** The locality of a zone. A zone whose region is not known is one by itself. */
  readonly of: (zone: ZoneName) => LocalityName;
}

/** The localities of a fleet; `undefined` where any part serves any caller. */
export function localitiesOf(
  topology: ZoneTopology,
  zonesServeAlone: boolean,
): Localities | undefined {
  const { zone } = topology;
  if (zonesServeAlone) return { kind: 'zone', own: zone, of: (name) => name };
  if (!topology.spansRegions) return undefined;
  const of = (name: ZoneName): LocalityName => topology.regionOf(name) ?? name;
  return { kind: 'region', own: of(zone), of };
}
