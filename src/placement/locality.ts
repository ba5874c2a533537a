/**
 * Localities: the part of a fleet that serves a zone's callers first. It is the zone where zones
 * are autonomous, else the region where the fleet spans several.
 */
import type { ZoneName } from '../core/identity.js';
import type { ZoneTopology } from './zone-topology.js';

/** Name of a zone or of a region. */
export type LocalityName = string;

/** Localities as seen from one node. */
export interface Localities {
  readonly kind: 'zone' | 'region';
  readonly own: LocalityName;
  /** The locality of a zone; a zone whose region is unknown is a locality of its own. */
  readonly of: (zone: ZoneName) => LocalityName;
}

/** Localities of a fleet; `undefined` where all workers serve all callers alike. */
export function localitiesOf(
  topology: ZoneTopology,
  areZonesAutonomous: boolean,
): Localities | undefined {
  const { zone } = topology;
  if (areZonesAutonomous) return { kind: 'zone', own: zone, of: (name) => name };
  if (!topology.spansRegions) return undefined;
  const of = (name: ZoneName): LocalityName => topology.regionOf(name) ?? name;
  return { kind: 'region', own: of(zone), of };
}
