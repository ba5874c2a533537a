/** Guards against items whose calls for a score hang, so that no further call is ever made. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { always, scoredSpecification } from './job-fixtures.js';
import { SCORE_ROUTE } from './job-node.js';
import { JobScene } from './job-scene.js';
import { withVirtualTimers } from './virtual-timers.js';

const ITEMS = 4;

/** Time in which texts are made and calls for their scores go to silent workers. */
const SILENT_TIME: Milliseconds = 4_000;

t.test('items end although all calls for their scores hang at silent workers', async (t) => {
  const scene = new JobScene();
  await withVirtualTimers(scene.clock, async () => {
    scene.addWorkers('service', 4, 1);
    const silent = scene.addWorkers('scorers', 4, 1, 'silent');
    await scene.node.service.submit(scoredSpecification('job', ITEMS), always);
    await scene.runFor(SILENT_TIME);
    for (const worker of silent) worker.mode = 'sound';
    await scene.runFor(2 * SCORE_ROUTE.timeout);
  });
  t.equal(scene.results.length, ITEMS);
  t.equal(scene.slotsTaken, 0, 'no call is left');
});
