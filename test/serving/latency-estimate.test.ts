import t from 'tap';
import { LatencyEstimate } from '../../src/serving/latency-estimate.js';

t.test('before the first sample the initial limit applies', async (t) => {
  const estimate = new LatencyEstimate(200);
  t.equal(estimate.limit(1_000), 200);
  t.equal(estimate.limit(150), 150);
});

t.test('the limit follows the samples', async (t) => {
  const estimate = new LatencyEstimate(200);
  for (let index = 0; index < 100; index += 1) estimate.note(40);
  t.ok(estimate.limit(1_000) < 50, 'steady samples: slightly above them');
  for (let index = 0; index < 100; index += 1) estimate.note(index % 2 === 0 ? 20 : 120);
  const limit = estimate.limit(1_000);
  t.ok(limit > 120 && limit < 400, `scattered samples: ${limit} ms`);
});
