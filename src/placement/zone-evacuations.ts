/** Zones whose workers the operator wants to be sent nothing for the time being. */
import type { ZoneName } from '../core/identity.js';
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import type { SendRejection, SendRule } from './send-rules.js';

/** Knows which zones are evacuated. */
export class ZoneEvacuations implements SendRule {
  private readonly zones = new Set<ZoneName>();

  /** The operator evacuates a zone; tells whether that is new. */
  begin(zone: ZoneName): boolean {
    if (this.zones.has(zone)) return false;
    this.zones.add(zone);
    return true;
  }

  /** The operator takes an evacuation back; tells whether there was one. */
  end(zone: ZoneName): boolean {
    return this.zones.delete(zone);
  }

  /** Whether a zone's workers are sent nothing now. */
  isEvacuated(zone: ZoneName): boolean {
    return this.zones.has(zone);
  }

  /** All evacuated zones. */
  evacuated(): ZoneName[] {
    return [...this.zones].sort();
  }

  rejectionOf({ zone }: WorkerRecord): SendRejection | undefined {
    return this.zones.has(zone) ? 'zone-evacuated' : undefined;
  }
}
