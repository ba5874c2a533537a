import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobSpecification } from '../../src/jobs/job-records.js';
import { JobStore, type VersionedHead } from '../../src/jobs/job-store.js';
import { OwnedJob } from '../../src/jobs/owned-job.js';
import {
  always,
  headOf,
  ManualClock,
  OTHER,
  OWNER,
  result,
  specification,
} from './job-fixtures.js';

const RULE = { minVersion: 1, singleVersion: false };

interface Fixture {
  readonly emulator: SharedStoreEmulator;
  readonly store: JobStore;
  readonly clock: ManualClock;
  readonly spec: JobSpecification;
  readonly job: OwnedJob;
}

async function ownedJob(items: number): Promise<Fixture> {
  const emulator = new SharedStoreEmulator();
  const store = new JobStore(emulator, new ManualClock());
  const clock = new ManualClock();
  const spec = specification('job', items);
  const change = await store.create(spec, headOf(spec), always);
  if (change.kind !== 'changed') throw new Error(change.kind);
  const job = new OwnedJob(spec, change.current, [], RULE, OWNER, store, clock);
  return { emulator, store, clock, spec, job };
}

/** The head of a stored job. */
function storedHead(job: OwnedJob): VersionedHead {
  if (job.head === undefined) throw new Error('the store has not accepted the job');
  return job.head;
}

/** Finishes an item with its result. */
function finish(job: OwnedJob, index: number): void {
  const entry = job.items.get(`item-${index}`);
  if (entry !== undefined) job.finish(entry, result(index));
}

/** Advances the clock and the job, and waits until the job has changed. */
async function advance({ job, clock }: Fixture): Promise<void> {
  clock.time += 2_000;
  const done = new Promise<void>((resolve) => job.changed.subscribe(() => resolve()));
  job.listOrVerify();
  await done;
}

t.test('results are listed in the order in which they were finished', async (t) => {
  const fixture = await ownedJob(3);
  finish(fixture.job, 2);
  finish(fixture.job, 0);
  await advance(fixture);
  t.same(fixture.job.results, [result(2), result(0)]);
  t.same(await fixture.store.results('job', 0), { kind: 'found', value: [[result(2), result(0)]] });
});

t.test('an item that finishes during a commit belongs to the next one', async (t) => {
  const fixture = await ownedJob(4);
  const { job, emulator, store } = fixture;
  const commit = emulator.commit.bind(emulator);
  let isFirst = true;
  emulator.commit = (change) => {
    if (isFirst) finish(job, 1);
    isFirst = false;
    return commit(change);
  };
  finish(job, 0);
  await advance(fixture);
  t.same(job.results, [result(0)]);
  await advance(fixture);
  t.same(job.results, [result(0), result(1)]);
  t.same(await store.results('job', 0), { kind: 'found', value: [[result(0)], [result(1)]] });
});

t.test('a job whose results are all listed is finished', async (t) => {
  const fixture = await ownedJob(1);
  finish(fixture.job, 0);
  await advance(fixture);
  t.equal(fixture.job.closeReason, 'finished');
});

t.test('a cancellation by another node closes the job', async (t) => {
  const fixture = await ownedJob(2);
  const { job, store } = fixture;
  await store.replace('job', storedHead(job), { ended: true }, always);
  await advance(fixture);
  t.equal(job.closeReason, 'ended');
});

t.test('a resumed owner detects that its job was taken over and cancelled meanwhile', async (t) => {
  const fixture = await ownedJob(3);
  const { job, store } = fixture;
  const takenOver = await store.replace('job', storedHead(job), { owner: OTHER }, always);
  if (takenOver.kind !== 'changed') throw new Error(takenOver.kind);
  const listed = await store.append('job', takenOver.current, [result(0)], undefined, always);
  if (listed.kind !== 'changed') throw new Error(listed.kind);
  await store.replace('job', listed.current, { ended: true }, always);
  await advance(fixture);
  t.equal(job.closeReason, 'superseded');
  t.same(job.results, []);
});

t.test('a released job has no owner, and the progress of its items is stored', async (t) => {
  const { job, store } = await ownedJob(2);
  const entry = job.items.get('item-1');
  entry?.progress.beginRun(5);
  entry?.progress.add({ id: 0, data: 'a', weightVersion: undefined, raw: Buffer.alloc(0) });
  await job.release(always);
  t.equal(job.closeReason, 'released');
  const read = await store.head('job');
  t.equal(read.kind === 'found' && read.value.head.owner, null);
  t.same(await store.progress('job'), {
    kind: 'found',
    value: { 'item-1': { events: ['a'], lastEventId: 0, versions: [5] } },
  });
});

t.test('results that exceed one value are listed in several pages', async (t) => {
  const fixture = await ownedJob(300);
  const text = 'x'.repeat(7_000);
  for (const entry of fixture.job.items.values()) {
    fixture.job.finish(entry, { ...result(0), id: entry.item.id, text });
  }
  for (let round = 0; round < 40 && fixture.job.isOpen; round += 1) {
    fixture.clock.time += 2_000;
    fixture.job.listOrVerify();
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
  t.equal(fixture.job.results.length, 300);
  t.equal(fixture.job.closeReason, 'finished');
  t.ok((fixture.job.head?.head.pages ?? 0) > 1);
});

t.test(
  'large progress of unfinished items does not prevent results from being listed',
  async (t) => {
    const fixture = await ownedJob(300);
    const data = 'x'.repeat(300);
    for (const entry of fixture.job.items.values()) {
      entry.progress.beginRun(1);
      for (let id = 0; id < 20; id += 1) {
        entry.progress.add({ id, data, weightVersion: 1, raw: Buffer.from(data) });
      }
    }
    finish(fixture.job, 0);
    await advance(fixture);
    t.equal(fixture.job.results.length, 1);
    const progress = await fixture.store.progress('job');
    t.ok(progress.kind === 'found' && Object.keys(progress.value).length > 50);
  },
);
