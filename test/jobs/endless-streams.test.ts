/** Guards against items held by workers that keep sending bytes, but no events or no last event. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { ItemProgress } from '../../src/jobs/item-progress.js';
import { EventStreamReader } from '../../src/serving/event-stream.js';
import { VERSION_FIELD } from '../serving/serving-fixtures.js';
import { always, specification } from './job-fixtures.js';
import { JobScene } from './job-scene.js';
import { withVirtualTimers } from './virtual-timers.js';

const ITEMS = 8;

/** A worker that sends no event may hold an item for its idle timeout; then another one runs it. */
const COMPLETION_TIME: Milliseconds = 8_000;

for (const mode of ['comments', 'endless-event'] as const) {
  t.test(`items leave workers that send ${mode} without end`, async (t) => {
    const scene = new JobScene();
    await withVirtualTimers(scene.clock, async () => {
      scene.addWorkers('service', 2, 1, mode);
      await scene.node.service.submit(specification('job', ITEMS), always);
      await scene.runFor(500);
      scene.addWorkers('service', 2, 1);
      await scene.runFor(COMPLETION_TIME);
    });
    t.equal(scene.results.length, ITEMS);
    t.equal(scene.slotsTaken, 0, 'no run is left at these workers');
  });
}

t.test('an event without end makes its stream malformed', async (t) => {
  const pieces = ['x'.repeat(65_536), 'x', ':\n', ': a comment\ndata: x'];
  for (const piece of pieces) {
    const reader = new EventStreamReader(VERSION_FIELD);
    const chunk = Buffer.from(piece);
    const push = (): void => {
      for (let count = 0; count < 300_000; count += 1) reader.push(chunk);
    };
    t.throws(push, `pieces of ${piece.length} bytes`);
  }
});

t.test('a text that can never be listed is not accumulated', async (t) => {
  const progress = new ItemProgress({ minVersion: 1, singleVersion: false });
  progress.beginRun(1);
  const data = 'x'.repeat(1_000);
  let outcome = 'added';
  let id = 0;
  for (; outcome === 'added' && id < 10_000; id += 1) {
    outcome = progress.add({ id, data, weightVersion: undefined, raw: Buffer.alloc(0) });
  }
  t.equal(outcome, 'too-long');
  t.ok(id < 1_000, `${id} events of 1,000 bytes`);
});
