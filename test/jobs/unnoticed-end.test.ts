/**
 * Guards against an owner that goes on sending the items of a job which another node has cancelled in
 * the store, because the zone's journal confirms its ownership while the store does not.
 */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import type { JobSpecification } from '../../src/jobs/job-records.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { scoredSpecification } from './job-fixtures.js';
import { SendRecorder } from './send-recorder.js';
import { SLOW_ANSWER_TIME, type StorePortMode } from './store-port.js';
import { JOB, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

/** Items may reach workers for this long after the cancellation of their job. */
const MAX_SEND_DELAY: Milliseconds = 3_000;

/** Longest pause between two requests while nothing keeps an owner from sending. */
const MAX_PAUSE: Milliseconds = 150;

/** Number of journal replicas of each zone. */
type Replicas = 0 | 3;

interface CancellableJob {
  readonly zones: ZonesWithStore;
  readonly owner: ZoneNode;
  readonly engine: SendRecorder;
  /** Cancels the job in the store without a message to its owner; returns when it was cancelled. */
  readonly cancelInStore: () => Promise<Milliseconds>;
}

/** A job whose owner sends its items all the time. */
async function cancellableJob(
  test: Parameters<typeof ZonesWithStore.open>[0],
  replicas: Replicas,
  spec: JobSpecification = step(JOB, 0),
): Promise<CancellableJob> {
  const zones = await ZonesWithStore.open(test, 2, replicas);
  const engine = new SendRecorder(zones.clock);
  const owner = zones.start('zone-1', undefined, engine);
  const other = zones.start('zone-2');
  const answer = await zones.answerOf(zones.submit(owner, spec), 10_000);
  if (answer !== 'accepted') throw new Error(`the submission was answered ${answer}`);
  await zones.run(1_000);
  const cancelInStore = async (): Promise<Milliseconds> => {
    zones.partitioned.add('zone-2');
    const cancellation = other.service.cancel(JOB, UNRESTRICTED, () => true);
    const outcome = await zones.answerOf(cancellation.then((failure) => ({ failure })));
    if (outcome?.failure !== undefined) throw new Error(outcome.failure.detail);
    if (outcome === undefined) throw new Error('the cancellation was not answered');
    return zones.clock.now();
  };
  return { zones, owner, engine, cancelInStore };
}

const READ_FAULTS: readonly StorePortMode[] = ['reads-silent', 'reads-refusing'];

for (const replicas of [3, 0] as const) {
  const journal = replicas === 0 ? 'without a journal' : 'with a journal';
  for (const mode of READ_FAULTS) {
    t.test(`no item is sent long after the end of its job, ${mode}, ${journal}`, async (t) => {
      const { zones, owner, engine, cancelInStore } = await cancellableJob(t, replicas);
      zones.setStore(mode, owner);
      const cancelledAt = await cancelInStore();
      await zones.run(MAX_SEND_DELAY + 4_000);
      t.equal(engine.sentAfter(cancelledAt + MAX_SEND_DELAY).length, 0);
      zones.setStore('up', owner);
      await zones.run(1_500);
      t.equal(owner.service.ownedJobs()[0]?.closeReason, 'ended');
      await zones.close();
    });
  }
}

t.test('a page that only the journal has does not rule out an end in the store', async (t) => {
  const { zones, owner, engine, cancelInStore } = await cancellableJob(t, 3);
  zones.setStore('keys-silent', owner);
  const cancelledAt = await cancelInStore();
  await zones.run(MAX_SEND_DELAY - 500);
  engine.completing.add('item-0');
  await zones.run(3_000);
  t.equal(engine.sentAfter(cancelledAt + MAX_SEND_DELAY).length, 0);
  await zones.close();
});

t.test('an owner with unstored results notices an end in the store', async (t) => {
  const { zones, owner, engine, cancelInStore } = await cancellableJob(t, 3);
  zones.setStore('late-and-unanswered', owner);
  engine.completing.add('item-0');
  await zones.run(1_000);
  t.equal(owner.service.ownedJobs()[0]?.results.length, 1, 'the journal has a page');
  const cancelledAt = await cancelInStore();
  await zones.run(MAX_SEND_DELAY + 3_000);
  t.equal(engine.sentAfter(cancelledAt + MAX_SEND_DELAY).length, 0);
  await zones.close();
});

t.test(
  'an owner that reaches the store again sends nothing before it has read the head',
  async (t) => {
    const { zones, owner, engine, cancelInStore } = await cancellableJob(t, 3);
    zones.setStore('silent', owner);
    await cancelInStore();
    await zones.run(MAX_SEND_DELAY);
    t.ok(engine.sentAfter(zones.clock.now() - 200).length > 0, 'it sends while the store is away');
    zones.setStore('reads-silent', owner);
    const reachedAt = zones.clock.now();
    await zones.run(3_000);
    zones.setStore('up', owner);
    await zones.run(1_500);
    t.equal(engine.sentAfter(reachedAt).length, 0);
    t.equal(owner.service.ownedJobs()[0]?.closeReason, 'ended');
    await zones.close();
  },
);

const TOLERATED: readonly StorePortMode[] = ['slow', 'late-and-unanswered', 'silent', 'refusing'];

for (const mode of TOLERATED) {
  t.test(`an owner that lists results goes on sending, ${mode}`, async (t) => {
    const { zones, owner, engine } = await cancellableJob(t, 3);
    zones.setStore(mode, owner);
    engine.completing.add('item-0');
    const from = zones.clock.now();
    await zones.run(10_000);
    t.equal(owner.service.ownedJobs()[0]?.results.length, 1);
    t.ok(engine.longestPauseSince(from) <= MAX_PAUSE, `${engine.longestPauseSince(from)} ms`);
    await zones.close();
  });
}

t.test('a commit that hangs without a journal does not stop a healthy owner', async (t) => {
  const { zones, owner, engine } = await cancellableJob(t, 0);
  zones.setStore('late-and-unanswered', owner);
  engine.completing.add('item-0');
  const from = zones.clock.now();
  await zones.run(8_000);
  t.ok(engine.longestPauseSince(from) <= MAX_PAUSE, `${engine.longestPauseSince(from)} ms`);
  await zones.close();
});

t.test('a job that ends while its new owner reads it is not run', async (t) => {
  const { zones, owner, cancelInStore } = await cancellableJob(t, 3);
  zones.end(owner);
  const engine = new SendRecorder(zones.clock);
  const newOwner = zones.start('zone-1', undefined, engine);
  const read = await new JobStore(zones.store, zones.clock).head(JOB);
  if (read.kind !== 'found') throw new Error(read.kind);
  zones.setStore('slow', newOwner);
  const takeover = newOwner.service.takeOver(JOB, read.value);
  await zones.run(SLOW_ANSWER_TIME);
  zones.setStore('reads-silent', newOwner);
  await cancelInStore();
  await zones.run(MAX_SEND_DELAY);
  zones.setStore('up', newOwner);
  t.ok(await zones.answerOf(takeover));
  await zones.run(3_000);
  t.equal(engine.sends.length, 0);
  t.equal(newOwner.service.ownedJobs()[0]?.closeReason, 'ended');
  await zones.close();
});

t.test('no score is requested long after the end of a job', async (t) => {
  const spec = scoredSpecification(JOB, 2);
  const { zones, owner, engine, cancelInStore } = await cancellableJob(t, 3, spec);
  owner.registry.put(worker('s1', { service: 'scorers' }));
  for (const { id } of spec.items) engine.completing.add(id);
  await zones.run(500);
  zones.setStore('reads-silent', owner);
  const cancelledAt = await cancelInStore();
  t.ok(engine.sends.some(({ id }) => id === 'score-0'));
  await zones.run(MAX_SEND_DELAY + 3_000);
  t.equal(engine.sentAfter(cancelledAt + MAX_SEND_DELAY).length, 0);
  await zones.close();
});

t.test('a run is not moved while its item could not be sent again', async (t) => {
  const zones = await ZonesWithStore.open(t, 1);
  const engine = new ScriptedEngine();
  const owner = zones.start('zone-1', undefined, engine);
  owner.registry.remove('w1');
  t.equal(await zones.answerOf(zones.submit(owner, step(JOB, 0)), 10_000), 'accepted');
  zones.setStore('reads-silent', owner);
  await zones.run(1_800);
  owner.registry.put(worker('w1'));
  owner.registry.put(worker('w2'));
  await zones.run(2_000);
  const { length: sent } = engine.requests;
  t.same([sent, engine.cancelled.length], [2, 0]);
  zones.setStore('up', owner);
  await zones.run(1_000);
  t.ok(engine.cancelled.length > 0, 'stalled runs are moved once the job is confirmed');
  await zones.close();
});

t.test('the log shows when items are held back, and who confirmed the ownership', async (t) => {
  const { zones, owner } = await cancellableJob(t, 3);
  zones.setStore('reads-silent', owner);
  await zones.run(5_000);
  zones.setStore('up', owner);
  await zones.run(1_500);
  zones.setStore('silent', owner);
  await zones.run(5_000);
  zones.setStore('up', owner);
  await zones.run(1_500);
  const changes = owner.lines
    .map((line) => JSON.parse(line))
    .filter(({ msg }) => msg === 'item-sending-changed')
    .map(({ sending, before, ownedBy }) => [before, sending, ownedBy]);
  t.same(changes, [
    ['confirmed', 'held-back', 'journal'],
    ['held-back', 'confirmed', 'store'],
    ['confirmed', 'store-unreachable', 'journal'],
    ['store-unreachable', 'held-back', 'journal'],
    ['held-back', 'confirmed', 'store'],
  ]);
  await zones.close();
});
