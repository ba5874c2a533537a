/** Ways to choose how many workers a scaled service has in each zone. */
import type { ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { ScalingLimits } from '../serving/traffic-configuration.js';
import type { ScalingPolicy } from './worker-scaler.js';

/**
 * Workers of one service up to which more are ordered. Every gateway follows every worker: with 1,002 of
 * them 98 gateways, most with a third of a core, served 0.99 of a day's requests; 299 gateways with
 * 3,003 served 0.04, and changes of the configuration were in force after 4.2 s at the slowest.
 */
const MOST_FOLLOWED_WORKERS = 1_000;

/** Time in which the workers that are there have registered, before any is ordered on a large site. */
const REGISTRATION_TIME: Milliseconds = 10_000;

/**
 * As many as the operator allows, so that no item waits for a place, but no more than gateways can follow.
 * Where there are more than that already, none is ordered.
 */
export class MaxWorkersPolicy implements ScalingPolicy {
  private readonly startedAt: Milliseconds;

  constructor(private readonly clock: Pick<Clock, 'now'>) {
    this.startedAt = clock.now();
  }

  wanted(
    limits: ScalingLimits,
    present: (zone: ZoneName) => number,
  ): ReadonlyMap<ZoneName, number> {
    const zones = [...limits.zonePrices.keys()];
    const share = Math.floor(MOST_FOLLOWED_WORKERS / Math.max(1, zones.length));
    if (limits.maximum <= share) return new Map(zones.map((zone) => [zone, limits.maximum]));
    if (this.clock.now() - this.startedAt < REGISTRATION_TIME) return new Map();
    const growing = zones.filter((zone) => present(zone) < share);
    return new Map(growing.map((zone) => [zone, share]));
  }
}
