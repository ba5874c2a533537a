/** Guards against a relay reporting no changes while its watch waits on a stalled connection. */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { DirectPrefixes } from '../../src/fleet/direct-prefixes.js';
import { followerLimits } from '../../src/fleet/prefix-freshness.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { CHANGE_BOUND, RelayedFleet } from './relayed-fleet.js';

/** Time in addition to the bound for machines that lost their connections. */
const RECOVERY_TIME = 1_000;

t.test('a change arrives in time although open watches are stalled', async (t) => {
  const zones = { 'node-1': 'zone-1', 'node-2': 'zone-1', 'node-3': 'zone-2', 'node-4': 'zone-2' };
  const fleet = new RelayedFleet(zones);
  await fleet.start();
  // Watches start after the delay that coalesces changes.
  await PROCESS_CLOCK.sleep(300);
  fleet.silenceOpenWatches();
  const time = await fleet.propagationTime('changed', fleet.names());
  t.ok(time < CHANGE_BOUND + RECOVERY_TIME, `received after ${time} ms`);
  fleet.stop();
});

t.test('followers of a relay whose watch is stalled receive a change in time', async (t) => {
  const zones = { 'node-1': 'zone-1', 'node-2': 'zone-1', 'node-3': 'zone-2', 'node-4': 'zone-2' };
  const fleet = new RelayedFleet(zones, { renewalInterval: 600 });
  await fleet.start();
  await PROCESS_CLOCK.sleep(300);
  fleet.silenceOpenWatches();
  const time = await fleet.propagationTime('changed', fleet.followers());
  t.ok(time < CHANGE_BOUND, `received after ${time} ms`);
  fleet.stop();
});

t.test(
  'followers receive a change in time although all watches of their relays stall',
  async (t) => {
    const zones = ['far-1', 'far-2', 'near-1'];
    const nodes = zones.flatMap((zone) => ['a', 'b', 'c'].map((name) => [`${zone}/${name}`, zone]));
    const fleet = new RelayedFleet(
      Object.fromEntries(nodes),
      { renewalInterval: 600 },
      (zone) => zone.split('-')[0] ?? zone,
    );
    await fleet.start();
    // Relays that were requested before they watched are excluded for 2 s.
    await PROCESS_CLOCK.sleep(3_000);
    for (const relay of fleet.relays()) fleet.withoutWatches.add(relay);
    for (const change of ['first', 'second', 'third']) {
      const time = await fleet.propagationTime(change, fleet.followers());
      t.comment(`received after ${Math.round(time)} ms`);
      t.ok(time < CHANGE_BOUND, `received after ${time} ms`);
    }
    fleet.stop();
  },
);

async function missedInPause(phase: number): Promise<number> {
  const zones = ['zone-1', 'zone-2'];
  const nodes = zones.flatMap((zone) => ['a', 'b', 'c'].map((name) => [`${zone}/${name}`, zone]));
  const delays = { renewalInterval: 600, coalesce: 400 };
  const fleet = new RelayedFleet(Object.fromEntries(nodes), delays);
  await fleet.start();
  // Relays that were requested before they watched are excluded for 2 s.
  await PROCESS_CLOCK.sleep(3_000 + phase);
  await fleet.propagationTime('before', fleet.relays());
  await PROCESS_CLOCK.sleep(20);
  for (const relay of fleet.relays()) fleet.withoutWatches.add(relay);
  const time = await fleet.propagationTime('missed', fleet.followers());
  fleet.stop();
  return time;
}

t.test('followers receive a change in time that a stalled relay missed in its pause', async (t) => {
  // Spread over the time between two renewals of a lease.
  const phases = Array.from({ length: 12 }, (_, index) => 50 * index);
  const times = await Promise.all(phases.map((phase) => missedInPause(phase)));
  t.comment(`received after ${times.map(Math.round).join(', ')} ms`);
  t.same(
    times.filter((time) => time >= CHANGE_BOUND),
    [],
  );
});

t.test(
  'renewals let the data of a stalled watch count as little more recent than it is',
  async (t) => {
    const store = new SharedStoreEmulator();
    store.write('workers/w1', 'ready');
    store.deafenWatches();
    const direct = new DirectPrefixes({
      ...{ store, clock: PROCESS_CLOCK, renewalAge: () => 0, boundPrefixes: ['workers/'] },
      changeBound: () => CHANGE_BOUND,
    });
    await direct.list('workers/');
    const listedAt = PROCESS_CLOCK.now();
    await PROCESS_CLOCK.sleep(400);
    const abort = new AbortController();
    void direct.watch('workers/', 1, 60_000, abort.signal);
    await PROCESS_CLOCK.sleep(500);
    const request = { kind: 'follow-prefix', prefix: 'workers/', after: 1, wait: 0 } as const;
    const answer = await direct.answer({ ...request, maxAge: CHANGE_BOUND });
    const age = answer.isCurrent && answer.changes !== undefined ? (answer.freshness?.age ?? 0) : 0;
    const unproven = PROCESS_CLOCK.now() - listedAt - age;
    abort.abort();
    const followerAge = followerLimits(CHANGE_BOUND).store;
    t.ok(unproven + followerAge < 0.96 * CHANGE_BOUND, `${unproven} + ${followerAge} ms`);
  },
);
