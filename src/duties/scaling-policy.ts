/** Ways to choose how many workers a scaled service has in each zone. */
import type { ZoneName } from '../core/identity.js';
import type { ScalingLimits, Service } from '../serving/traffic-configuration.js';
import type { ScalingPolicy } from './worker-scaler.js';

/** As many as the operator allows: no item waits for a place while workers may be added. */
export class LargestFleetPolicy implements ScalingPolicy {
  wanted(_service: Service, limits: ScalingLimits): ReadonlyMap<ZoneName, number> {
    return new Map([...limits.zonePrices.keys()].map((zone) => [zone, limits.most]));
  }
}
