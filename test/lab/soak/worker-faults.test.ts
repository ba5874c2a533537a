import t from 'tap';
import { oddEntriesOf } from '../../../lab/soak/odd-entries.js';
import {
  BURST_TIME,
  planWorkerBurst,
  planWorkerFaults,
  WORKER_EFFECTS,
} from '../../../lab/soak/worker-faults.js';
import { parseWorker } from '../../../platform/configuration.js';

t.test('a seed gives the same faults each time, another seed others', async (t) => {
  t.same(planWorkerFaults(7, 0, 60_000), planWorkerFaults(7, 0, 60_000));
  t.not(
    JSON.stringify(planWorkerFaults(7, 0, 60_000)),
    JSON.stringify(planWorkerFaults(8, 0, 60_000)),
  );
  const effects = new Set(planWorkerFaults(1, 0, 600_000).map(({ effect }) => effect));
  t.equal(effects.size, WORKER_EFFECTS.length);
});

t.test('a burst crashes workers ten times, with other faults among them', async (t) => {
  const burst = planWorkerBurst(1, 1_000);
  t.equal(burst.filter(({ effect }) => effect === 'crash-together').length, 10);
  t.ok(burst.every(({ at }) => at >= 1_000 && at < 1_000 + BURST_TIME));
  t.ok(burst.every(({ share }) => share >= 0.2 && share <= 1));
});

t.test('the odd entries name no worker, or one at whose address nobody listens', async (t) => {
  for (const text of oddEntriesOf('models')) {
    const record = parseWorker('odd', text);
    t.ok(record === undefined || record.address === '127.0.0.1:1', text.slice(0, 120));
  }
});
