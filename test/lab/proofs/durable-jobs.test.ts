import t from 'tap';
import { proveDurableJobs } from '../../../lab/proofs/durable-jobs/durable-jobs.js';
import { JOB_MECHANISM_NAMES } from '../../../lab/proofs/durable-jobs/mechanisms.js';

t.test('accepted jobs stay whole under generated faults', async (t) => {
  for (const seed of [1, 2]) {
    const outcome = await proveDurableJobs(seed, 1_500, []);
    t.ok(outcome.holds, outcome.details.join('\n'));
    t.ok(outcome.checked > 500, `${outcome.checked} comparisons`);
    t.ok(outcome.faults > 200, `${outcome.faults} faults`);
  }
});

t.test('without each mechanism the promise is broken', async (t) => {
  for (const mechanism of JOB_MECHANISM_NAMES) {
    const outcome = await proveDurableJobs(3, 20_000, [mechanism]);
    t.notOk(outcome.holds, mechanism);
  }
});
