/**
 * Zones that the operator has evacuated: their workers are sent no work until the evacuation ends.
 */
import type { ZoneName } from '../core/identity.js';
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import type { SendRejection, SendRule } from './send-rules.js';

export class ZoneEvacuations implements SendRule {
  private readonly zones = new Set<ZoneName>();

  /** Starts an evacuation; returns false if the zone is already evacuated. */
  begin(zone: ZoneName): boolean {
    if (this.zones.has(zone)) return false;
    this.zones.add(zone);
    return true;
  }

  /** Ends an evacuation; returns false if there was none. */
  end(zone: ZoneName): boolean {
    return this.zones.delete(zone);
  }

  isEvacuated(zone: ZoneName): boolean {
    return this.zones.has(zone);
  }

  /** All evacuated zones, sorted. */
  evacuated(): ZoneName[] {
    return [...this.zones].sort();
  }

  rejectionOf({ zone }: WorkerRecord): SendRejection | undefined {
    return this.zones.has(zone) ? 'zone-evacuated' : undefined;
  }
}
