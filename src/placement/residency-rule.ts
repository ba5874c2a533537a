/** Work goes to workers of the regions that its route and its tenant allow, and to no others. */
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import { type AllowedRegions, allowsRegion } from './allowed-regions.js';
import type { SendRejection, SendRule } from './send-rules.js';
import type { ZoneTopology } from './zone-topology.js';

/** Keeps work in its regions. */
export class ResidencyRule implements SendRule {
  constructor(private readonly topology: Pick<ZoneTopology, 'regionOf'>) {}

  rejectionOf(worker: WorkerRecord, allowed: AllowedRegions): SendRejection | undefined {
    const region = this.topology.regionOf(worker.zone);
    return allowsRegion(allowed, region) ? undefined : 'region-not-allowed';
  }
}
