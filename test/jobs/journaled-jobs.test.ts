/**
 * Guards against a zone that cannot list results, accept steps or keep its jobs while it is
 * partitioned from the shared store and from the other zones.
 */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { JobStore } from '../../src/jobs/job-store.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import type { EngineOutcome } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { JournalZone } from '../journal/journal-fixtures.js';
import { answer, events, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, ManualClock, never, OTHER, OWNER, specification } from './job-fixtures.js';
import { type JobNode, jobNode, workUntil } from './job-node.js';

const WRITER = `${OWNER.node}/${OWNER.incarnation}`;

const streamAnswer = (letters: string, first = 0): EngineOutcome =>
  answer(events(first, letters), { isStream: true });

interface ZoneWithStore {
  readonly emulator: SharedStoreEmulator;
  readonly zone: JournalZone;
  readonly node: JobNode;
}

/** A node that owns jobs in a zone with a journal. */
async function zoneWithStore(
  test: Pick<typeof t, 'teardown'>,
  ...outcomes: EngineOutcome[]
): Promise<ZoneWithStore> {
  const emulator = new SharedStoreEmulator();
  const zone = await JournalZone.open(test);
  const journals = zone.journals(WRITER);
  const node = jobNode(emulator, OWNER, new ScriptedEngine(outcomes), NO_PEERS, { journals });
  node.registry.put(worker('w1'));
  test.teardown(() => {
    // Ends the retries that continue until the store answers.
    emulator.setAvailability('up');
    node.dispatcher.stop();
  });
  return { emulator, zone, node };
}

/** A second node, in the same or another zone. */
function otherNode({ emulator, zone }: ZoneWithStore, where = 'zone-1'): JobNode {
  const journals = zone.journals(`${OTHER.node}/${OTHER.incarnation}`, where);
  const isLive = (writer: string): boolean => writer !== WRITER;
  return jobNode(emulator, OTHER, new ScriptedEngine(), NO_PEERS, {
    journals,
    isWriterLive: isLive,
  });
}

async function textsAt(node: JobNode, job = 'job', after = 0): Promise<string[] | string> {
  const read = await node.service.read(job, after, 0, UNRESTRICTED);
  return 'detail' in read ? read.kind : read.results.map(({ text }) => text);
}

/** Waits until the journal holds entries of `jobs` jobs. */
async function untilHeld(zone: JournalZone, jobs: number): Promise<void> {
  let held: number | undefined;
  await eventually(() => {
    void zone
      .journals('any')
      .unsyncedHolders()
      .then(({ length }) => {
        held = length;
      });
    return held === jobs;
  });
}

/** Waits until a node has listed `count` results. */
async function untilListed(node: JobNode, count: number): Promise<void> {
  await workUntil(node, () => (node.service.ownedJobs()[0]?.results.length ?? 0) >= count);
}

t.test(
  'a zone without the store continues a step, and accepts and cancels the next one',
  async (t) => {
    const setup = await zoneWithStore(
      t,
      streamAnswer('ab'),
      streamAnswer('cd'),
      streamAnswer('ef'),
    );
    const { emulator, zone, node } = setup;
    t.equal(await node.service.submit(specification('job', 2), always), undefined);
    emulator.setAvailability('silent');
    await untilListed(node, 2);
    const listed = await textsAt(node);
    t.same([...listed].sort(), ['a\nb', 'c\nd']);

    const nextStep = { ...specification('next', 1), step: 1 };
    t.equal(await node.service.submit(nextStep, always), undefined, 'accepted without the store');
    await workUntil(node, () => node.service.ownedJobs()[1]?.results.length === 1);
    t.same(await textsAt(node, 'next'), ['e\nf']);
    t.equal(await node.service.cancel('next', UNRESTRICTED, always), undefined);

    emulator.setAvailability('up');
    await eventually(() => node.service.ownedJobs().every((job) => !job.isActive));
    t.same(await textsAt(otherNode(setup, 'zone-2')), listed, 'the store has the same results');
    t.same(await textsAt(otherNode(setup, 'zone-2'), 'next'), ['e\nf']);
    await eventually(() => zone.requests.some(({ kind }) => kind === 'journal-release'));
    await untilHeld(zone, 0);
  },
);

t.test('nodes in other zones do not take over a job from an unreachable zone', async (t) => {
  const setup = await zoneWithStore(t, streamAnswer('ab'));
  const { emulator, zone, node } = setup;
  await node.service.submit(specification('job', 2), always);
  emulator.setAvailability('silent');
  await untilListed(node, 1);
  emulator.setAvailability('up');
  // The owner is paused here, so its listed results do not reach the store.
  const store = new JobStore(emulator, new ManualClock());
  const read = await store.head('job');
  if (read.kind !== 'found') throw new Error(read.kind);
  for (const address of zone.addresses) zone.unreachable.add(address);
  const nodeInOtherZone = otherNode(setup, 'zone-2');
  t.equal(await nodeInOtherZone.service.takeOver('job', read.value), false);
});

t.test('a new owner continues the listing after the journaled results', async (t) => {
  const setup = await zoneWithStore(t, streamAnswer('ab'), streamAnswer('cd'));
  const { emulator, node } = setup;
  await node.service.submit(specification('job', 3), always);
  const store = new JobStore(emulator, new ManualClock());
  const before = await store.head('job');
  if (before.kind !== 'found') throw new Error(before.kind);
  emulator.setAvailability('refusing');
  await untilListed(node, 2);
  const listed = await textsAt(node);
  const replicas = before.value.head.replicas ?? [];
  t.equal(replicas.length, 3);
  // The owner terminates with commits in progress: only the journal has the results.
  const nextOwner = otherNode({ ...setup, emulator: await emulatorWith(emulator, 'job') });
  t.equal(await nextOwner.service.takeOver('job', before.value), true);
  t.same(await textsAt(nextOwner), listed);
  t.equal(nextOwner.service.ownedJobs()[0]?.pages, node.service.ownedJobs()[0]?.pages);
});

/** A copy of a store without the pages of a job, as if its owner's commits had not reached it. */
async function emulatorWith(from: SharedStoreEmulator, job: string): Promise<SharedStoreEmulator> {
  from.setAvailability('up');
  const copy = new SharedStoreEmulator();
  const outcome = await from.range('job/');
  if (outcome.kind !== 'items') throw new Error(outcome.kind);
  const items = outcome.items.filter(({ key }) => key.includes(job) && !key.includes('/page/'));
  // Advances the revision of the copy to that of the original.
  for (let revision = 1; revision < (items[0]?.revision ?? 1); revision += 1) {
    await copy.commit({ expected: [], put: [{ key: 'padding', value: String(revision) }] });
  }
  const put = items.map(({ key, value }) => ({ key, value }));
  await copy.commit({ expected: [], put });
  return copy;
}

/** The next step of the trainer of `job`. */
const NEXT_STEP = { ...specification('next', 2), step: 1 };

t.test('a job that only the journal has is recovered after its owner has terminated', async (t) => {
  const setup = await zoneWithStore(t, streamAnswer('ab'), streamAnswer('cd'), streamAnswer('ef'));
  const { emulator, node } = setup;
  t.equal(await node.service.submit(specification('job', 2), always), undefined);
  await untilListed(node, 2);
  emulator.setAvailability('refusing');
  t.equal(await node.service.submit(NEXT_STEP, always), undefined);
  await workUntil(node, () => node.service.ownedJobs()[1]?.results.length === 1);
  const listed = await textsAt(node, 'next');
  const nextOwner = otherNode({ ...setup, emulator: new SharedStoreEmulator() });
  t.equal(
    await textsAt(nextOwner, 'next'),
    'ledger_unavailable',
    'the job is not reported as absent',
  );
  await workUntil(nextOwner, () =>
    nextOwner.lines.some((line) => line.includes('"job-recovered"')),
  );
  t.same(await textsAt(nextOwner, 'next'), listed);
});

/** Guards against two zones accepting the same job, each by its own journal. */
t.test('a zone without the store accepts only the next step of its own trainer', async (t) => {
  const setup = await zoneWithStore(t);
  const { emulator, node } = setup;
  emulator.setAvailability('refusing');
  const rejection = await node.service.submit(specification('job', 1), never);
  t.notSame(rejection, undefined);
  t.same(node.service.ownedJobs(), []);
});

t.test(
  'a job that another zone accepted by its journal is not created again in the store',
  async (t) => {
    const setup = await zoneWithStore(t, streamAnswer('ab'), streamAnswer('cd'));
    const { emulator, node, zone } = setup;
    await node.service.submit(specification('job', 2), always);
    await untilListed(node, 2);
    // The store rejects only this node.
    const originalCommit = emulator.commit.bind(emulator);
    emulator.commit = async () => ({ kind: 'failed', effect: 'not-done' });
    t.equal(await node.service.submit(NEXT_STEP, always), undefined);
    emulator.commit = originalCommit;
    const reachableStore = new SharedStoreEmulator();
    const nodeInOtherZone = otherNode({ ...setup, emulator: reachableStore }, 'zone-2');
    t.equal((await nodeInOtherZone.service.submit(NEXT_STEP, always))?.kind, 'outcome_unknown');
    for (const address of zone.addresses) zone.unreachable.add(address);
    t.equal((await nodeInOtherZone.service.submit(NEXT_STEP, always))?.kind, 'outcome_unknown');
    zone.unreachable.clear();
  },
);

/**
 * Guards against the loss of journaled pages when another zone cancels the job in the store while
 * the owner's zone is partitioned.
 */
t.test('journaled results reach the store although another node cancelled the job', async (t) => {
  const setup = await zoneWithStore(t, streamAnswer('ab'), streamAnswer('cd'));
  const { emulator, node, zone } = setup;
  await node.service.submit(specification('job', 3), always);
  const originalCommit = emulator.commit.bind(emulator);
  emulator.commit = async () => ({ kind: 'failed', effect: 'not-done' });
  await untilListed(node, 2);
  const listed = await textsAt(node);
  emulator.commit = originalCommit;
  const store = new JobStore(emulator, new ManualClock());
  const head = await store.head('job');
  if (head.kind !== 'found') throw new Error(head.kind);
  const nodeInOtherZone = otherNode(setup, 'zone-2');
  t.equal(await textsAt(nodeInOtherZone), 'ledger_unavailable');
  await store.replace('job', head.value, { ended: true }, always);
  await eventually(() => node.service.ownedJobs().every((job) => !job.isActive));
  t.same(await textsAt(otherNode(setup, 'zone-2')), listed);
  await untilHeld(zone, 0);
});

t.test('journaled results of a terminated owner are stored by another node', async (t) => {
  const setup = await zoneWithStore(t, streamAnswer('ab'), streamAnswer('cd'));
  const { emulator, node, zone } = setup;
  await node.service.submit(specification('job', 3), always);
  const before = await new JobStore(emulator, new ManualClock()).head('job');
  if (before.kind !== 'found') throw new Error(before.kind);
  emulator.setAvailability('refusing');
  await untilListed(node, 2);
  const listed = await textsAt(node);
  const copy = await emulatorWith(emulator, 'job');
  const store = new JobStore(copy, new ManualClock());
  await store.replace('job', before.value, { ended: true }, always);
  const nextOwner = otherNode({ ...setup, emulator: copy });
  t.equal(await textsAt(nextOwner), 'ledger_unavailable');
  const isDone = (): boolean =>
    nextOwner.lines.some((line) => line.includes('"job-listing-completed"'));
  await workUntil(nextOwner, isDone);
  t.same(await textsAt(nextOwner), listed);
  await untilHeld(zone, 0);
});

t.test(
  'a node reports that results or jobs may be missing while a zone is unreachable',
  async (t) => {
    const setup = await zoneWithStore(t, streamAnswer('ab'));
    const { emulator, zone, node } = setup;
    await node.service.submit(specification('job', 2), always);
    const nodeInOtherZone = otherNode(setup, 'zone-2');
    t.same(await textsAt(nodeInOtherZone), [], 'the replicas confirm that nothing is listed');
    t.equal(await textsAt(nodeInOtherZone, 'unheard-of'), 'not_found');
    for (const address of zone.addresses) zone.unreachable.add(address);
    t.equal(await textsAt(nodeInOtherZone), 'ledger_unavailable');
    t.equal(await textsAt(nodeInOtherZone, 'unheard-of'), 'ledger_unavailable');
    t.equal(
      (await nodeInOtherZone.service.cancel('unheard-of', UNRESTRICTED, always))?.kind,
      'ledger_unavailable',
    );
    const body = await nodeInOtherZone.service.itemBody('unheard-of', 'item-0', UNRESTRICTED);
    t.match(body, { kind: 'ledger_unavailable' });
    zone.unreachable.clear();
    emulator.setAvailability('refusing');
    await untilListed(node, 1);
    emulator.setAvailability('up');
  },
);

t.test('a job that another node of the zone has claimed is not accepted twice', async (t) => {
  const setup = await zoneWithStore(t);
  const { emulator, node } = setup;
  await node.service.submit(specification('job', 1), always);
  emulator.setAvailability('refusing');
  t.equal(await node.service.submit(NEXT_STEP, always), undefined);
  const rejection = await otherNode(setup).service.submit(NEXT_STEP, always);
  t.equal(rejection?.kind, 'outcome_unknown');
});

/**
 * Guards against submissions that stay rejected because a node claimed the job and terminated
 * before it was stored.
 */
t.test(
  'a job that a terminated node has claimed and not stored is accepted by another node',
  async (t) => {
    const setup = await zoneWithStore(t);
    const { emulator, node } = setup;
    emulator.commit = async () => ({ kind: 'failed', effect: 'not-done' });
    const rejection = await node.service.submit(specification('job', 1), never);
    t.notSame(rejection, undefined);
    const reachableStore = new SharedStoreEmulator();
    const nextNode = otherNode({ ...setup, emulator: reachableStore });
    t.equal(await nextNode.service.submit(specification('job', 1), always), undefined);
    const head = await new JobStore(reachableStore, new ManualClock()).head('job');
    t.equal(head.kind === 'found' && head.value.head.term, 2);
  },
);

/**
 * Guards against two nodes of a zone accepting the same job: one that waits for the answers of
 * other zones, and one that claims the job under the next term and accepts it by the journal.
 */
t.test('a job that a live node has claimed is not claimed by another', async (t) => {
  const setup = await zoneWithStore(t);
  const { emulator, zone } = setup;
  emulator.setAvailability('refusing');
  const first = zone.journals(WRITER).openNew('job');
  t.equal((await first?.claim())?.kind, 'claimed');
  const journals = zone.journals(`${OTHER.node}/${OTHER.incarnation}`);
  const secondNode = jobNode(emulator, OTHER, new ScriptedEngine(), NO_PEERS, { journals });
  const rejection = await secondNode.service.submit(specification('job', 1), never);
  t.equal(rejection?.kind, 'outcome_unknown');
  t.equal(await first?.append([]), 'kept', 'the first node may still accept it');
});

/** Guards against a repeated submission of an accepted job being answered as uncertain. */
t.test('a stored job is confirmed although a live node holds its journal', async (t) => {
  const { emulator, zone, node } = await zoneWithStore(t);
  t.equal(await node.service.submit(specification('job', 1), always), undefined);
  const journals = zone.journals(`${OTHER.node}/${OTHER.incarnation}`);
  const secondNode = jobNode(emulator, OTHER, new ScriptedEngine(), NO_PEERS, { journals });
  t.equal(await secondNode.service.submit(specification('job', 1), never), undefined);
  t.same(secondNode.service.ownedJobs(), []);
});

t.test(
  'a node that lost its claim while it queried the other zones does not accept the job',
  async (t) => {
    const setup = await zoneWithStore(t);
    const { emulator, zone, node } = setup;
    const far: ReplicaLocation = {
      node: 'far',
      zone: 'zone-2',
      address: '10.0.9.9:1',
      disk: 'far',
    };
    const journals = zone.journals(WRITER, 'zone-1', undefined, [far]);
    const waiting = jobNode(emulator, OWNER, new ScriptedEngine(), NO_PEERS, { journals });
    node.dispatcher.stop();
    const answer = waiting.service.submit(specification('job', 1), always);
    await eventually(() => zone.requests.some(({ kind }) => kind === 'journal-claim'));
    const nextJournal = zone.journals('other/life').open('job', journals.replicasInOwnZone(), 2);
    t.equal((await nextJournal.claim()).kind, 'claimed');
    zone.emptyReplicas.set(far.address, far);
    t.equal((await answer)?.kind, 'outcome_unknown');
    t.same(waiting.service.ownedJobs(), []);
    t.equal((await new JobStore(emulator, new ManualClock()).head('job')).kind, 'absent');
  },
);

t.test(
  'a job that the store creates after its node lost the claim is released to others',
  async (t) => {
    const setup = await zoneWithStore(t);
    const { emulator, zone, node } = setup;
    const originalCommit = emulator.commit.bind(emulator);
    emulator.commit = async (...parts) => {
      emulator.commit = originalCommit;
      const nextJournal = zone.journals('other/life').open('job', zone.locations, 2);
      await nextJournal.claim();
      return originalCommit(...parts);
    };
    t.equal(await node.service.submit(specification('job', 1), always), undefined);
    t.same(
      node.service.ownedJobs().filter((job) => job.isOpen),
      [],
    );
    const head = await new JobStore(emulator, new ManualClock()).head('job');
    t.match(head.kind === 'found' && head.value.head, { owner: null, term: 2 });
  },
);

t.test('zones that do not answer are queried again until a timeout', async (t) => {
  const setup = await zoneWithStore(t);
  const { zone } = setup;
  const nodeInOtherZone = otherNode(setup, 'zone-2');
  for (const address of zone.addresses) zone.unreachable.add(address);
  setTimeout(() => zone.unreachable.clear(), 300);
  t.equal(await nodeInOtherZone.service.submit(specification('job', 1), always), undefined);
});

t.test('a job without enough replicas is accepted by the store alone', async (t) => {
  const emulator = new SharedStoreEmulator();
  const zone = await JournalZone.open(t, 2);
  const journals = zone.journals(WRITER);
  const node = jobNode(emulator, OWNER, new ScriptedEngine(), NO_PEERS, { journals });
  t.notOk(journals.isUsable);
  t.equal(await node.service.submit(specification('job', 1), always), undefined);
  const read = await new JobStore(emulator, new ManualClock()).head('job');
  t.ok(read.kind === 'found' && read.value.head.replicas === undefined);
});
