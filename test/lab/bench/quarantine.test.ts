import t from 'tap';
import { measure, reachesTarget } from '../../../lab/bench/quarantine.js';

const REACHED = {
  gateways: 9,
  seed: 1,
  workers_ended: 3,
  all_know_ms: 70,
  calls_between_nodes: 24,
  commits: 3,
  others_asked: 32,
  others_refused: 0,
};

t.test('a small fleet reaches the target', async (t) => {
  const figures = await measure(4, 2, 7);
  t.equal(figures.workers_ended, 3);
  t.ok(reachesTarget(figures), JSON.stringify(figures));
});

t.test('each part of the target can be missed', async (t) => {
  t.ok(reachesTarget(REACHED));
  t.notOk(reachesTarget({ ...REACHED, workers_ended: 4 }));
  t.notOk(reachesTarget({ ...REACHED, all_know_ms: 751 }));
  t.notOk(reachesTarget({ ...REACHED, all_know_ms: Number.POSITIVE_INFINITY }));
  t.notOk(reachesTarget({ ...REACHED, others_refused: 1 }));
});
