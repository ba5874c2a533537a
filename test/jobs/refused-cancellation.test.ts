/**
 * Guards against an owner without the store that goes on sending the items of a job after another
 * node has cancelled it for a caller.
 */
import t from 'tap';
import {
  PeerRequestHandler,
  type PeerRequestHandlerOptions,
} from '../../src/fleet/peer-request-handler.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { SendRecorder } from './send-recorder.js';
import { JOB, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

/** Items may reach workers for this long after the cancellation of their job. */
const MAX_SEND_DELAY = 3_000;

/** An owner in zones without journals that the store turned away after it accepted a job. */
async function turnedAwayOwner(
  test: Parameters<typeof ZonesWithStore.open>[0],
): Promise<{ zones: ZonesWithStore; owner: ZoneNode; engine: SendRecorder }> {
  const zones = await ZonesWithStore.open(test, 2, 0);
  const engine = new SendRecorder(zones.clock);
  const owner = zones.start('zone-1', undefined, engine);
  const answer = await zones.answerOf(zones.submit(owner, step(JOB, 0)), 10_000);
  if (answer !== 'accepted') throw new Error(`the submission was answered ${answer}`);
  zones.setStore('refusing', owner);
  await zones.run(MAX_SEND_DELAY);
  test.teardown(() => zones.close());
  return { zones, owner, engine };
}

t.test('an owner sends nothing after it refused a cancellation of another node', async (t) => {
  const { zones, owner, engine } = await turnedAwayOwner(t);
  t.ok(engine.sentAfter(zones.clock.now() - 200).length > 0, 'it sends while the store is away');
  const handler = new PeerRequestHandler({
    fleet: { isStoreUnreachable: true },
    self: owner.self,
    jobs: () => owner.service,
    acceptsJobsWithoutStore: () => false,
  } as PeerRequestHandlerOptions);
  const answer = await handler.answer({ kind: 'end-job', job: JOB, caller: UNRESTRICTED });
  t.same(answer, { isEnded: false });
  const refusedAt = zones.clock.now();
  await zones.run(4_000);
  t.equal(engine.sentAfter(refusedAt).length, 0);
  zones.setStore('up', owner);
  await zones.run(1_000);
  t.ok(engine.sentAfter(refusedAt).length > 0, 'the store has the job as not cancelled');
});

t.test('an owner sends nothing while it cannot store a cancellation', async (t) => {
  const { zones, owner, engine } = await turnedAwayOwner(t);
  const cancellation = owner.service.cancel(JOB, UNRESTRICTED, () => false);
  t.match(await zones.answerOf(cancellation), { kind: 'ledger_unavailable' });
  const refusedAt = zones.clock.now();
  await zones.run(MAX_SEND_DELAY);
  t.equal(engine.sentAfter(refusedAt).length, 0);
  zones.setStore('up', owner);
  await zones.run(2_000);
  t.equal(owner.service.ownedJobs()[0]?.closeReason, 'ended');
});

t.test(
  'an owner whose lease has expired is asked to stop after its job was cancelled',
  async (t) => {
    const { zones, owner, engine } = await turnedAwayOwner(t);
    zones.withoutLease.add(owner);
    const other = zones.start('zone-2');
    const cancellation = other.service.cancel(JOB, UNRESTRICTED, () => true);
    const answer = await zones.answerOf(cancellation.then((failure) => ({ failure })));
    t.same(answer, { failure: undefined });
    const cancelledAt = zones.clock.now();
    await zones.run(MAX_SEND_DELAY + 2_000);
    t.equal(engine.sentAfter(cancelledAt + MAX_SEND_DELAY).length, 0);
  },
);

t.test('an owner sends nothing while its commit of a cancellation is unanswered', async (t) => {
  const { zones, owner, engine } = await turnedAwayOwner(t);
  zones.setStore('late-and-unanswered', owner);
  await zones.run(2_000);
  const cancellation = owner.service.cancel(JOB, UNRESTRICTED, () => false);
  t.match(await zones.answerOf(cancellation), { kind: 'ledger_unavailable' });
  const refusedAt = zones.clock.now();
  await zones.run(MAX_SEND_DELAY + 2_000);
  t.equal(engine.sentAfter(refusedAt).length, 0);
  zones.setStore('up', owner);
  await zones.run(2_000);
  t.equal(owner.service.ownedJobs()[0]?.closeReason, 'ended');
});
