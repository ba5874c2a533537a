/** Guards against a trainer that is rejected for ever once all its journal replicas are lost. */
import t from 'tap';
import { type AbandonOutcome, LostReplicas } from '../../src/jobs/lost-replicas.js';
import { REPLICA_PREFIX, replicaRecordOf } from '../../src/journal/replica-record.js';
import type { SharedStore } from '../../src/shared-store/shared-store.js';
import { acceptStep, JOB, LISTING_TIME, step } from './zone-trainer.js';
import { type ZoneNode, ZonesWithStore } from './zones-with-store.js';

type Test = Parameters<typeof ZonesWithStore.open>[0];

interface LostGroup {
  readonly zones: ZonesWithStore;
  readonly node: ZoneNode;
  readonly operator: LostReplicas;
  readonly trainer: string;
}

/** A trainer whose three replicas are gone; the zone has three others. */
async function lostGroup(test: Test): Promise<LostGroup> {
  const zones = await ZonesWithStore.open(test, 1, 6);
  const node = zones.start('zone-1');
  await acceptStep(zones, node, 0);
  await zones.run(LISTING_TIME);
  const operator = new LostReplicas(zones.store, zones.clock);
  const [found] = (await operator.trainers()) ?? [];
  if (found === undefined) throw new Error('no trainer');
  const zone = zones.zone('zone-1');
  for (const { address } of found.record.replicas) {
    zone.unreachable.add(address);
    await zones.expireRecord(address, node);
  }
  const { trainer } = found;
  return { zones, node, operator, trainer };
}

t.test('a trainer whose replicas are lost is accepted once they are given up', async (t) => {
  const { zones, node, operator, trainer } = await lostGroup(t);
  const before = await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000);
  t.equal(before, 'outcome_unknown', 'no disk can be fenced');
  t.match(await operator.abandon(trainer), { kind: 'abandoned' });
  t.equal(await zones.answerOf(zones.submit(node, step(JOB, 1)), 10_000), 'accepted');
  await zones.run(LISTING_TIME);
  const [after] = (await operator.trainers()) ?? [];
  t.match(after?.record, { lastStep: 1, replicas: { length: 3 } }, 'with new replicas');
  zones.setStore('refusing', node);
  const answer = await zones.answerOf(zones.submit(node, step('next', 2)), 10_000);
  t.equal(answer, 'accepted', 'by the journal of the new replicas');
});

t.test('replicas that are registered are not given up', async (t) => {
  const { zones, operator, trainer } = await lostGroup(t);
  const [found] = (await operator.trainers()) ?? [];
  const [location] = found?.record.replicas ?? [];
  if (location === undefined) throw new Error('no replica');
  const key = `${REPLICA_PREFIX}${location.node}`;
  const value = replicaRecordOf(location);
  await zones.store.commit({ expected: [], put: [{ key, value }] });
  t.strictSame(await operator.abandon(trainer), { kind: 'in-use', replicas: [location] });
  t.same(await operator.abandon('job/trainer/unknown'), { kind: 'unknown-trainer' });
});

t.test('a commit that conflicts or has no answer is reported as such', async (t) => {
  const { zones, trainer } = await lostGroup(t);
  const withCommit = (commit: SharedStore['commit']): Promise<AbandonOutcome> =>
    new LostReplicas({ range: (prefix) => zones.store.range(prefix), commit }, zones.clock).abandon(
      trainer,
    );
  t.same(await withCommit(async () => ({ kind: 'conflict' })), { kind: 'conflict' });
  t.same(await withCommit(async () => ({ kind: 'failed', effect: 'unknown' })), {
    kind: 'unavailable',
    mayBeDone: true,
  });
});
