/**
 * A zone's workers came back together and cold while the other zones were beyond their limit. All gateways
 * took the empty workers for the best ones and sent each of them more than it bore: they ended, with
 * what they ran, came back cold, and ended again.
 */
import t from 'tap';
import { HARD_BOUND } from './cold-fleet.js';
import { simulateReturn } from './zone-return.js';

const none = simulateReturn('none');
const shares = simulateReturn('shares');
const permits = simulateReturn('permits');

t.test(
  'without a limit a zone that comes back cold falls over, and callers are refused',
  async (t) => {
    t.ok(none.maxPerSecond > HARD_BOUND);
    t.ok(none.crashed > 0);
    t.ok(none.refused > 0);
    t.comment(none);
  },
);

t.test(
  'under permits no cold worker is sent more than it bears, and nobody is refused',
  async (t) => {
    t.ok(permits.maxPerSecond <= HARD_BOUND, `${permits.maxPerSecond} in one second`);
    t.equal(permits.crashed, 0);
    t.equal(permits.refused, 0);
    t.ok(permits.sentToCold > 0, 'the zone helps while it is cold');
    t.ok(permits.servedInTime > none.servedInTime);
    t.comment(permits);
  },
);

t.test(
  'senders that share the rate keep the bound too, and serve fewer callers in time',
  async (t) => {
    t.ok(shares.maxPerSecond <= HARD_BOUND);
    t.equal(shares.crashed, 0);
    t.ok(permits.servedInTime >= shares.servedInTime);
    t.ok(permits.waited <= shares.waited);
    t.comment(shares);
  },
);
