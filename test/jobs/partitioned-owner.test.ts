/**
 * Guards against the loss of work when a partitioned owner releases its job to the node that takes
 * it over.
 */
import { Readable } from 'node:stream';
import t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { StoreLink } from '../../lab/emulator/store-link.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import type { EngineOutcome } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { eventually } from '../fleet/fleet-fixtures.js';
import { answer, events, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { always, OTHER, OWNER, specification } from './job-fixtures.js';
import { jobNode, keepWorking } from './job-node.js';

/** A stream that sends some events and then stalls. */
function stallingAnswer(letters: string): EngineOutcome {
  const body = new Readable({ read: () => {} });
  body.push(Buffer.from(events(0, letters)));
  return answer('', { body, isStream: true });
}

/** A partitioned owner of a job of two items; one is completed, one has two events. */
async function partitionedOwner() {
  const emulator = new SharedStoreEmulator();
  const link = new StoreLink(emulator);
  const engine = new ScriptedEngine([
    answer(events(0, 'ab'), { isStream: true }),
    stallingAnswer('xy'),
  ]);
  const owner = jobNode(link, OWNER, engine);
  owner.registry.put(worker('w1'));
  await owner.service.submit(specification('job', 2), always);
  link.isCut = true;
  const ticker = keepWorking(owner);
  const job = owner.service.ownedJobs()[0];
  const stop = (): void => {
    clearInterval(ticker);
    owner.dispatcher.stop();
    for (const open of owner.service.ownedJobs()) open.abandon();
  };
  await eventually(() => {
    const progress = job?.unfinishedProgress()['item-0'];
    return job?.finishedResults().length === 1 && progress?.events.length === 2;
  });
  return { emulator, owner, engine, stop };
}

t.test('a job passes from a partitioned owner to the new one with all work on it', async (t) => {
  const { emulator, owner, engine, stop } = await partitionedOwner();
  t.equal(owner.service.ownedJobs()[0]?.results.length, 0, 'no results could be listed');
  const nextEngine = new ScriptedEngine([answer(events(2, 'z'), { isStream: true })]);
  const peers = {
    ...NO_PEERS,
    releaseAtOwner: async (_: unknown, job: string) => owner.service.releaseTakenOver(job),
  };
  const nextOwner = jobNode(emulator, OTHER, nextEngine, peers);
  nextOwner.registry.put(worker('w1'));
  const head = await new JobStore(emulator, PROCESS_CLOCK).head('job');
  if (head.kind !== 'found') throw new Error(head.kind);
  t.equal(await nextOwner.service.takeOver('job', head.value, true), true);
  const ticker = keepWorking(nextOwner);
  await eventually(() => nextOwner.service.ownedJobs()[0]?.isOpen === false);
  clearInterval(ticker);
  const read = await nextOwner.service.read('job', 0, 0, UNRESTRICTED);
  const texts = 'results' in read ? read.results.map(({ id, text }) => [id, text]) : [];
  t.same(texts.sort(), [
    ['item-0', 'x\ny\nz'],
    ['item-1', 'a\nb'],
  ]);
  t.same(
    nextEngine.requests.map(({ requestId, lastEventId }) => [requestId, lastEventId]),
    [['item-0', 1]],
    'only the rest of the unfinished item is run',
  );
  t.equal(owner.service.ownedJobs()[0]?.closeReason, 'superseded');
  t.same(engine.cancelled.length <= 1 && engine.requests.length, 2, 'the owner sends nothing more');
  stop();
});

t.test('an unconfirmed owner does not report that nothing more is listed', async (t) => {
  const { owner, stop } = await partitionedOwner();
  await PROCESS_CLOCK.sleep(800);
  t.same(await owner.service.ownListing('job', 0, 0), { isOwner: false });
  const read = await owner.service.read('job', 0, 0, UNRESTRICTED);
  t.match(read, { kind: 'ledger_unavailable' });
  stop();
});

t.test('a partitioned node forwards submissions, reads and cancellations', async (t) => {
  const slice = { total: 3, results: [], nextPosition: 0 };
  const cancelled: string[] = [];
  const peers = {
    ...NO_PEERS,
    submitElsewhere: async () => ({ kind: 'answered', failure: undefined }) as const,
    readElsewhere: async () => slice,
    cancelElsewhere: async (job: string) => {
      cancelled.push(job);
      return { failure: undefined };
    },
  };
  const emulator = new SharedStoreEmulator();
  emulator.setAvailability('refusing');
  const node = jobNode(emulator, OWNER, new ScriptedEngine(), peers);
  t.equal(await node.service.submit(specification('job', 1), always), undefined);
  t.same(node.service.ownedJobs(), [], 'the other node runs the job');
  t.equal(await node.service.read('job', 0, 0, UNRESTRICTED), slice);
  t.equal(await node.service.cancel('job', UNRESTRICTED, always), undefined);
  t.same(cancelled, ['job']);
  node.dispatcher.stop();
});
