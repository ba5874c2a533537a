/**
 * Guards against two listings of one job that logs and counters cannot tell apart: by owner and
 * term, by what made a page durable, and by the node that answered a read.
 */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Revision } from '../../src/core/units.js';
import type { JobPeers } from '../../src/jobs/job-peers.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { ListingLog } from '../../src/jobs/listing-log.js';
import { ListingWriter } from '../../src/jobs/listing-writer.js';
import type { EngineOutcome } from '../../src/serving/engine-port.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { JournalZone } from '../journal/journal-fixtures.js';
import {
  answer,
  events,
  recordingLog,
  ScriptedEngine,
  worker,
} from '../serving/serving-fixtures.js';
import { always, ManualClock, never, OTHER, OWNER, result, specification } from './job-fixtures.js';
import { type JobNode, jobNode, workUntil } from './job-node.js';

type Test = Pick<typeof t, 'teardown'>;
type Line = Readonly<Record<string, string | number>>;

const OWNER_NAME = `${OWNER.node}/${OWNER.incarnation}`;
const OTHER_NAME = `${OTHER.node}/${OTHER.incarnation}`;

const streamAnswer = (letters: string): EngineOutcome =>
  answer(events(0, letters), { isStream: true });

/** The lines of an event, without the fields that all lines have. */
function linesOf(node: JobNode, event: string): Line[] {
  return node.lines
    .map((line) => JSON.parse(line))
    .filter(({ msg }) => msg === event)
    .map(({ level, time, node: _node, zone, msg, tookMs, ...fields }) => fields);
}

const countOf = (node: JobNode, counter: string): number | undefined =>
  node.metrics.snapshot()[counter];

interface Owner {
  readonly emulator: SharedStoreEmulator;
  readonly zone: JournalZone;
  readonly node: JobNode;
}

/** A node that owns a job of two items in a zone with a journal. */
async function ownerOfJob(test: Test, ...outcomes: EngineOutcome[]): Promise<Owner> {
  const emulator = new SharedStoreEmulator();
  const zone = await JournalZone.open(test);
  const journals = zone.journals(OWNER_NAME);
  const node = jobNode(emulator, OWNER, new ScriptedEngine(outcomes), NO_PEERS, { journals });
  node.registry.put(worker('w1'));
  test.teardown(() => {
    // Ends the retries that continue until the store answers.
    emulator.setAvailability('up');
    node.dispatcher.stop();
  });
  await node.service.submit(specification('job', 2), always);
  return { emulator, zone, node };
}

/** A node of another zone that reads the job from `peers` and the store. */
function reader({ emulator, zone }: Owner, peers: JobPeers = NO_PEERS): JobNode {
  const journals = zone.journals(OTHER_NAME, 'zone-2');
  return jobNode(emulator, OTHER, new ScriptedEngine(), peers, { journals });
}

/** Peers that reach the owner of the job. */
function peersOf(owner: JobNode): JobPeers {
  return {
    ...NO_PEERS,
    likelyOwners: () => [OWNER],
    ownerListing: async (_owner, job, after, wait) => {
      const listing = await owner.service.ownListing(job, after, wait);
      return listing.isOwner ? listing : undefined;
    },
  };
}

/** Waits until a node has listed `count` results of its only job. */
function untilListed(node: JobNode, count: number): Promise<void> {
  return workUntil(node, () => (node.service.ownedJobs()[0]?.results.length ?? 0) >= count);
}

const read = (node: JobNode, job = 'job', after = 0) =>
  node.service.read(job, after, 0, UNRESTRICTED);

t.test('a page that the store made durable', async (t) => {
  const { node } = await ownerOfJob(t, streamAnswer('ab'));
  await untilListed(node, 1);
  const [line, ...others] = linesOf(node, 'page-listed');
  t.match(line, { job: 'job', owner: OWNER_NAME, term: 1, page: 0, first: 0, results: 1 });
  t.equal(line?.durableBy, 'store');
  t.match(line?.firstItem, /^item-/);
  t.same(others, []);
  t.same(linesOf(node, 'page-stored'), []);
  t.equal(countOf(node, 'pages_listed.store'), 1);
  t.equal(countOf(node, 'pages_listed.journal'), undefined);
});

t.test('a page that the journal made durable and the store took later', async (t) => {
  const { node, emulator } = await ownerOfJob(t, streamAnswer('ab'));
  emulator.setAvailability('refusing');
  await untilListed(node, 1);
  const [listed] = linesOf(node, 'page-listed');
  t.match(listed, { owner: OWNER_NAME, term: 1, page: 0, durableBy: 'journal' });
  t.same(linesOf(node, 'page-stored'), []);
  emulator.setAvailability('up');
  await eventually(() => linesOf(node, 'page-stored').length > 0);
  const { durableBy, ...page } = listed ?? {};
  t.same(linesOf(node, 'page-stored'), [page], 'the same page, owner and term');
  t.equal(linesOf(node, 'page-listed').length, 1);
  t.equal(countOf(node, 'pages_listed.journal'), 1);
  t.equal(countOf(node, 'pages_listed.store'), undefined);
  t.equal(countOf(node, 'journaled_changes.page'), 1);
});

t.test('a cancellation that the journal made durable and the store took later', async (t) => {
  const { node, emulator } = await ownerOfJob(t);
  emulator.setAvailability('refusing');
  t.equal(await node.service.cancel('job', UNRESTRICTED, always), undefined);
  const cancellation = { job: 'job', owner: OWNER_NAME, term: 1 };
  t.same(linesOf(node, 'job-cancelled'), [{ ...cancellation, durableBy: 'journal' }]);
  emulator.setAvailability('up');
  await eventually(() => linesOf(node, 'cancellation-stored').length > 0);
  t.same(linesOf(node, 'cancellation-stored'), [cancellation]);
});

t.test('reads at the owner, at another node, from its cache and from the store', async (t) => {
  const owner = await ownerOfJob(t, streamAnswer('ab'));
  const { node } = owner;
  await untilListed(node, 1);
  const firstItem = linesOf(node, 'page-listed')[0]?.firstItem;
  const results = { job: 'job', after: 0, count: 1, firstItem, owner: OWNER_NAME, pages: 1 };

  await read(node);
  t.same(linesOf(node, 'results-read'), [{ ...results, from: 'owner', term: 1 }]);
  t.equal(countOf(node, 'results_read.owner'), 1);

  const nodeWithPeers = reader(owner, peersOf(node));
  await read(nodeWithPeers);
  await read(nodeWithPeers);
  t.same(linesOf(nodeWithPeers, 'results-read'), [
    { ...results, from: 'peer-owner' },
    { ...results, from: 'cache' },
  ]);

  const nodeWithoutPeers = reader(owner);
  await read(nodeWithoutPeers);
  const { owner: _owner, ...withoutOwner } = results;
  t.same(linesOf(nodeWithoutPeers, 'results-read'), [{ ...withoutOwner, from: 'store' }]);
  t.equal(countOf(nodeWithoutPeers, 'results_read.store'), 1);
});

t.test('empty answers to polls are counted and not logged', async (t) => {
  const { node } = await ownerOfJob(t);
  await read(node);
  await read(node);
  t.same(linesOf(node, 'results-read'), []);
  t.equal(countOf(node, 'results_read.owner'), 2);
});

t.test('a read that another node answered for this one', async (t) => {
  const owner = await ownerOfJob(t, streamAnswer('ab'));
  const { node } = owner;
  await untilListed(node, 1);
  const relayed = reader(owner, {
    ...NO_PEERS,
    readElsewhere: (...request) => node.service.readForPeer(...request),
  });
  await read(relayed);
  t.match(linesOf(relayed, 'results-read'), [{ job: 'job', after: 0, count: 1, from: 'relay' }]);
  t.match(linesOf(node, 'results-read'), [{ job: 'job', after: 0, count: 1, from: 'owner' }]);
});

t.test('reads without an answer say why', async (t) => {
  const owner = await ownerOfJob(t);
  const { zone, emulator } = owner;
  const node = reader(owner);
  const unread = { job: 'unheard-of', after: 0, count: 0 };
  await read(node, 'unheard-of');
  for (const address of zone.addresses) zone.unreachable.add(address);
  await read(node, 'unheard-of');
  await read(node);
  emulator.setAvailability('refusing');
  await read(node, 'unheard-of');
  t.same(linesOf(node, 'results-read'), [
    { ...unread, from: 'absent', cause: 'not-held' },
    { ...unread, from: 'unavailable', cause: 'may-be-journaled' },
    { ...unread, job: 'job', from: 'unavailable', cause: 'pages-may-be-journaled' },
    { ...unread, from: 'unavailable', cause: 'store-silent' },
  ]);
  t.equal(countOf(node, 'results_read.absent'), 1);
  t.equal(countOf(node, 'results_read.unavailable'), 3);

  await node.service.cancel('unheard-of', UNRESTRICTED, never);
  await node.service.itemBody('unheard-of', 'item-0', UNRESTRICTED);
  const unanswered = { job: 'unheard-of', answer: 'unavailable', cause: 'store-silent' };
  t.same(linesOf(node, 'job-unanswered'), [
    { ...unanswered, call: 'cancel' },
    { ...unanswered, call: 'item-body' },
  ]);
});

/**
 * A copy of a store without the pages of the job, whose other keys were last changed at `revision`.
 * The store itself stays unavailable, so that the earlier owner can't store its pages and remove
 * them from the journal.
 */
async function withoutPages(
  from: SharedStoreEmulator,
  revision: Revision,
): Promise<SharedStoreEmulator> {
  const copy = new SharedStoreEmulator();
  const keys = from.keys('job/').filter((key) => !key.includes('/page/'));
  // Advances the revision of the copy to that of the original.
  for (let earlier = 1; earlier < revision; earlier += 1) {
    await copy.commit({ expected: [], put: [{ key: 'padding', value: String(earlier) }] });
  }
  const put = keys.map((key) => ({ key, value: from.valueOf(key) ?? '' }));
  await copy.commit({ expected: [], put });
  return copy;
}

/** The next owner of a job whose owner terminated with a page that only the journal has. */
async function nextOwnerOf(test: Test, owner: Owner, disks: 'kept' | 'empty'): Promise<JobNode> {
  const { emulator, zone, node } = owner;
  const found = await new JobStore(emulator, new ManualClock()).head('job');
  if (found.kind !== 'found') throw new Error(found.kind);
  emulator.setAvailability('refusing');
  await untilListed(node, 1);
  node.dispatcher.stop();
  const copy = await withoutPages(emulator, found.value.revision);
  for (const address of zone.addresses) await zone.restart(address, disks);
  const journals = zone.journals(OTHER_NAME);
  const next = jobNode(copy, OTHER, new ScriptedEngine([streamAnswer('xy')]), NO_PEERS, {
    journals,
  });
  next.registry.put(worker('w1'));
  test.teardown(() => next.dispatcher.stop());
  t.equal(await next.service.takeOver('job', found.value, false), true);
  return next;
}

t.test('a page that a new owner found in the journal', async (t) => {
  const owner = await ownerOfJob(t, streamAnswer('ab'));
  const next = await nextOwnerOf(t, owner, 'kept');
  const [listed] = linesOf(owner.node, 'page-listed');
  const { durableBy, ...page } = listed ?? {};
  const resumed = { ...page, owner: OTHER_NAME, term: 2 };
  t.same(linesOf(next, 'page-resumed'), [resumed]);
  await eventually(() => linesOf(next, 'page-stored').length > 0);
  t.same(linesOf(next, 'page-stored'), [resumed]);
  await untilListed(next, 2);
  t.match(linesOf(next, 'page-listed'), [{ page: 1, first: 1, results: 1, term: 2 }]);
});

t.test('a page that the store has by the time a new owner claims the journal', async (t) => {
  const owner = await ownerOfJob(t, streamAnswer('ab'));
  const { emulator, zone, node } = owner;
  emulator.setAvailability('refusing');
  await untilListed(node, 1);
  node.dispatcher.stop();
  const results = [...(node.service.ownedJobs()[0]?.results ?? [])];
  emulator.setAvailability('up');
  await eventually(() => linesOf(node, 'page-stored').length > 0);
  const found = await new JobStore(emulator, new ManualClock()).head('job');
  if (found.kind !== 'found') throw new Error(found.kind);
  const journals = zone.journals(OTHER_NAME);
  const next = jobNode(emulator, OTHER, new ScriptedEngine(), NO_PEERS, { journals });
  t.equal(await next.service.takeOver('job', found.value, false), true);
  t.same(linesOf(next, 'page-resumed'), [], 'the journal adds nothing to the store');
  t.same(next.service.ownedJobs()[0]?.results, results, 'nor is anything missing');
});

t.test('positions of several pages that a new owner found in the journal', (t) => {
  const { log, lines } = recordingLog();
  const clock = new ManualClock();
  const metrics = new FleetMetrics();
  const writer = new ListingWriter(
    {
      job: 'job',
      store: new JobStore(new SharedStoreEmulator(), clock),
      clock,
      journal: undefined,
      log: new ListingLog({ job: 'job', self: OWNER, term: 2, metrics, log }),
      progress: () => ({}),
      isStillNeeded: never,
      keepsOwnership: always,
      onHeadChange: () => {},
    },
    undefined,
  );
  const pages = [[result(3), result(4)], [result(5)]];
  writer.resume(
    pages.map((results, index) => ({ kind: 'page', number: index + 1, results })),
    3,
  );
  t.match(
    lines.map((line) => JSON.parse(line)),
    [
      { msg: 'page-resumed', page: 1, first: 3, results: 2, firstItem: 'item-3' },
      { msg: 'page-resumed', page: 2, first: 5, results: 1, firstItem: 'item-5' },
    ],
  );
  t.end();
});

t.test('two listings of one page under two terms are told apart by the lines', async (t) => {
  const owner = await ownerOfJob(t, streamAnswer('ab'));
  const next = await nextOwnerOf(t, owner, 'empty');
  await untilListed(next, 1);
  const pageZero = { job: 'job', page: 0, first: 0 };
  t.match(linesOf(owner.node, 'page-listed'), [
    { ...pageZero, owner: OWNER_NAME, term: 1, durableBy: 'journal' },
  ]);
  t.match(linesOf(next, 'page-listed'), [
    { ...pageZero, owner: OTHER_NAME, term: 2, durableBy: 'store' },
  ]);
  t.same(linesOf(next, 'page-resumed'), []);

  await read(owner.node);
  await read(next);
  t.match(linesOf(owner.node, 'results-read'), [{ after: 0, owner: OWNER_NAME, term: 1 }]);
  t.match(linesOf(next, 'results-read'), [{ after: 0, owner: OTHER_NAME, term: 2 }]);
});
