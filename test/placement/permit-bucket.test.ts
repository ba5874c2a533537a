/** Guards against a permit bucket that exceeds the hard bound of requests per second. */
import t from 'tap';
import {
  MAX_GRANT_TO_SEND_DELAY,
  PermitBucket,
  permitLimits,
} from '../../src/placement/permit-bucket.js';
import { COLD_START, TOLERANCE } from './cold-fleet.js';

t.test('a bucket keeps the bound in every window in which its permits may be used', async (t) => {
  const cases = [
    [COLD_START, TOLERANCE],
    [
      { duration: 3_000, requestsPerSecond: 9 },
      { factor: 1, requests: 0 },
    ],
    [
      { duration: 3_000, requestsPerSecond: 100 },
      { factor: 1, requests: 2 },
    ],
    [
      { duration: 3_000, requestsPerSecond: 1 },
      { factor: 1, requests: 0 },
    ],
    [
      { duration: 3_000, requestsPerSecond: 0.5 },
      { factor: 1, requests: 0 },
    ],
  ] as const;
  for (const [coldStart, tolerance] of cases) {
    const limits = permitLimits(coldStart, tolerance);
    const bound = Math.floor(coldStart.requestsPerSecond * tolerance.factor + tolerance.requests);
    const bucket = new PermitBucket();
    const grants: number[] = [];
    for (let now = 0; now < 20_000; now += 7) {
      const requested = now % 3_001 < 1_500 ? 5 : 0;
      for (let left = bucket.take(requested, limits, now); left > 0; left -= 1) grants.push(now);
    }
    const window = 1_000 + MAX_GRANT_TO_SEND_DELAY;
    const maximum = Math.max(
      0,
      ...grants.map((from) => grants.filter((at) => at >= from && at <= from + window).length),
    );
    t.ok(maximum <= bound, `${maximum} of ${bound}`);
  }
});
