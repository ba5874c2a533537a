/**
 * What was seen: all 144 results of a job had been read and its end confirmed; 7.6 s later a node of
 * another zone told a reader at position 143 that nothing is there. An owner that did not reach the
 * store had passed the end on to another node and closed the job as ended. Another node had taken the
 * job over before and listed the rest of it; the first one went on answering from its own list.
 */
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { StoreLink } from '../../lab/emulator/store-link.js';
import type { JobPeers } from '../../src/jobs/job-peers.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { answer, events, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, never, OTHER, OWNER, specification } from './job-fixtures.js';
import { isFinished, type JobNode, jobNode, keepWorking, workUntil } from './job-node.js';

const stream = (letters: string) => answer(events(0, letters), { isStream: true });

interface PassedOnEnd {
  readonly link: StoreLink;
  /** Ran the job, was cut off, and passed its end on. */
  readonly before: JobNode;
  /** Took the job over and listed all of it. */
  readonly now: JobNode;
  /** A node that asks the owner of before first. */
  readonly reader: JobNode;
}

/** A job that has ended at its second owner, and whose first one was told so by another node. */
async function passedOnEnd(test: Pick<typeof t, 'teardown'>): Promise<PassedOnEnd> {
  const emulator = new SharedStoreEmulator();
  const link = new StoreLink(emulator);
  const now = jobNode(emulator, OTHER, new ScriptedEngine([stream('cd'), stream('ef')]));
  const peers: JobPeers = {
    ...NO_PEERS,
    cancelElsewhere: async (job, caller) =>
      link.isCut ? { failure: await now.service.cancelHere(job, caller, never) } : undefined,
  };
  const before = jobNode(link, OWNER, new ScriptedEngine([stream('ab')]), peers);
  before.registry.put(worker('w1'));
  test.teardown(() => {
    before.dispatcher.stop();
    now.dispatcher.stop();
  });
  await before.service.submit(specification('job', 2), always);
  await workUntil(before, () => before.service.ownedJobs()[0]?.results.length === 1);

  link.isCut = true;
  const head = await new JobStore(emulator, PROCESS_CLOCK).head('job');
  if (head.kind !== 'found') throw new Error(head.kind);
  now.registry.put(worker('w1'));
  // The owner of before does not hear of it: it does not answer who takes the job over.
  t.ok(await now.service.takeOver('job', head.value));
  await workUntil(now, isFinished(now));
  t.equal(await before.service.cancel('job', UNRESTRICTED, never), undefined);

  const reader = jobNode(emulator, READER, new ScriptedEngine(), {
    ...NO_PEERS,
    likelyOwners: () => [OWNER],
    ownerListing: async (owner, job, after, wait) => {
      const asked = owner.node === OWNER.node ? before : now;
      const listing = await asked.service.ownListing(job, after, wait);
      return listing.isOwner ? listing : undefined;
    },
    bodyAtOwner: async (job, item) => {
      const told = before.service.ownItemBody(job, item);
      return told.isOwner ? told : undefined;
    },
  });
  return { link, before, now, reader };
}

const READER = { node: 'node-3', incarnation: 'life-3', address: '127.0.0.1:3' };

async function idsAt(node: JobNode, after: number): Promise<string[] | string> {
  const read = await node.service.read('job', after, 0, UNRESTRICTED);
  return 'detail' in read ? read.kind : read.results.map(({ id }) => id);
}

t.test('an owner that passed an end on does not answer for what others listed', async (t) => {
  const { before, now, reader } = await passedOnEnd(t);
  const all = await idsAt(now, 0);
  t.equal(all.length, 2);
  t.same(await idsAt(reader, 1), all.slice(1));
  t.equal(await idsAt(before, 1), 'ledger_unavailable', 'it can be sure of nothing while cut off');
  t.same(await before.service.ownListing('job', 0, 0), { isOwner: false });
});

t.test('it answers by the store once that is back', async (t) => {
  const { before, now, link } = await passedOnEnd(t);
  link.isCut = false;
  t.same(await idsAt(before, 0), await idsAt(now, 0));
  t.equal(await before.service.cancel('job', UNRESTRICTED, never), undefined);
  t.ok(await before.service.cancelOwn('job', UNRESTRICTED), 'for others it has ended too');
});

/** A caller that gives up before the store answers leaves its end under way. */
t.test('a job whose end the store took late runs nothing more', async (t) => {
  const emulator = new SharedStoreEmulator();
  const node = jobNode(emulator, OWNER);
  await node.service.submit(specification('job', 1), always);
  const ticker = keepWorking(node);
  t.teardown(() => clearInterval(ticker));
  emulator.setAvailability('refusing');
  t.equal((await node.service.cancel('job', UNRESTRICTED, never))?.kind, 'ledger_unavailable');
  emulator.setAvailability('up');
  await eventually(() => node.service.ownedJobs()[0]?.closeReason === 'ended');
});
