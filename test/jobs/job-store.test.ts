import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { type HeadChange, JobStore, type VersionedHead } from '../../src/jobs/job-store.js';
import {
  always,
  headOf,
  ManualClock,
  never,
  OTHER,
  result,
  specification,
} from './job-fixtures.js';

function changed(change: HeadChange): VersionedHead {
  if (change.kind !== 'changed') throw new Error(`the change was ${change.kind}`);
  return change.current;
}

async function created(emulator: SharedStoreEmulator): Promise<[JobStore, VersionedHead]> {
  const store = new JobStore(emulator, new ManualClock());
  const spec = specification('job', 4);
  return [store, changed(await store.create(spec, headOf(spec), always))];
}

t.test('a job is created once, even if another owner submits it again', async (t) => {
  const emulator = new SharedStoreEmulator();
  const [store] = await created(emulator);
  const spec = specification('job', 4);
  const again = await store.create(spec, headOf(spec, OTHER), always);
  t.equal(again.kind, 'superseded');
  const read = await store.specification('job');
  t.same(read, { kind: 'found', value: spec });
});

t.test('a long specification is stored in parts and read back', async (t) => {
  const emulator = new SharedStoreEmulator();
  const store = new JobStore(emulator, new ManualClock());
  const plain = specification('job', 40);
  const body = Buffer.alloc(30_000, 'x').toString('base64');
  const spec = { ...plain, items: plain.items.map((item) => ({ ...item, body })) };
  changed(await store.create(spec, headOf(spec), always));
  t.ok(emulator.keys('job/spec/').length > 1);
  t.same(await store.specification('job'), { kind: 'found', value: spec });
});

t.test('results are read by page in the order in which they were listed', async (t) => {
  const [store, first] = await created(new SharedStoreEmulator());
  const second = changed(await store.append('job', first, [result(2)], undefined, always));
  changed(await store.append('job', second, [result(0), result(1)], undefined, always));
  t.same(await store.results('job', 0), {
    kind: 'found',
    value: [[result(2)], [result(0), result(1)]],
  });
  t.same(await store.results('job', 1), { kind: 'found', value: [[result(0), result(1)]] });
});

t.test('only one of two owners lists results at a position', async (t) => {
  const [store, base] = await created(new SharedStoreEmulator());
  const firstAppend = await store.append('job', base, [result(0)], undefined, always);
  const secondAppend = await store.append('job', base, [result(1)], undefined, always);
  t.equal(firstAppend.kind, 'changed');
  t.equal(secondAppend.kind, 'superseded');
  t.same(await store.results('job', 0), { kind: 'found', value: [[result(0)]] });
});

t.test('a commit whose response is lost takes effect once', async (t) => {
  const emulator = new SharedStoreEmulator();
  const [store, base] = await created(emulator);
  emulator.loseAnswers('applied');
  const change = changed(await store.append('job', base, [result(0)], undefined, always));
  t.equal(change.head.listed, 1);
  t.same(await store.results('job', 0), { kind: 'found', value: [[result(0)]] });
});

t.test('a delayed commit has no effect after its retry', async (t) => {
  const emulator = new SharedStoreEmulator();
  const [store, base] = await created(emulator);
  emulator.loseAnswers('applied-late');
  const first = changed(await store.append('job', base, [result(0)], undefined, always));
  const second = changed(await store.append('job', first, [result(1)], undefined, always));
  emulator.applyLateCommits();
  t.equal(second.head.listed, 2);
  const read = await store.head('job');
  t.same(read.kind === 'found' && read.value.revision, second.revision);
  t.same(await store.results('job', 0), { kind: 'found', value: [[result(0)], [result(1)]] });
});

t.test('a rejection by the store is distinguished from an unknown outcome', async (t) => {
  const emulator = new SharedStoreEmulator();
  const store = new JobStore(emulator, new ManualClock());
  const spec = specification('job', 1);
  emulator.setAvailability('refusing');
  const refused = await store.create(spec, headOf(spec), never);
  t.same(refused, { kind: 'unavailable', mayBeDone: false });
  emulator.setAvailability('up');
  emulator.loseAnswers('applied-late');
  const unknown = await store.create(spec, headOf(spec), never);
  t.same(unknown, { kind: 'unavailable', mayBeDone: true });
});

t.test('progress of unfinished items is stored with the results', async (t) => {
  const [store, base] = await created(new SharedStoreEmulator());
  const progress = { 'item-3': { events: ['a', 'b'], lastEventId: 1, versions: [4] } };
  changed(await store.append('job', base, [result(0)], progress, always));
  t.same(await store.progress('job'), { kind: 'found', value: progress });
});

t.test('an unknown job is absent, an unavailable store is reported as unavailable', async (t) => {
  const emulator = new SharedStoreEmulator();
  const store = new JobStore(emulator, new ManualClock());
  t.same(await store.head('none'), { kind: 'absent' });
  emulator.setAvailability('refusing');
  t.same(await store.head('none'), { kind: 'unavailable' });
});
