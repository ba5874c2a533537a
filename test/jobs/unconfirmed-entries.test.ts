/** Guards against readers being shown journal entries that are lost with one more disk. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobOwner } from '../../src/jobs/job-records.js';
import { JobStore, type VersionedHead } from '../../src/jobs/job-store.js';
import type { JobJournal } from '../../src/journal/job-journal.js';
import type { JournalEntry } from '../../src/journal/journal-entries.js';
import type { SharedStore, StoreCommit } from '../../src/shared-store/shared-store.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { JournalZone, page } from '../journal/journal-fixtures.js';
import { ScriptedEngine } from '../serving/serving-fixtures.js';
import { always, headOf, ManualClock, OTHER, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode, workUntil } from './job-node.js';

type Test = Pick<typeof t, 'teardown'>;

const ITEMS = 9;
const WRITER = writerOf(OWNER);
const THIRD: JobOwner = { node: 'node-3', incarnation: 'life-3', address: '127.0.0.1:3' };

function writerOf({ node, incarnation }: JobOwner): string {
  return `${node}/${incarnation}`;
}

interface UnconfirmedJob {
  readonly emulator: SharedStoreEmulator;
  readonly store: JobStore;
  readonly zone: JournalZone;
}

/** A zone whose first replica alone has the given entries of a job; their writer has terminated. */
async function unconfirmedJob(
  test: Test,
  entries: readonly JournalEntry[],
  isStored = true,
): Promise<UnconfirmedJob> {
  const zone = await JournalZone.open(test);
  const emulator = new SharedStoreEmulator();
  const store = new JobStore(emulator, new ManualClock());
  const journal = zone.journals(WRITER).openNew('job') as JobJournal;
  await journal.claim();
  const spec = specification('job', ITEMS);
  const head = { ...headOf(spec), zone: 'zone-1', term: 1, replicas: [...journal.replicas] };
  if (isStored) await store.create(spec, head, always);
  for (const address of zone.addresses.slice(1)) zone.unreachable.add(address);
  const created: JournalEntry = { kind: 'created', spec, replicas: [...journal.replicas] };
  t.equal(await journal.append(isStored ? entries : [created, ...entries]), 'unsure');
  zone.unreachable.clear();
  return { emulator, store, zone };
}

/** A node whose commits fail once it has made a number of them, until it is reconnected. */
interface CutOffNode extends JobNode {
  readonly commits: StoreCommit[];
  /** Number of failed commits. */
  readonly rejected: () => number;
  readonly reconnect: () => void;
}

function cutOffNode(
  test: Test,
  { emulator, zone }: UnconfirmedJob,
  owner: JobOwner,
  allowedCommits = Number.POSITIVE_INFINITY,
): CutOffNode {
  const commits: StoreCommit[] = [];
  let limit = allowedCommits;
  let rejected = 0;
  const connection: SharedStore = Object.create(emulator);
  connection.commit = async (commit) => {
    if (commits.length >= limit) {
      rejected += 1;
      return { kind: 'failed', effect: 'not-done' };
    }
    commits.push(commit);
    return emulator.commit(commit);
  };
  const journals = zone.journals(writerOf(owner));
  const isWriterLive = (writer: string): boolean => writer !== WRITER;
  const extras = { journals, isWriterLive };
  const node = jobNode(connection, owner, new ScriptedEngine(), NO_PEERS, extras);
  const reconnect = (): void => {
    limit = Number.POSITIVE_INFINITY;
  };
  test.teardown(() => {
    reconnect();
    node.dispatcher.stop();
  });
  return { ...node, commits, rejected: () => rejected, reconnect };
}

async function headIn(store: JobStore): Promise<VersionedHead> {
  const read = await store.head('job');
  if (read.kind !== 'found') throw new Error(read.kind);
  return read.value;
}

async function takeOver({ service }: JobNode, { store }: UnconfirmedJob): Promise<boolean> {
  return service.takeOver('job', await headIn(store));
}

async function textsAt(node: JobNode): Promise<string[] | string> {
  const read = await node.service.read('job', 0, 0, UNRESTRICTED);
  return 'detail' in read ? read.kind : read.results.map(({ text }) => text);
}

t.test('results shown by a new owner outlast the only disk that it found them on', async (t) => {
  const setup = await unconfirmedJob(t, [page(0)]);
  const nextOwner = cutOffNode(t, setup, OTHER, 1);
  t.equal(await takeOver(nextOwner, setup), true);
  const shown = await textsAt(nextOwner);
  t.same(shown, ['text 0']);
  await setup.zone.restart(setup.zone.addresses[0] ?? '', 'empty');
  const thirdOwner = cutOffNode(t, setup, THIRD);
  t.equal(await takeOver(thirdOwner, setup), true);
  t.same(await textsAt(thirdOwner), shown);
});

t.test('results that a replica cannot store are shown once the store has them', async (t) => {
  const setup = await unconfirmedJob(t, [page(0)]);
  const [firstDisk = '', , lostDisk = ''] = setup.zone.addresses;
  await setup.zone.restart(lostDisk, 'empty');
  const nextOwner = cutOffNode(t, setup, OTHER, 1);
  const takeover = takeOver(nextOwner, setup);
  await eventually(() => nextOwner.rejected() > 0);
  t.equal(await textsAt(nextOwner), 'ledger_unavailable');
  nextOwner.reconnect();
  t.equal(await takeover, true);
  const shown = await textsAt(nextOwner);
  t.same(shown, ['text 0']);
  t.equal((await headIn(setup.store)).head.pages, 1);
  await setup.zone.restart(firstDisk, 'empty');
  const thirdOwner = cutOffNode(t, setup, THIRD);
  t.equal(await takeOver(thirdOwner, setup), true);
  t.same(await textsAt(thirdOwner), shown);
});

t.test(
  'a takeover fails if another node becomes the owner before the results are durable',
  async (t) => {
    const setup = await unconfirmedJob(t, [page(0)]);
    await setup.zone.restart(setup.zone.addresses[2] ?? '', 'empty');
    const nextOwner = cutOffNode(t, setup, OTHER, 1);
    const takeover = takeOver(nextOwner, setup);
    await eventually(() => nextOwner.rejected() > 0);
    const thirdOwner = cutOffNode(t, setup, THIRD);
    t.equal(await takeOver(thirdOwner, setup), true);
    nextOwner.reconnect();
    t.equal(await takeover, false);
    t.equal(nextOwner.service.ownedJobs().length, 0);
    t.same(await textsAt(thirdOwner), ['text 0']);
  },
);

t.test('results are stored although the job is cancelled during the takeover', async (t) => {
  const setup = await unconfirmedJob(t, [page(0)]);
  await setup.zone.restart(setup.zone.addresses[2] ?? '', 'empty');
  const nextOwner = cutOffNode(t, setup, OTHER, 1);
  const takeover = takeOver(nextOwner, setup);
  await eventually(() => nextOwner.rejected() > 0);
  await setup.store.replace('job', await headIn(setup.store), { ended: true }, always);
  nextOwner.reconnect();
  t.equal(await takeover, true);
  t.match((await headIn(setup.store)).head, { ended: true, pages: 1, listed: 1 });
  t.same(await textsAt(nextOwner), ['text 0']);
});

t.test('many results are stored in several commits, in their order', async (t) => {
  const setup = await unconfirmedJob(t, [5, 4, 3, 2, 1, 0].map(page));
  await setup.zone.restart(setup.zone.addresses[2] ?? '', 'empty');
  const nextOwner = cutOffNode(t, setup, OTHER);
  t.equal(await takeOver(nextOwner, setup), true);
  const pagesOf = ({ put = [] }: StoreCommit): number =>
    put.filter(({ key }) => key.includes('/page/')).length;
  t.same(nextOwner.commits.map(pagesOf), [0, 4, 2]);
  t.same(
    await textsAt(nextOwner),
    [0, 1, 2, 3, 4, 5].map((number) => `text ${number}`),
  );
  t.same(await setup.zone.journals('any').unsyncedHolders(), [], 'the journal is released');
});

t.test('a page after a missing one is not listed at another position', async (t) => {
  const setup = await unconfirmedJob(t, [page(0), page(2)]);
  const nextOwner = cutOffNode(t, setup, OTHER);
  t.equal(await takeOver(nextOwner, setup), true);
  t.same(await textsAt(nextOwner), ['text 0']);
  t.ok(nextOwner.lines.some((line) => line.includes('"journaled-pages-dropped"')));
});

t.test('a page after a missing one is not listed in a cancelled job', async (t) => {
  const setup = await unconfirmedJob(t, [page(0), page(2)]);
  await setup.store.replace('job', await headIn(setup.store), { ended: true }, always);
  const node = cutOffNode(t, setup, OTHER);
  await workUntil(node, () => node.lines.some((line) => line.includes('"job-listing-completed"')));
  t.same(await textsAt(node), ['text 0']);
});

t.test('results of a recovered job outlast the only disk that they were found on', async (t) => {
  const setup = await unconfirmedJob(t, [page(0)], false);
  const nextOwner = cutOffNode(t, setup, OTHER, 1);
  await workUntil(nextOwner, () => nextOwner.service.ownedJobs().length > 0);
  const shown = await textsAt(nextOwner);
  t.same(shown, ['text 0']);
  await setup.zone.restart(setup.zone.addresses[0] ?? '', 'empty');
  const thirdOwner = cutOffNode(t, setup, THIRD);
  t.equal(await takeOver(thirdOwner, setup), true);
  t.same(await textsAt(thirdOwner), shown);
});

t.test('a job whose results are all journaled is closed by its new owner', async (t) => {
  const setup = await unconfirmedJob(
    t,
    Array.from({ length: ITEMS }, (_, index) => page(index)),
  );
  const nextOwner = cutOffNode(t, setup, OTHER);
  t.equal(await takeOver(nextOwner, setup), true);
  await eventually(() => nextOwner.service.ownedJobs().every((job) => !job.isActive));
  t.equal(nextOwner.service.ownedJobs()[0]?.closeReason, 'finished');
  t.match((await headIn(setup.store)).head, { pages: ITEMS, listed: ITEMS });
});
