/** Guards against a configuration that counts as more recent than the read that confirmed it. */
import t from 'tap';
import type { Milliseconds } from '../../src/core/units.js';
import { ConfigurationRefresh } from '../../src/fleet/configuration-refresh.js';
import type { StoreGetOutcome } from '../../src/shared-store/shared-store.js';

const KEY = 'configuration';
const CHANGE_BOUND: Milliseconds = 2_000;
const ITEM = { key: KEY, value: 'newer', revision: 7 };

class Fixture {
  now: Milliseconds = 10_000;
  suspended: Milliseconds = 0;
  feedAge: Milliseconds = 5_000;
  isStoreUnreachable = false;
  readonly applied: unknown[] = [];
  readonly reads: ((outcome: StoreGetOutcome) => void)[] = [];
  readonly refresh = new ConfigurationRefresh({
    store: { get: () => new Promise((resolve) => void this.reads.push(resolve)) },
    key: KEY,
    feedAge: () => this.feedAge,
    feedSource: () => 'relay-1',
    changeBound: () => CHANGE_BOUND,
    isStoreUnreachable: () => this.isStoreUnreachable,
    apply: (change) => void this.applied.push(change),
    clock: { now: () => this.now, suspendedTime: () => this.suspended },
  });
}

t.test('an answer is as old as its read, and callers share the read', async (t) => {
  const fixture = new Fixture();
  const { refresh } = fixture;
  t.notOk(refresh.isCurrent);
  const calls = [refresh.refresh(), refresh.refresh()];
  fixture.now += 200;
  fixture.reads[0]?.({ kind: 'item', item: ITEM });
  await Promise.all(calls);
  t.equal(fixture.reads.length, 1);
  t.same(fixture.applied, [ITEM]);
  t.equal(refresh.age, 200);
  t.equal(refresh.source, 'store');
  t.ok(refresh.isCurrent);
  fixture.suspended = 2_000;
  t.equal(refresh.age, 2_200);
  t.notOk(refresh.isCurrent);
});

t.test('the feed is the source while it is more recent', async (t) => {
  const fixture = new Fixture();
  fixture.feedAge = 1_500;
  t.ok(fixture.refresh.isCurrent);
  t.equal(fixture.refresh.source, 'relay-1');
  fixture.feedAge = 1_501;
  t.notOk(fixture.refresh.isCurrent, 'ages may be too low by a quarter of the bound');
});

t.test('a configuration that the store does not have is confirmed as absent', async (t) => {
  const fixture = new Fixture();
  const call = fixture.refresh.refresh();
  fixture.reads[0]?.({ kind: 'item', item: undefined });
  await call;
  t.same(fixture.applied, []);
  t.ok(fixture.refresh.isCurrent);
});

t.test('a read on a dead connection is repeated on another one', async (t) => {
  const fixture = new Fixture();
  const call = fixture.refresh.refresh();
  while (fixture.reads.length < 2) await new Promise((resolve) => setTimeout(resolve, 10));
  fixture.reads[1]?.({ kind: 'item', item: ITEM });
  await call;
  t.ok(fixture.refresh.isCurrent);
});

t.test('a store that fails a read is not read again at once', async (t) => {
  const fixture = new Fixture();
  const call = fixture.refresh.refresh();
  fixture.reads[0]?.({ kind: 'failed', effect: 'not-done' });
  await call;
  t.notOk(fixture.refresh.isCurrent);
  await fixture.refresh.refresh();
  t.equal(fixture.reads.length, 1);
  fixture.now += 300;
  void fixture.refresh.refresh();
  t.equal(fixture.reads.length, 2);
});

t.test('a store that does not answer this node is not read', async (t) => {
  const fixture = new Fixture();
  fixture.isStoreUnreachable = true;
  await fixture.refresh.refresh();
  t.equal(fixture.reads.length, 0);
});
