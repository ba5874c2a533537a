import t from 'tap';
import { UsageCounts } from '../../src/singleton-tasks/usage-counts.js';
import { UsageMeter } from '../../src/singleton-tasks/usage-meter.js';
import { UsageWindows } from '../../src/singleton-tasks/usage-windows.js';
import { ManualClock } from '../jobs/job-fixtures.js';

const totals = (window: number, counts: Record<string, number>): Map<number, Map<string, number>> =>
  new Map([[window, new Map(Object.entries(counts))]]);

t.test('duplicate and late totals have no effect', async (t) => {
  const counts = new UsageCounts();
  counts.merge('a', totals(3, { north: 2, south: 1 }));
  counts.merge('a', totals(3, { north: 2, south: 1 }));
  counts.merge('a', totals(3, { north: 1 }));
  counts.merge('b', totals(3, { north: 5 }));
  t.same(counts.totals(3), { north: 7, south: 1 });
  t.same(counts.totals(4), {});
  t.equal(counts.sourcesOf(3), 2);
});

t.test('removed windows have no counts, and exported counts are complete', async (t) => {
  const counts = new UsageCounts();
  counts.merge('a', totals(3, { north: 2 }));
  counts.merge('a', totals(4, { north: 4 }));
  counts.removeBefore(4);
  t.same(counts.totals(3), {});
  const copy = new UsageCounts();
  for (const counted of counts.since(0)) copy.merge(counted.source, counted.counts);
  t.same(copy.totals(4), { north: 4 });
});

t.test('a meter counts by window and retains a few windows only', async (t) => {
  const clock = new ManualClock();
  const meter = new UsageMeter(new UsageWindows(clock, 1_000), 3);
  for (const window of [10, 11, 11, 12, 13]) meter.noteBegun('north', window * 1_000 + 5);
  t.same([...meter.totals().keys()], [11, 12, 13]);
  t.equal(meter.totals().get(11)?.get('north'), 2);
  t.equal(meter.revision, 5);
});
