import t from 'tap';
import { letterEngine, WORKER_TOKENS_PER_SECOND } from '../../../lab/bench/letter-engines.js';
import {
  LETTER,
  letterPlan,
  SLOTS,
  scaledShare,
  TOKENS_PER_UNIT,
  wholeStepShare,
} from '../../../lab/bench/letter-plan.js';
import { loadShare, measureLetter } from '../../../lab/bench/letter-run.js';
import { isWithinLimit } from '../../../lab/bench/letter-steps.js';

t.test('shares keep the proportions of the letter', async (t) => {
  t.match(scaledShare(1), { nodes: 2_700, workers: 10_000, trainers: 19, samplesAStep: 16_384 });
  t.match(scaledShare(64), { nodes: 42, workers: 156, trainers: 19, samplesAStep: 256 });
  t.match(wholeStepShare(), { nodes: 142, workers: 526, trainers: 1, samplesAStep: 16_384 });
  t.equal(Math.round(loadShare(13_877) * 100), 50, 'half the tokens of the letter in 8 minutes');
});

t.test('a full hollow worker makes its part of the tokens of the letter', async (t) => {
  const { baseStepTime = 0, stepTimePerSequence = 0 } = letterEngine(100);
  const step = (baseStepTime + SLOTS * stepTimePerSequence) / TOKENS_PER_UNIT;
  t.equal(Math.round((SLOTS * 1_000) / step), WORKER_TOKENS_PER_SECOND);
  t.equal(WORKER_TOKENS_PER_SECOND * LETTER.workers, LETTER.tokensPerSecond);
});

t.test('workers and trainers of a model lie in the zones of its intent', async (t) => {
  const plan = letterPlan(scaledShare(64), 100);
  for (const worker of plan.workers) {
    const intent = plan.intents.find((one) => one.model === worker.model);
    t.ok(intent?.zones.includes(worker.zone), worker.worker);
  }
});

t.test('a step of more samples than a plain subset holds is whole on all workers', async (t) => {
  const figures = measureLetter({
    seed: 646,
    share: { nodes: 9, workers: 120, trainers: 1, samplesAStep: 2_000, zones: 3 },
    meanTokens: 2_000,
    maxTokens: 4_096,
    maxResultBytes: 64 * 1_048_576,
    interactivePerSecond: 5,
    limit: 120_000,
    processorLimit: 60_000,
  });
  t.ok(isWithinLimit(figures), JSON.stringify(figures));
  t.equal(figures.samples_handed_over, 2_000);
  t.equal(figures.workers_used, 120);
  t.notOk(isWithinLimit({ ...figures, step_max_s: 480.1 }));
  t.notOk(isWithinLimit({ ...figures, step_max_s: null }));
  t.notOk(isWithinLimit({ ...figures, samples_doubled: 1 }));
});
