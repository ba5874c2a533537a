import t from 'tap';
import { mean, median, percentile, round } from '../../../lab/common/statistics.js';

t.test('percentiles are by nearest rank', async (t) => {
  const values = Array.from({ length: 200 }, (_, index) => 200 - index);
  t.equal(percentile(values, 0), 1);
  t.equal(percentile(values, 0.5), 100);
  t.equal(percentile(values, 0.99), 198);
  t.equal(percentile(values, 1), 200);
  t.equal(percentile([10, 9], 0.5), 9, 'numbers are sorted as numbers');
});

t.test('the median of an even count lies between the two middle values', async (t) => {
  t.equal(median([10, 9, 100]), 10);
  t.equal(median([100, 9, 10, 1]), 9.5);
  t.equal(mean([1, 2, 6]), 3);
});

t.test('no values have no figure', async (t) => {
  for (const figure of [percentile([], 0.5), median([]), mean([])]) t.ok(Number.isNaN(figure));
});

t.test('rounding', async (t) => {
  t.equal(round(1.2345, 2), 1.23);
  t.equal(round(-0.00005, 4), -0);
  t.equal(round(17.6, 0), 18);
});
