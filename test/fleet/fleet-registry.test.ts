import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { FleetRegistry, type NodeTermination } from '../../src/fleet/fleet-registry.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { OTHER, OWNER } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { eventually } from './fleet-fixtures.js';

function registry(store: SharedStoreEmulator): FleetRegistry {
  const { log } = recordingLog();
  const options = { store, self: OWNER, zone: 'zone-1' };
  return new FleetRegistry({ ...options, clock: PROCESS_CLOCK, log });
}

const record = (incarnation: string): string =>
  JSON.stringify({ incarnation, zone: 'zone-2', address: '127.0.0.1:2' });

t.test('a node registers itself and tracks nodes that join, are replaced and leave', async (t) => {
  const store = new SharedStoreEmulator();
  const fleet = registry(store);
  const terminations: NodeTermination[] = [];
  fleet.terminations.subscribe((termination) => terminations.push(termination));
  fleet.start();
  await eventually(() => fleet.isLive(OWNER));
  store.write('fleet/node/node-2', record('life-2'));
  await eventually(() => fleet.isLive(OTHER));
  t.equal(fleet.addressOf('node-2'), '127.0.0.1:2');
  t.equal(fleet.zoneOf('node-2'), 'zone-2');
  store.write('fleet/node/node-2', record('life-3'));
  await eventually(() => terminations.length === 1);
  store.erase('fleet/node/node-2');
  await eventually(() => terminations.length === 2);
  t.same(terminations, [
    { node: 'node-2', zone: 'zone-2', cause: 'replaced' },
    { node: 'node-2', zone: 'zone-2', cause: 'lease-over' },
  ]);
  t.notOk(fleet.isLive(OTHER));
  await fleet.stop();
  t.same(store.keys('fleet/node/'), [], 'a node that stops ends its lease');
});

t.test('a node whose lease expired registers again with the same incarnation', async (t) => {
  const store = new SharedStoreEmulator();
  const fleet = registry(store);
  fleet.start();
  await eventually(() => fleet.isLive(OWNER));
  const firstLease = fleet.leaseId;
  store.lapseLeases();
  await eventually(() => !fleet.isLive(OWNER));
  await eventually(() => fleet.isLive(OWNER));
  t.not(fleet.leaseId, firstLease);
  t.ok(fleet.wasStoreUnreachableWithin(60_000), 'the gap counts as an outage of the store');
  await fleet.stop();
});

/** Guards against a node that no other node sees until it restarts. */
t.test('a node whose record an earlier incarnation replaced registers again', async (t) => {
  const store = new SharedStoreEmulator();
  const fleet = registry(store);
  void fleet.start();
  await eventually(() => fleet.isLive(OWNER));
  // A commit of the earlier incarnation that the store carries out late.
  store.write('fleet/node/node-1', record('life-0'));
  await eventually(() => !fleet.isLive(OWNER));
  await eventually(() => fleet.isLive(OWNER));
  t.same(store.keys('fleet/node/'), ['fleet/node/node-1']);
  await fleet.stop();
});

t.test('a record that cannot be parsed is ignored', async (t) => {
  const store = new SharedStoreEmulator();
  const fleet = registry(store);
  store.write('fleet/node/node-2', 'not a record');
  fleet.start();
  await eventually(() => fleet.isLive(OWNER));
  t.same(fleet.liveNodes(), ['node-1']);
  await fleet.stop();
});

t.test('a node renews rarely until it requires a short lease, which it gets at once', async (t) => {
  const store = new SharedStoreEmulator();
  const fleet = registry(store);
  void fleet.start();
  await eventually(() => fleet.isLive(OWNER));
  t.notOk(fleet.hasShortLease);
  await PROCESS_CLOCK.sleep(1_000);
  t.equal(store.calls.get('keep') ?? 0, 0, 'one renewal each 2.5 s');
  fleet.requireShortLease();
  await eventually(() => fleet.hasShortLease);
  await eventually(() => (store.calls.get('keep') ?? 0) >= 2);
  t.ok(fleet.isLive(OWNER), 'the incarnation is the same');
  await fleet.stop();
});

t.test('an unreachable store is noticed within one renewal of a failed call', async (t) => {
  const store = new SharedStoreEmulator();
  const fleet = registry(store);
  void fleet.start();
  await eventually(() => fleet.isLive(OWNER));
  await PROCESS_CLOCK.sleep(400);
  store.setAvailability('refusing');
  const startedAt = performance.now();
  fleet.renewLeaseSoon();
  await eventually(() => fleet.isStoreUnreachable);
  t.ok(performance.now() - startedAt < 1_000);
  store.setAvailability('up');
  await eventually(() => !fleet.isStoreUnreachable);
  await fleet.stop();
});

t.test(
  'when all nodes start for the first time, each lists the fleet once all have registered',
  async (t) => {
    const store = new SharedStoreEmulator();
    const { log } = recordingLog();
    const shared = { store, zone: 'zone-1', clock: PROCESS_CLOCK, log, isFirstStart: true };
    const names = Array.from({ length: 20 }, (_, index) => `node-${index}`);
    const fleets = names.map((node) => {
      const self = { node, incarnation: `life-${node}`, address: `127.0.0.1:${node}` };
      return new FleetRegistry({ ...shared, self });
    });
    for (const fleet of fleets) void fleet.start();
    await eventually(() => fleets.every((fleet) => fleet.liveNodes().length === names.length));
    t.equal(store.calls.get('range'), names.length);
    t.ok((store.calls.get('watch') ?? 0) <= names.length);
    for (const fleet of fleets) await fleet.stop();
  },
);

t.test('a start resolves once the fleet was listed, or after a second', async (t) => {
  const store = new SharedStoreEmulator();
  store.write('fleet/node/node-2', record('life-2'));
  const fleet = registry(store);
  await fleet.start();
  t.ok(fleet.isLive(OTHER), 'the relays are known');
  await fleet.stop();
  store.setAvailability('refusing');
  const late = registry(store);
  const startedAt = performance.now();
  await late.start();
  t.ok(performance.now() - startedAt < 1_500);
  await late.stop();
});
