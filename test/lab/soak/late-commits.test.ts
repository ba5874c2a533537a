/** Commits that the store of a soak carries out late and without an answer. */
import t from 'tap';
import { LateCommits } from '../../../lab/soak/late-commits.js';
import { PlatformStore } from '../../../lab/soak/platform-store.js';
import { StoreClient } from '../../../platform/store-client.js';
import { createRandomSource } from '../../../src/core/random.js';
import { eventually } from '../../fleet/fleet-fixtures.js';

t.test('a late commit is carried out after its sender gave up, if it still may be', async (t) => {
  const store = new PlatformStore(createRandomSource(1));
  t.teardown(() => store.stop());
  const door = await store.open();
  const late = new StoreClient(door.address);
  const other = new StoreClient(await store.start());
  door.lateShare = 1;
  const put = (key: string, value: string) => ({
    expected: [{ key, revision: 0 }],
    put: [{ key, value }],
  });
  const answers = [late.commit(put('free', 'late')), late.commit(put('taken', 'late'))];
  t.match(await other.commit(put('taken', 'first')), { kind: 'committed' }, 'others are served');
  const lost = { kind: 'failed', effect: 'unknown' };
  t.same(await Promise.all(answers), [lost, lost]);
  t.equal(store.emulator.valueOf('free'), undefined);
  await eventually(() => !store.lateCommits.areUnderWay);
  t.equal(store.emulator.valueOf('free'), 'late');
  t.equal(store.emulator.valueOf('taken'), 'first');
  t.same(store.lateCommits.counts, { held: 2, carriedOut: 1, conflicting: 1 });
});

t.test('about the share of the commits is late, and none without a share', async (t) => {
  const commits = new LateCommits(
    { applyLate: () => ({ kind: 'conflict' }) },
    createRandomSource(5),
  );
  t.teardown(() => commits.stop());
  const take = (share: number): number =>
    Array.from({ length: 200 }, () => commits.takes({ expected: [] }, share)).filter(Boolean)
      .length;
  t.equal(take(0), 0);
  const late = take(0.7);
  t.ok(late > 110 && late < 170, `${late} of 200`);
});
