/** Guards against items that wait for good for the weights that made their events. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { always, specification } from './job-fixtures.js';
import { JobScene } from './job-scene.js';
import { withVirtualTimers } from './virtual-timers.js';

const ITEMS = 12;
const WORKERS = 4;

/** Time in which the items have some of their 20 events. */
const HALFWAY: Milliseconds = 400;

/** Time without a run after which owed work counts as left out. */
const MAX_IDLE_TIME: Milliseconds = 5_000;

/** All workers of version 1 end while the items run; others follow after a while. */
async function replaceWorkers(
  scene: JobScene,
  pause: Milliseconds,
  version: number,
): Promise<void> {
  const first = scene.addWorkers('service', WORKERS, 1);
  await scene.node.service.submit(specification('job', ITEMS), always);
  await scene.runFor(HALFWAY);
  for (const worker of first) scene.crash(worker);
  await scene.runFor(pause);
  scene.addWorkers('service', WORKERS, version);
}

t.test('items start anew once no worker has the weights of their events', async (t) => {
  const scene = new JobScene({ singleVersion: true });
  await withVirtualTimers(scene.clock, async () => {
    await replaceWorkers(scene, 0, 2);
    await scene.runFor(MAX_IDLE_TIME);
  });
  t.equal(scene.results.length, ITEMS);
  for (const { versions, text } of scene.results) {
    t.same(versions, [2], 'no weights are mixed');
    t.equal(text.split('\n')[0], '0', 'from the first event');
  }
});

t.test('events are kept while workers with their weights may return', async (t) => {
  const scene = new JobScene({ singleVersion: true });
  await withVirtualTimers(scene.clock, async () => {
    await replaceWorkers(scene, MAX_IDLE_TIME, 1);
    await scene.runFor(MAX_IDLE_TIME);
  });
  t.equal(scene.results.length, ITEMS);
  const resumed = scene.workers.requests.filter(({ lastEventId }) => lastEventId !== undefined);
  t.equal(resumed.length, ITEMS, 'each goes on after its last event');
});

t.test('a few other workers do not make items start anew at once', async (t) => {
  const scene = new JobScene({ singleVersion: true });
  await withVirtualTimers(scene.clock, async () => {
    await replaceWorkers(scene, 0, 2);
    await scene.runFor(HALFWAY);
    scene.addWorkers('service', WORKERS, 1);
    await scene.runFor(MAX_IDLE_TIME);
  });
  t.equal(scene.results.length, ITEMS);
  for (const { versions } of scene.results) t.same(versions, [1]);
});
