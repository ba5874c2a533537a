import t from 'tap';
import { PlatformStore } from '../../../lab/soak/platform-store.js';
import { StoreClient } from '../../../platform/store-client.js';
import { eventually } from '../../fleet/fleet-fixtures.js';

async function fixture(test: { teardown(work: () => void): void }) {
  const store = new PlatformStore();
  const client = new StoreClient(await store.start());
  test.teardown(() => store.stop());
  return { store, client };
}

t.test('the adapter commits, reads and watches through the stand-in', async (t) => {
  const { client } = await fixture(t);
  const put = [{ key: 'a/1', value: 'one' }];
  const made = await client.commit({ expected: [{ key: 'a/1', revision: 0 }], put });
  t.match(made, { kind: 'committed', revision: 1 });
  t.match(await client.commit({ expected: [{ key: 'a/1', revision: 0 }], put }), {
    kind: 'conflict',
  });
  t.match(await client.get('a/1'), { item: { key: 'a/1', value: 'one', revision: 1 } });
  t.match(await client.get('a/2'), { kind: 'item', item: undefined });
  t.match(await client.range('a/'), { items: [{ key: 'a/1' }], revision: 1 });
  const { signal } = new AbortController();
  const waiting = client.watch('a/', 1, 5_000, signal);
  await client.commit({ expected: [], remove: ['a/1'] });
  t.match(await waiting, { changes: [{ key: 'a/1', value: undefined }], revision: 2 });
});

t.test('a lease that is not renewed takes its keys along', async (t) => {
  const { store, client } = await fixture(t);
  const grant = await client.grantLease(60);
  if (grant.kind !== 'granted') throw new Error(grant.kind);
  await client.commit({ expected: [], put: [{ key: 'k', value: 'v', lease: grant.lease }] });
  t.equal(store.emulator.valueOf('k'), 'v');
  await eventually(() => store.emulator.valueOf('k') === undefined);
  t.match(await client.renewLease(grant.lease), { kind: 'gone' });
});

t.test('a store that refuses, forgets or loses answers shows it to the adapter', async (t) => {
  const { store, client } = await fixture(t);
  store.emulator.write('a/1', 'one');
  store.emulator.setAvailability('refusing');
  t.same(await client.get('a/1'), { kind: 'failed', effect: 'not-done' });
  store.emulator.setAvailability('up');
  store.emulator.loseAnswers('applied');
  const put = [{ key: 'a/2', value: 'two' }];
  t.same(await client.commit({ expected: [], put }), { kind: 'failed', effect: 'unknown' });
  t.equal(store.emulator.valueOf('a/2'), 'two');
  store.emulator.compact();
  const { signal } = new AbortController();
  t.match(await client.watch('a/', 1, 100, signal), { kind: 'compacted' });
});

t.test('a door that turns its callers away leaves the others served', async (t) => {
  const { store, client } = await fixture(t);
  const door = await store.open();
  const turnedAway = new StoreClient(door.address);
  const grant = await turnedAway.grantLease(60_000);
  if (grant.kind !== 'granted') throw new Error(grant.kind);
  await turnedAway.commit({ expected: [], put: [{ key: 'k', value: 'v', lease: grant.lease }] });
  door.refuse('throttled');
  t.match(await turnedAway.get('k'), { kind: 'failed' }, 'kept connections are cut');
  t.same(await turnedAway.get('k'), { kind: 'failed', effect: 'not-done' });
  t.match(await client.get('k'), { kind: 'item', item: { value: 'v' } });
  door.refuse('unavailable');
  t.same(await turnedAway.renewLease(grant.lease), { kind: 'failed', effect: 'not-done' });
  door.revokeKeys();
  t.match(await client.get('k'), { kind: 'item', item: undefined });
  door.refuse(undefined);
  t.match(await turnedAway.renewLease(grant.lease), { kind: 'gone' });
});

t.test('a door that holds reads lets renewals, watches and commits through', async (t) => {
  const { store } = await fixture(t);
  const kept: string[] = [];
  const door = await store.open((url, refusal) => kept.push(`${refusal} ${url.split('?')[0]}`));
  const client = new StoreClient(door.address);
  const grant = await client.grantLease(60_000);
  if (grant.kind !== 'granted') throw new Error(grant.kind);
  const end = door.keepBack('read', 'held');
  t.match(await client.get('k'), { kind: 'failed', effect: 'unknown' });
  t.match(await client.range('k'), { kind: 'failed', effect: 'unknown' });
  t.match(await client.renewLease(grant.lease), { kind: 'kept' });
  const { signal } = new AbortController();
  const waiting = client.watch('k', 0, 2_000, signal);
  t.match(await client.commit({ expected: [], put: [{ key: 'k', value: 'v' }] }), {
    kind: 'committed',
  });
  t.match(await waiting, { kind: 'changes', changes: [{ key: 'k' }] });
  t.same(kept, ['held /wardwing/kv-key', 'held /wardwing/kv-range']);
  end();
  t.match(await client.get('k'), { kind: 'item', item: { value: 'v' } });
});

t.test('watches that wait already are kept from their answers, and later ones', async (t) => {
  const { store, client } = await fixture(t);
  const door = await store.open();
  const struck = new StoreClient(door.address);
  const { signal } = new AbortController();
  const waiting = struck.watch('k', 0, 200, signal);
  const served = client.watch('k', 0, 2_000, signal);
  const endHeld = door.keepBack('watch', 'held');
  store.emulator.write('k', 'v');
  t.match(await served, { kind: 'changes', changes: [{ key: 'k' }] });
  t.match(await waiting, { kind: 'failed', effect: 'unknown' });
  const endRefused = door.keepBack('watch', 'unavailable');
  endHeld();
  t.same(await struck.watch('k', 0, 200, signal), { kind: 'failed', effect: 'not-done' });
  t.match(await struck.get('k'), { kind: 'item', item: { value: 'v' } });
  endRefused();
  t.match(await struck.watch('k', 0, 200, signal), { kind: 'changes' });
});
