/**
 * Guards against a partitioned former owner that forwards a cancellation and then keeps answering
 * reads from its own list, although the new owner has listed more results.
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

interface ForwardedCancellation {
  readonly link: StoreLink;
  /** Owned the job, was partitioned, and forwarded its cancellation. */
  readonly formerOwner: JobNode;
  /** Took the job over and listed all results. */
  readonly newOwner: JobNode;
  /** A node that queries the former owner first. */
  readonly reader: JobNode;
}

/** A job that its new owner has finished, and whose former owner has forwarded a cancellation. */
async function forwardedCancellation(
  test: Pick<typeof t, 'teardown'>,
): Promise<ForwardedCancellation> {
  const emulator = new SharedStoreEmulator();
  const link = new StoreLink(emulator);
  const newOwner = jobNode(emulator, OTHER, new ScriptedEngine([stream('cd'), stream('ef')]));
  const peers: JobPeers = {
    ...NO_PEERS,
    cancelElsewhere: async (job, caller) =>
      link.isCut ? { failure: await newOwner.service.cancelHere(job, caller, never) } : undefined,
  };
  const formerOwner = jobNode(link, OWNER, new ScriptedEngine([stream('ab')]), peers);
  formerOwner.registry.put(worker('w1'));
  test.teardown(() => {
    formerOwner.dispatcher.stop();
    newOwner.dispatcher.stop();
  });
  await formerOwner.service.submit(specification('job', 2), always);
  await workUntil(formerOwner, () => formerOwner.service.ownedJobs()[0]?.results.length === 1);

  link.isCut = true;
  const head = await new JobStore(emulator, PROCESS_CLOCK).head('job');
  if (head.kind !== 'found') throw new Error(head.kind);
  newOwner.registry.put(worker('w1'));
  // The takeover does not query the former owner, which does not learn of it.
  t.ok(await newOwner.service.takeOver('job', head.value));
  await workUntil(newOwner, isFinished(newOwner));
  t.equal(await formerOwner.service.cancel('job', UNRESTRICTED, never), undefined);

  const reader = jobNode(emulator, READER, new ScriptedEngine(), {
    ...NO_PEERS,
    likelyOwners: () => [OWNER],
    ownerListing: async (owner, job, after, wait) => {
      const queried = owner.node === OWNER.node ? formerOwner : newOwner;
      const listing = await queried.service.ownListing(job, after, wait);
      return listing.isOwner ? listing : undefined;
    },
    bodyAtOwner: async (job, item) => {
      const reported = formerOwner.service.ownItemBody(job, item);
      return reported.isOwner ? reported : undefined;
    },
  });
  return { link, formerOwner, newOwner, reader };
}

const READER = { node: 'node-3', incarnation: 'life-3', address: '127.0.0.1:3' };

async function idsAt(node: JobNode, after: number): Promise<string[] | string> {
  const read = await node.service.read('job', after, 0, UNRESTRICTED);
  return 'detail' in read ? read.kind : read.results.map(({ id }) => id);
}

t.test(
  'an owner that forwarded a cancellation does not answer for results that others listed',
  async (t) => {
    const { formerOwner, newOwner, reader } = await forwardedCancellation(t);
    const all = await idsAt(newOwner, 0);
    t.equal(all.length, 2);
    t.same(await idsAt(reader, 1), all.slice(1));
    t.equal(
      await idsAt(formerOwner, 1),
      'ledger_unavailable',
      'it cannot confirm that nothing more is listed',
    );
    t.same(await formerOwner.service.ownListing('job', 0, 0), { isOwner: false });
  },
);

t.test('a former owner answers from the store once that is reachable', async (t) => {
  const { formerOwner, newOwner, link } = await forwardedCancellation(t);
  link.isCut = false;
  t.same(await idsAt(formerOwner, 0), await idsAt(newOwner, 0));
  t.equal(await formerOwner.service.cancel('job', UNRESTRICTED, never), undefined);
  t.ok(
    await formerOwner.service.cancelOwn('job', UNRESTRICTED),
    'it reports the job as cancelled to other nodes',
  );
});

/** A cancellation stays in progress after its caller has stopped waiting for the store. */
t.test('a job whose cancellation the store accepted late runs nothing more', async (t) => {
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
