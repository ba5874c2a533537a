/** Guards against journal entries being listed in the wrong job, or never listed or released. */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { JobHead } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import type { JobJournal } from '../../src/journal/job-journal.js';
import type { JournalEntry } from '../../src/journal/journal-entries.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { JournalZone, page } from '../journal/journal-fixtures.js';
import { ScriptedEngine } from '../serving/serving-fixtures.js';
import {
  always,
  headOf,
  ManualClock,
  OTHER,
  OWNER,
  result,
  specification,
} from './job-fixtures.js';
import { type JobNode, jobNode, workUntil } from './job-node.js';

type Test = Pick<typeof t, 'teardown'>;

const WRITER = `${OWNER.node}/${OWNER.incarnation}`;
const SPEC = specification('job', 3);

/** A page that is not of the job's own journal. */
const FOREIGN_PAGE: JournalEntry = { kind: 'page', number: 0, results: [result(2)] };

interface JournaledJob {
  readonly emulator: SharedStoreEmulator;
  readonly store: JobStore;
  readonly zone: JournalZone;
  /** The journal of the job, whose writer has terminated. */
  readonly journal: JobJournal;
  /** A replica of the zone that the job does not have. */
  readonly other: ReplicaLocation;
}

/** A zone of four replicas: three of a job, and another one that holds a page under its id. */
async function journaledJob(test: Test): Promise<JournaledJob> {
  const zone = await JournalZone.open(test, 4);
  const emulator = new SharedStoreEmulator();
  const journals = zone.journals(WRITER);
  const journal = journals.openNew('job') as JobJournal;
  t.equal((await journal.claim()).kind, 'claimed');
  const disks = journal.replicas.map(({ disk }) => disk);
  const other = zone.locations.find(({ disk }) => !disks.includes(disk)) as ReplicaLocation;
  t.equal(await journals.open('job', [other], 1).append([FOREIGN_PAGE]), 'kept');
  return { emulator, store: new JobStore(emulator, new ManualClock()), zone, journal, other };
}

function recoveringNode(test: Test, { emulator, zone }: JournaledJob): JobNode {
  const node = jobNode(emulator, OTHER, new ScriptedEngine(), NO_PEERS, {
    journals: zone.journals(`${OTHER.node}/${OTHER.incarnation}`),
    isWriterLive: (writer) => writer !== WRITER,
  });
  test.teardown(() => node.dispatcher.stop());
  return node;
}

async function headIn({ store }: JournaledJob): Promise<JobHead> {
  const read = await store.head('job');
  if (read.kind !== 'found') throw new Error(read.kind);
  return read.value.head;
}

async function textsAt(node: JobNode): Promise<string[] | string> {
  const read = await node.service.read('job', 0, 0, UNRESTRICTED);
  return 'detail' in read ? read.kind : read.results.map(({ text }) => text);
}

/** Has the store reject one commit. */
function failNextCommit({ emulator }: JournaledJob): void {
  const commit = emulator.commit.bind(emulator);
  emulator.commit = async () => {
    emulator.commit = commit;
    return { kind: 'failed', effect: 'not-done' };
  };
}

const hasLogged = (node: JobNode, event: string) => (): boolean =>
  node.lines.some((line) => line.includes(`"${event}"`));

/** Runs the periodic work of a node until no replica of the zone holds entries. */
async function workUntilReleased(node: JobNode, { zone }: JournaledJob): Promise<void> {
  const journals = zone.journals('any');
  let held: number | undefined;
  await workUntil(node, () => {
    void journals.unsyncedHolders().then(({ length }) => {
      held = length;
    });
    return held === 0;
  });
}

t.test('entries in replicas that a cancelled job does not have are not listed', async (t) => {
  const setup = await journaledJob(t);
  const { store, journal } = setup;
  const head = { ...headOf(SPEC), term: 1, replicas: [...journal.replicas], ended: true };
  await store.create(SPEC, head, always);
  const node = recoveringNode(t, setup);
  await workUntilReleased(node, setup);
  t.match(await headIn(setup), { pages: 0, listed: 0 });
  t.same(await textsAt(node), []);
});

t.test('a cancelled job is completed from its own replicas', async (t) => {
  const setup = await journaledJob(t);
  const { store, journal } = setup;
  const head = { ...headOf(SPEC), term: 1, replicas: [...journal.replicas], ended: true };
  await store.create(SPEC, head, always);
  t.equal(await journal.append([page(0)]), 'kept');
  const node = recoveringNode(t, setup);
  await workUntilReleased(node, setup);
  t.same(await textsAt(node), ['text 0']);
});

t.test('a journaled job is recovered from its own replicas', async (t) => {
  const setup = await journaledJob(t);
  const replicas = [...setup.journal.replicas];
  t.equal(await setup.journal.append([{ kind: 'created', spec: SPEC, replicas }]), 'kept');
  const node = recoveringNode(t, setup);
  await workUntil(node, hasLogged(node, 'job-recovered'));
  t.same(await textsAt(node), []);
  t.same((await headIn(setup)).replicas, replicas);
});

t.test('each claim of a recovery or takeover is logged with its answers', async (t) => {
  const setup = await journaledJob(t);
  const replicas = [...setup.journal.replicas];
  t.equal(await setup.journal.append([{ kind: 'created', spec: SPEC, replicas }]), 'kept');
  setup.zone.unreachable.add(replicas[0]?.address ?? '');
  await setup.zone.restart(replicas[1]?.address ?? '', 'empty');
  const node = recoveringNode(t, setup);
  await workUntil(node, hasLogged(node, 'job-recovered'));
  const claims = node.lines
    .map((line) => JSON.parse(line))
    .filter(({ msg }) => msg === 'journal-claimed');
  t.match(claims.at(-1), {
    ...{ job: 'job', term: 2, outcome: 'claimed', entries: 1 },
    ...{ granted: 1, silent: 1, otherDisks: 1, refused: 0, unwritable: 0 },
  });
});

t.test('a recovery whose creation failed in the store is repeated by the same node', async (t) => {
  const setup = await journaledJob(t);
  const replicas = [...setup.journal.replicas];
  t.equal(await setup.journal.append([{ kind: 'created', spec: SPEC, replicas }]), 'kept');
  failNextCommit(setup);
  const node = recoveringNode(t, setup);
  await workUntil(node, hasLogged(node, 'job-recovered'));
  t.same((await headIn(setup)).replicas, replicas);
});

t.test('a replica that was away while a job was completed is released later', async (t) => {
  const setup = await journaledJob(t);
  const { store, journal, zone } = setup;
  const head = { ...headOf(SPEC), term: 1, replicas: [...journal.replicas], ended: true };
  await store.create(SPEC, head, always);
  t.equal(await journal.append([page(0)]), 'kept');
  const node = recoveringNode(t, setup);
  zone.unreachable.add(journal.replicas[2]?.address ?? '');
  failNextCommit(setup);
  await workUntilReleased(node, setup);
  zone.unreachable.clear();
  await workUntilReleased(node, setup);
  t.same(await textsAt(node), ['text 0']);
});
