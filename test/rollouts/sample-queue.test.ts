import t from 'tap';
import type { SampleRequest } from '../../src/node/calls.js';
import { SampleQueue } from '../../src/rollouts/sample-queue.js';
import { StepPace } from '../../src/rollouts/step-pace.js';
import { LengthPredictor } from '../../src/routing/length-predictor.js';

function sample(key: string, prompt: string): SampleRequest {
  return { key, prompt, maxTokens: 400, samplingSeed: 1 };
}

t.test('after one long sample of a prompt, the others of it come first', async (t) => {
  const samples = [sample('a1', 'short'), sample('b1', 'long'), sample('a2', 'short')];
  const predictor = new LengthPredictor();
  const queue = new SampleQueue([...samples, sample('b2', 'long')], 'm', predictor);
  queue.remove('a1');
  queue.remove('b1');
  queue.observe(sample('a1', 'short'), 20);
  queue.observe(sample('b1', 'long'), 390);
  t.equal(queue.next(0)?.key, 'b2');
  t.equal(queue.next(0)?.key, 'a2');
  t.equal(queue.next(0), undefined);
});

t.test('a sample that is put back comes once, and a removed one never', async (t) => {
  const queue = new SampleQueue([sample('a', 'p'), sample('b', 'p')], 'm', new LengthPredictor());
  const first = queue.next(0);
  t.equal(queue.size, 1);
  if (first !== undefined) {
    queue.putBack(first);
    queue.putBack(first);
  }
  t.equal(queue.size, 2);
  queue.remove('a');
  t.equal(queue.next(0)?.key, 'b');
  t.equal(queue.next(0), undefined);
  t.equal(queue.size, 0);
});

t.test('the pace of a step is told from enough finished samples only', async (t) => {
  const pace = new StepPace();
  t.equal(pace.typicalDuration(), undefined);
  for (let tokens = 1; tokens <= 9; tokens += 1) pace.record(tokens * 10, tokens * 100);
  t.equal(pace.typicalDuration(), 500);
  t.equal(pace.expectedDuration(40), 400);
});
