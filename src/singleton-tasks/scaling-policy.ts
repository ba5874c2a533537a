/** Policies for the number of workers of a scaled service in each zone. */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { ScalingLimits } from '../serving/traffic-configuration.js';
import type { ScalingPolicy } from './worker-scaler.js';

/**
 * Limits the workers of one service, because each gateway tracks every worker. With 1,000 of them 98
 * gateways, most with a third of a core, served 0.99 of a day's requests; 299 gateways with 3,000
 * served 0.04.
 */
const MAX_FOLLOWED_WORKERS = 1_000;

/**
 * Delay before workers are ordered where the maximum exceeds a zone's share, so that existing
 * workers register first.
 */
const REGISTRATION_TIME: Milliseconds = 10_000;

/**
 * Orders as many workers as the operator allows, up to {@link MAX_FOLLOWED_WORKERS}. Zones that
 * already have their share of that limit are left as they are.
 */
export class MaxWorkersPolicy implements ScalingPolicy {
  private readonly startedAt: Milliseconds;

  constructor(private readonly clock: Pick<Clock, 'now'>) {
    this.startedAt = clock.now();
  }

  desiredWorkers(
    limits: ScalingLimits,
    present: (zone: ZoneName) => number,
  ): ReadonlyMap<ZoneName, number> {
    const zones = [...limits.zonePrices.keys()];
    const share = Math.floor(MAX_FOLLOWED_WORKERS / Math.max(1, zones.length));
    if (limits.maximum <= share) return new Map(zones.map((zone) => [zone, limits.maximum]));
    if (this.clock.now() - this.startedAt < REGISTRATION_TIME) return new Map();
    const growing = zones.filter((zone) => present(zone) < share);
    return new Map(growing.map((zone) => [zone, share]));
  }
}
