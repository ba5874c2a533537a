import t from 'tap';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { PeerMonitor, type Suspicion } from '../../src/fleet/peer-monitor.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { OTHER, OWNER } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { eventually, StubPeers } from './fleet-fixtures.js';

interface Fixture {
  readonly monitor: PeerMonitor;
  readonly peers: StubPeers;
  readonly suspicions: Suspicion[];
}

/** A node that monitors one other node. */
function monitorFixture(wasStoreUnreachableHere = false): Fixture {
  const peers = new StubPeers();
  const fleet = {
    liveNodes: () => [OWNER.node, OTHER.node],
    incarnationOf: () => OTHER,
    addressOf: () => OTHER.address,
    wasStoreUnreachableWithin: () => wasStoreUnreachableHere,
  } as unknown as FleetRegistry;
  const { log } = recordingLog();
  const monitor = new PeerMonitor({ fleet, peers, self: OWNER, clock: PROCESS_CLOCK, log });
  const suspicions: Suspicion[] = [];
  monitor.suspicions.subscribe((suspicion) => suspicions.push(suspicion));
  monitor.start();
  return { monitor, peers, suspicions };
}

t.test('a node without the store is suspected until it reaches the store again', async (t) => {
  const { monitor, peers, suspicions } = monitorFixture();
  peers.alive.add(OTHER.address);
  peers.withoutStore.add(OTHER.address);
  await eventually(() => suspicions.length === 1);
  t.match(suspicions[0], { owner: OTHER, ownerAnswers: true });
  t.ok(peers.requests.length >= 3, 'not after the first answer');
  t.ok(monitor.isSuspected(OTHER));
  peers.withoutStore.clear();
  await eventually(() => !monitor.isSuspected(OTHER));
  monitor.stop();
});

t.test('no node is suspected for an outage of the store that this node saw too', async (t) => {
  const { monitor, peers, suspicions } = monitorFixture(true);
  peers.alive.add(OTHER.address);
  peers.withoutStore.add(OTHER.address);
  await eventually(() => peers.requests.length >= 5);
  t.same(suspicions, []);
  monitor.stop();
});

t.test('a node that refuses connections is suspected as unresponsive', async (t) => {
  const { monitor, suspicions } = monitorFixture();
  await eventually(() => suspicions.length === 1);
  t.match(suspicions[0], { ownerAnswers: false });
  await PROCESS_CLOCK.sleep(10);
  monitor.stop();
});

t.test('a node without a short lease is probed rarely until it fails', async (t) => {
  const { monitor, peers, suspicions } = monitorFixture();
  peers.alive.add(OTHER.address);
  peers.idle.add(OTHER.address);
  await eventually(() => peers.requests.length === 1);
  await PROCESS_CLOCK.sleep(1_100);
  t.equal(peers.requests.length, 1);
  peers.alive.delete(OTHER.address);
  await eventually(() => suspicions.length === 1);
  t.equal(peers.requests.length, 3, 'the failed probe is followed by the next round');
  monitor.stop();
});
