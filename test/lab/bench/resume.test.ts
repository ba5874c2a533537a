/** Samples that go on elsewhere, on the real decision cores under preemption and faults. */
import t from 'tap';
import { measureResume } from '../../../lab/bench/resume.js';

t.test('resumed samples are whole, true and within the bound, and waste less', async (t) => {
  const fromStart = measureResume(5, 'from-start');
  const resumed = measureResume(5, 'resume');
  for (const figures of [fromStart, resumed]) {
    t.equal(figures.samples_delivered, figures.samples_asked);
    t.equal(figures.violations, 0);
  }
  t.ok(resumed.mixed_samples > 0, 'new weights come while samples are made');
  t.ok(resumed.resumed_starts > 0);
  t.ok(resumed.wasted_share < fromStart.wasted_share / 2);
});

t.test(
  'where the intent asks for one version per sample, none is handed over with two',
  async (t) => {
    for (const variant of ['from-start', 'resume'] as const) {
      const figures = measureResume(5, variant, 'restart');
      t.equal(figures.mixed_samples, 0, variant);
      t.equal(figures.samples_delivered, figures.samples_asked);
      t.equal(figures.violations, 0);
    }
  },
);
