/**
 * Guards against an overload of the cold workers of a returning zone while the other zones are
 * overloaded.
 */
import t from 'tap';
import { HARD_BOUND } from './cold-fleet.js';
import { simulateReturn } from './zone-return.js';

const none = simulateReturn('none');
const shares = simulateReturn('shares');
const permits = simulateReturn('permits');

t.test(
  'without protection the cold workers of a returning zone crash, and callers are rejected',
  async (t) => {
    t.ok(none.maxPerSecond > HARD_BOUND);
    t.ok(none.crashed > 0);
    t.ok(none.refused > 0);
    t.comment(none);
  },
);

t.test(
  'with permits no cold worker receives more than it tolerates, and no caller is rejected',
  async (t) => {
    t.ok(permits.maxPerSecond <= HARD_BOUND, `${permits.maxPerSecond} in one second`);
    t.equal(permits.crashed, 0);
    t.equal(permits.refused, 0);
    t.ok(permits.sentToCold > 0, 'the zone serves requests while it is cold');
    t.ok(permits.servedInTime > none.servedInTime);
    t.comment(permits);
  },
);

t.test(
  'senders that share the rate also keep the bound, but serve no more callers in time',
  async (t) => {
    t.ok(shares.maxPerSecond <= HARD_BOUND);
    t.equal(shares.crashed, 0);
    t.ok(permits.servedInTime >= shares.servedInTime);
    t.ok(permits.waited <= shares.waited);
    t.comment(shares);
  },
);
