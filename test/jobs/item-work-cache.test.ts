import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { ItemWorkCache } from '../../src/jobs/item-work-cache.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { OwnedJob } from '../../src/jobs/owned-job.js';
import { always, headOf, ManualClock, OWNER, result, specification } from './job-fixtures.js';

/** A job of two groups of two items; three items are finished, the fourth has one event. */
async function closedJob(clock: ManualClock): Promise<OwnedJob> {
  const store = new JobStore(new SharedStoreEmulator(), clock);
  const spec = specification('job', 4);
  const change = await store.create(spec, headOf(spec), always);
  if (change.kind !== 'changed') throw new Error(change.kind);
  const rule = { minVersion: 1, singleVersion: false };
  const job = new OwnedJob(spec, change.current, [], rule, OWNER, store, clock);
  for (const index of [0, 1, 2]) {
    const entry = job.items.get(`item-${index}`);
    if (entry !== undefined) job.finish(entry, result(index));
  }
  const last = job.items.get('item-3');
  last?.progress.beginRun(1);
  last?.progress.add({ id: 0, data: 'a', weightVersion: undefined, raw: Buffer.alloc(0) });
  return job;
}

t.test('groups that are not completed are cached, completed ones are not', async (t) => {
  const clock = new ManualClock();
  const job = await closedJob(clock);
  const cache = new ItemWorkCache(clock);
  cache.add(job);
  const work = job.spec.items.map((item) => cache.find(item)?.kind);
  t.same(work, [undefined, undefined, 'finished', 'unfinished']);
});

t.test('an id that is reused for another request finds nothing', async (t) => {
  const clock = new ManualClock();
  const job = await closedJob(clock);
  const cache = new ItemWorkCache(clock);
  cache.add(job);
  const [item] = job.spec.items.slice(2);
  if (item === undefined) throw new Error('the job has fewer than three items');
  t.equal(cache.find({ ...item, body: 'other' }), undefined);
});

t.test('cached work expires', async (t) => {
  const clock = new ManualClock();
  const job = await closedJob(clock);
  const cache = new ItemWorkCache(clock);
  cache.add(job);
  clock.time += 60_000;
  const [item] = job.spec.items.slice(2);
  t.equal(item && cache.find(item), undefined);
});

t.test('a later job continues cached work only if its versions fit', async (t) => {
  const clock = new ManualClock();
  const store = new JobStore(new SharedStoreEmulator(), clock);
  const first = await closedJob(clock);
  const cache = new ItemWorkCache(clock);
  cache.add(first);
  const later = async (minVersion: number): Promise<OwnedJob> => {
    const spec = specification(`later-${minVersion}`, 4, minVersion);
    const change = await store.create(spec, headOf(spec), always);
    if (change.kind !== 'changed') throw new Error(change.kind);
    const work = new Map(
      spec.items.flatMap((item) => {
        const found = cache.find(item);
        return found === undefined ? [] : [[item.id, found] as const];
      }),
    );
    const rule = { minVersion, singleVersion: false };
    return new OwnedJob(spec, change.current, [], rule, OWNER, store, clock, work);
  };
  const fits = await later(1);
  t.same(fits.finishedResults(), [result(2)]);
  t.equal(fits.items.get('item-3')?.progress.lastEventId, 0);
  const tooOld = await later(2);
  t.same(tooOld.finishedResults(), []);
  t.equal(tooOld.items.get('item-3')?.progress.lastEventId, undefined);
});
