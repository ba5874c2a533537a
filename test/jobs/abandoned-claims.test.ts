/** Guards against jobs that are never run again because a takeover claimed the journal and failed. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobOwner } from '../../src/jobs/job-records.js';
import { JobStore, type VersionedHead } from '../../src/jobs/job-store.js';
import type { JobJournal } from '../../src/journal/job-journal.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { JournalZone, page } from '../journal/journal-fixtures.js';
import { ScriptedEngine } from '../serving/serving-fixtures.js';
import { always, headOf, ManualClock, OTHER, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode } from './job-node.js';

type Test = Pick<typeof t, 'teardown'>;

const HOLDER: JobOwner = { node: 'node-3', incarnation: 'life-3', address: '127.0.0.1:3' };

function writerOf({ node, incarnation }: JobOwner): string {
  return `${node}/${incarnation}`;
}

interface StoredJob {
  readonly emulator: SharedStoreEmulator;
  readonly store: JobStore;
  readonly zone: JournalZone;
  readonly found: VersionedHead;
}

/** A job in the store whose owner, of term 1, has journaled a page and terminated. */
async function storedJob(test: Test): Promise<StoredJob> {
  const zone = await JournalZone.open(test);
  const emulator = new SharedStoreEmulator();
  const store = new JobStore(emulator, new ManualClock());
  const journal = zone.journals(writerOf(OWNER)).openNew('job') as JobJournal;
  await journal.claim();
  const spec = specification('job', 3);
  const head = { ...headOf(spec), zone: 'zone-1', term: 1, replicas: [...journal.replicas] };
  const change = await store.create(spec, head, always);
  if (change.kind !== 'changed') throw new Error(change.kind);
  t.equal(await journal.append([page(0)]), 'kept');
  return { emulator, store, zone, found: change.current };
}

/** A node that takes jobs over, and takes these nodes for live. */
function taker(test: Test, { emulator, zone }: StoredJob, ...live: JobOwner[]): JobNode {
  const liveWriters = live.map(writerOf);
  const node = jobNode(emulator, OTHER, new ScriptedEngine(), NO_PEERS, {
    journals: zone.journals(writerOf(OTHER)),
    isWriterLive: (writer) => liveWriters.includes(writer),
  });
  test.teardown(() => node.dispatcher.stop());
  return node;
}

/** Claims the journal as a takeover does before its commit. */
async function claim({ zone }: StoredJob, owner: JobOwner, term: number): Promise<JobJournal> {
  const journal = zone.journals(writerOf(owner)).open('job', zone.locations, term);
  t.equal((await journal.claim()).kind, 'claimed');
  return journal;
}

async function termOf({ store }: StoredJob): Promise<number | undefined> {
  const read = await store.head('job');
  return read.kind === 'found' ? read.value.head.term : undefined;
}

t.test('a job is taken over although a terminated node has claimed its journal', async (t) => {
  const setup = await storedJob(t);
  await claim(setup, HOLDER, 2);
  const { service, lines } = taker(t, setup);
  t.equal(await service.takeOver('job', setup.found), true);
  t.equal(await termOf(setup), 3);
  t.match(service.ownedJobs()[0]?.results, [{ text: 'text 0' }]);
  t.equal(lines.filter((line) => line.includes('"journal-claim-abandoned"')).length, 1);
});

t.test('a job is taken over although its replicas were claimed under several terms', async (t) => {
  const setup = await storedJob(t);
  const [address1 = '', address2 = '', address3 = ''] = setup.zone.addresses;
  setup.zone.unreachable.add(address2).add(address3);
  await claim(setup, HOLDER, 2);
  setup.zone.unreachable.clear();
  setup.zone.unreachable.add(address1).add(address3);
  await claim(setup, OWNER, 7);
  setup.zone.unreachable.clear();
  t.equal(await taker(t, setup).service.takeOver('job', setup.found), true);
  t.equal(await termOf(setup), 8);
});

t.test('a job is taken over although a live node claimed its journal and gave up', async (t) => {
  const setup = await storedJob(t);
  await claim(setup, HOLDER, 2);
  t.equal(await taker(t, setup, HOLDER).service.takeOver('job', setup.found), true);
  t.equal(await termOf(setup), 3);
});

t.test('a live node that is taking a job over keeps its claim', async (t) => {
  const setup = await storedJob(t);
  const journal = await claim(setup, HOLDER, 2);
  const { requests } = setup.zone;
  const before = requests.length;
  const takeover = taker(t, setup, HOLDER).service.takeOver('job', setup.found);
  await eventually(() => requests.length >= before + 3);
  await setup.store.replace('job', setup.found, { owner: HOLDER, term: 2 }, always);
  t.equal(await takeover, false);
  t.equal(await journal.append([]), 'kept');
});

t.test('the claim of a live owner is not taken over', async (t) => {
  const setup = await storedJob(t);
  const journal = await claim(setup, OWNER, 2);
  t.equal(await taker(t, setup, OWNER).service.takeOver('job', setup.found), false);
  t.equal(await journal.append([]), 'kept');
});

t.test('of two takeovers at once, one succeeds', async (t) => {
  const setup = await storedJob(t);
  const first = taker(t, setup, HOLDER, OTHER);
  const journals = setup.zone.journals(writerOf(HOLDER));
  const second = jobNode(setup.emulator, HOLDER, new ScriptedEngine(), NO_PEERS, { journals });
  t.teardown(() => second.dispatcher.stop());
  const outcomes = await Promise.all([
    first.service.takeOver('job', setup.found),
    second.service.takeOver('job', setup.found),
  ]);
  t.equal(outcomes.filter((isOwner) => isOwner).length, 1);
});
