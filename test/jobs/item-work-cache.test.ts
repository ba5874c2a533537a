import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { ItemWorkCache } from '../../src/jobs/item-work-cache.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { OwnedJob } from '../../src/jobs/owned-job.js';
import { always, headOf, ManualClock, OWNER, result, specification } from './job-fixtures.js';

/** A job of two groups of two items; three items are finished, and a part of the fourth made. */
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

t.test('groups that are not whole are kept, whole ones are not', async (t) => {
  const clock = new ManualClock();
  const job = await closedJob(clock);
  const kept = new ItemWorkCache(clock);
  kept.add(job);
  const work = job.spec.items.map((item) => kept.find(item)?.kind);
  t.same(work, [undefined, undefined, 'finished', 'unfinished']);
});

t.test('an id that asks for something else finds nothing', async (t) => {
  const clock = new ManualClock();
  const job = await closedJob(clock);
  const kept = new ItemWorkCache(clock);
  kept.add(job);
  const [item] = job.spec.items.slice(2);
  if (item === undefined) throw new Error('no item');
  t.equal(kept.find({ ...item, body: 'other' }), undefined);
});

t.test('kept work is forgotten after a while', async (t) => {
  const clock = new ManualClock();
  const job = await closedJob(clock);
  const kept = new ItemWorkCache(clock);
  kept.add(job);
  clock.time += 60_000;
  const [item] = job.spec.items.slice(2);
  t.equal(item && kept.find(item), undefined);
});

t.test('a later job goes on from kept work only where its versions fit', async (t) => {
  const clock = new ManualClock();
  const store = new JobStore(new SharedStoreEmulator(), clock);
  const first = await closedJob(clock);
  const kept = new ItemWorkCache(clock);
  kept.add(first);
  const later = async (minVersion: number): Promise<OwnedJob> => {
    const spec = specification(`later-${minVersion}`, 4, minVersion);
    const change = await store.create(spec, headOf(spec), always);
    if (change.kind !== 'changed') throw new Error(change.kind);
    const work = new Map(
      spec.items.flatMap((item) => {
        const found = kept.find(item);
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
