/** Guards against items that wait for seconds because every worker has failed recently. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { always, specification } from './job-fixtures.js';
import { JobScene } from './job-scene.js';
import { withVirtualTimers } from './virtual-timers.js';

const ITEMS = 12;

/** Times for which nobody can reach the workers. */
const CUT_TIMES: readonly Milliseconds[] = [2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000];

/** The longest exclusion of a worker, and one failed try after it. */
const MAX_WAIT: Milliseconds = 1_000 + 700;

/** Time after which owed work counts as left out. */
const MAX_IDLE_TIME: Milliseconds = 5_000;

t.test('items run soon after a time in which no worker could be reached', async (t) => {
  for (const cutTime of CUT_TIMES) {
    const scene = new JobScene();
    await withVirtualTimers(scene.clock, async () => {
      const workers = scene.addWorkers('service', 4, 1, 'unreachable');
      await scene.node.service.submit(specification('job', ITEMS), always);
      await scene.runFor(cutTime);
      for (const worker of workers) worker.mode = 'sound';
      const soundSince = scene.clock.now();
      await scene.runFor(MAX_IDLE_TIME);
      const begun = [...scene.workers.places.values()].map(({ firstAt }) => firstAt - soundSince);
      t.equal(begun.length, ITEMS, 'all items have begun');
      const last = Math.max(...begun);
      t.ok(last <= MAX_WAIT, `the last one ${last} ms after a cut of ${cutTime} ms`);
    });
  }
});

t.test('items leave a worker whose entry names newer weights than it has', async (t) => {
  const scene = new JobScene();
  await withVirtualTimers(scene.clock, async () => {
    const wrong = scene.workers.add('service', 1);
    wrong.namedVersion = 5;
    scene.node.registry.put(wrong.record);
    scene.addWorkers('service', 1, 2);
    await scene.node.service.submit(specification('job', 4, 2), always);
    await scene.runFor(MAX_IDLE_TIME);
    const wasted = scene.workers.requests.filter(({ worker }) => worker.id === wrong.id);
    t.equal(scene.results.length, 4);
    t.ok(wasted.length <= 8, `${wasted.length} requests at that worker`);
  });
});
