/** The loss of all power at the end of a soak, as drawn from its seed. */
import t from 'tap';
import {
  LONGEST_LATE_RESTART,
  LONGEST_TROUBLE,
  planPowerLoss,
  SHORTEST_TROUBLE,
} from '../../../lab/soak/final-power-loss.js';
import { ZONES } from '../../../lab/soak/gateway-group.js';

const SEEDS = Array.from({ length: 200 }, (_, seed) => seed);

t.test('a seed gives the same end each time, another seed another', async (t) => {
  t.same(planPowerLoss(7, 5, 3), planPowerLoss(7, 5, 3));
  t.not(JSON.stringify(planPowerLoss(7, 5, 3)), JSON.stringify(planPowerLoss(8, 5, 3)));
});

t.test('the trouble and the restarts are within their bounds', async (t) => {
  for (const seed of SEEDS) {
    const { duration, replicas, gatewayDelays } = planPowerLoss(seed, 5, 3);
    t.ok(duration >= SHORTEST_TROUBLE && duration <= LONGEST_TROUBLE);
    t.ok(ZONES.includes(replicas.zone));
    t.same([...replicas.diskOrder].sort(), [0, 1, 2]);
    t.equal(replicas.delays.length, 3 * ZONES.length);
    t.equal(gatewayDelays.length, 5);
    const delays = [...replicas.delays, ...gatewayDelays];
    t.ok(delays.every((delay) => delay >= 0 && delay <= LONGEST_LATE_RESTART));
  }
});

t.test('seeds end with and without trouble, in each zone, some with late replicas', async (t) => {
  const plans = SEEDS.map((seed) => planPowerLoss(seed, 5, 3));
  const withoutTrouble = plans.filter(({ trouble }) => trouble.length === 0).length;
  t.ok(withoutTrouble > 5 && withoutTrouble < SEEDS.length / 2);
  t.same(new Set(plans.map(({ replicas }) => replicas.zone)), new Set(ZONES));
  t.ok(plans.some(({ replicas }) => replicas.delays.some((delay) => delay > 1_500)));
});
