/** Limits work to workers in the regions that its route and its tenant allow. */
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import { type AllowedRegions, allowsRegion } from './allowed-regions.js';
import type { SendRejection, SendRule } from './send-rules.js';
import type { ZoneTopology } from './zone-topology.js';

export class ResidencyRule implements SendRule {
  constructor(private readonly topology: Pick<ZoneTopology, 'regionOf'>) {}

  rejectionOf(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined {
    const region = this.topology.regionOf(worker.zone);
    return allowsRegion(allowed, region) ? undefined : 'region-not-allowed';
  }
}
