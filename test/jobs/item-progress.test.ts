import t from 'tap';
import { ItemProgress } from '../../src/jobs/item-progress.js';
import type { StreamEvent } from '../../src/serving/event-stream.js';

function event(id: number, data: string, weightVersion?: number): StreamEvent {
  return { id, data, weightVersion, raw: Buffer.alloc(0) };
}

t.test('the text is the data of all events, with the versions that generated them', async (t) => {
  const progress = new ItemProgress({ minVersion: 1, singleVersion: false });
  progress.beginRun(3);
  progress.add(event(0, 'a', 4));
  progress.add(event(1, 'b'));
  progress.add(event(2, 'c', 5));
  t.same(progress.toResult('item'), {
    id: 'item',
    state: 'completed',
    text: 'a\nb\nc',
    versions: [4, 5],
  });
});

t.test('a gap or a repeated event is rejected', async (t) => {
  const progress = new ItemProgress({ minVersion: 1, singleVersion: false });
  progress.beginRun(1);
  t.equal(progress.add(event(4, 'a')), 'added');
  t.equal(progress.add(event(6, 'c')), 'out-of-order');
  t.equal(progress.add(event(4, 'a')), 'out-of-order');
  t.equal(progress.add(event(5, 'b')), 'added');
});

t.test('events of weights that are too old or unknown are rejected', async (t) => {
  const progress = new ItemProgress({ minVersion: 5, singleVersion: false });
  progress.beginRun(4);
  t.equal(progress.add(event(0, 'a')), 'version-too-old');
  progress.beginRun(undefined);
  t.equal(progress.add(event(0, 'a')), 'version-too-old');
});

t.test('if a single version is required, a second one is rejected', async (t) => {
  const progress = new ItemProgress({ minVersion: 1, singleVersion: true });
  progress.beginRun(2);
  progress.add(event(0, 'a'));
  t.equal(progress.boundVersion, 2);
  t.equal(progress.add(event(1, 'b', 3)), 'version-mixed');
});

t.test('stored events are restored only if their versions fit', async (t) => {
  const stored = { events: ['a', 'b'], lastEventId: 1, versions: [2, 3] };
  const fits = new ItemProgress({ minVersion: 2, singleVersion: false });
  t.ok(fits.restore(stored));
  fits.beginRun(4);
  t.equal(fits.add(event(2, 'c')), 'added');
  t.same(fits.toResult('item').versions, [2, 3, 4]);
  t.notOk(new ItemProgress({ minVersion: 3, singleVersion: false }).restore(stored));
  t.notOk(new ItemProgress({ minVersion: 1, singleVersion: true }).restore(stored));
});
