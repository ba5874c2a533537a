/** Guards against job records that this build or a build of format 1 cannot read from the other. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { JOB_KEYS } from '../../src/jobs/job-records.js';
import { JobStore, type VersionedHead } from '../../src/jobs/job-store.js';
import { RECORDS } from '../fixtures/format-1.js';
import { FORMAT_1 } from '../fixtures/format-1-schemas.js';
import { always, headOf, ManualClock, OTHER, result, specification } from './job-fixtures.js';

const HEAD = JOB_KEYS.head('job');

/** A store with the job records of a build of format 1. */
async function storeOfOlderBuild() {
  const emulator = new SharedStoreEmulator();
  const jobs = Object.entries(RECORDS).filter(([key]) => key.startsWith('job/'));
  await emulator.commit({ expected: [], put: jobs.map(([key, value]) => ({ key, value })) });
  return { emulator, store: new JobStore(emulator, new ManualClock()) };
}

async function headIn(store: JobStore): Promise<VersionedHead> {
  const read = await store.head('job');
  if (read.kind !== 'found') throw new Error(read.kind);
  return read.value;
}

async function textOf(emulator: SharedStoreEmulator, key: string): Promise<string> {
  const outcome = await emulator.get(key);
  return outcome.kind === 'item' ? (outcome.item?.value ?? '') : outcome.kind;
}

/** Parses a record as a build of format 1 does. */
function asOlderBuild<Kind extends 'head' | 'specification' | 'page' | 'progress'>(
  kind: Kind,
  text: string,
) {
  return FORMAT_1[kind].safeParse(JSON.parse(text));
}

t.test('a job of an older build is read and continued', async (t) => {
  const { store } = await storeOfOlderBuild();
  const found = await headIn(store);
  t.same(found.head, JSON.parse(RECORDS['job/head/job']));
  const spec = await store.specification('job');
  t.same(spec, { kind: 'found', value: JSON.parse(RECORDS['job/spec/job/000000']) });
  t.same(await store.results('job', 0), { kind: 'found', value: [[result(0)]] });
  t.same(await store.progress('job'), {
    kind: 'found',
    value: JSON.parse(RECORDS['job/progress/job']),
  });
  const taken = await store.replace('job', found, { owner: OTHER, term: 3 }, always);
  if (taken.kind !== 'changed') throw new Error(taken.kind);
  const listed = await store.append('job', taken.current, [result(1)], {}, always);
  t.match(listed, { kind: 'changed', current: { head: { listed: 2, pages: 2, zone: 'zone-1' } } });
});

t.test('an older build reads the records that this build writes', async (t) => {
  const emulator = new SharedStoreEmulator();
  const store = new JobStore(emulator, new ManualClock());
  const spec = specification('job', 2);
  const created = await store.create(spec, { ...headOf(spec), zone: 'zone-1', term: 1 }, always);
  if (created.kind !== 'changed') throw new Error(created.kind);
  const progress = { 'item-1': { events: ['a'], lastEventId: 0, versions: [1] } };
  await store.append('job', created.current, [result(0)], progress, always);
  for (const [kind, key] of [
    ['head', HEAD],
    ['specification', JOB_KEYS.specification('job', 0)],
    ['page', JOB_KEYS.page('job', 0)],
    ['progress', JOB_KEYS.progress('job')],
  ] as const) {
    const text = await textOf(emulator, key);
    t.same(asOlderBuild(kind, text).data, JSON.parse(text), kind);
  }
});

t.test('fields that a later build wrote survive a change by this one', async (t) => {
  const { emulator, store } = await storeOfOlderBuild();
  const later = {
    ...JSON.parse(RECORDS['job/head/job']),
    homes: ['north'],
    owner: { node: 'node-1', incarnation: 'life-1', address: '127.0.0.1:1', region: 'north' },
  };
  await emulator.commit({ expected: [], put: [{ key: HEAD, value: JSON.stringify(later) }] });
  await store.append('job', await headIn(store), [result(1)], undefined, always);
  const after = JSON.parse(await textOf(emulator, HEAD));
  t.match(after, { homes: ['north'], owner: { region: 'north' }, listed: 2 });
});

t.test('a head that an older build rewrote has all fields that this build needs', async (t) => {
  const { emulator, store } = await storeOfOlderBuild();
  const parsed = asOlderBuild('head', await textOf(emulator, HEAD)).data;
  const rewritten = { ...parsed, owner: OTHER, term: 3, changeId: 'older' };
  await emulator.commit({ expected: [], put: [{ key: HEAD, value: JSON.stringify(rewritten) }] });
  const found = await headIn(store);
  t.match(found.head, { owner: OTHER, zone: 'zone-1', tenant: 'tenant-1', term: 3 });
  t.equal(found.head.replicas?.length, 1);
  t.match(await store.replace('job', found, { owner: null }, always), { kind: 'changed' });
});
