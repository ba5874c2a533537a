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

/** A node that watches one other node. */
function watching(wasSilentHere = false): Fixture {
  const peers = new StubPeers();
  const fleet = {
    liveNodes: () => [OWNER.node, OTHER.node],
    incarnationOf: () => OTHER,
    addressOf: () => OTHER.address,
    wasStoreUnreachableWithin: () => wasSilentHere,
  } as unknown as FleetRegistry;
  const { log } = recordingLog();
  const monitor = new PeerMonitor({ fleet, peers, self: OWNER, clock: PROCESS_CLOCK, log });
  const suspicions: Suspicion[] = [];
  monitor.suspicions.subscribe((suspicion) => suspicions.push(suspicion));
  monitor.start();
  return { monitor, peers, suspicions };
}

t.test(
  'a node that answers and does not reach the store is suspected, and trusted again',
  async (t) => {
    const { monitor, peers, suspicions } = watching();
    peers.alive.add(OTHER.address);
    peers.cutOff.add(OTHER.address);
    await eventually(() => suspicions.length === 1);
    t.match(suspicions[0], { owner: OTHER, ownerAnswers: true });
    t.ok(peers.asked.length >= 3, 'not at the first answer');
    t.ok(monitor.isSuspected(OTHER));
    peers.cutOff.clear();
    await eventually(() => !monitor.isSuspected(OTHER));
    monitor.stop();
  },
);

t.test('where the store was silent here too, nobody is suspected for that', async (t) => {
  const { monitor, peers, suspicions } = watching(true);
  peers.alive.add(OTHER.address);
  peers.cutOff.add(OTHER.address);
  await eventually(() => peers.asked.length >= 5);
  t.same(suspicions, []);
  monitor.stop();
});

t.test('a node that refuses connections is suspected and not asked for its work', async (t) => {
  const { monitor, suspicions } = watching();
  await eventually(() => suspicions.length === 1);
  t.match(suspicions[0], { ownerAnswers: false });
  await PROCESS_CLOCK.sleep(10);
  monitor.stop();
});

t.test('a node that nobody would miss at once is probed rarely, until it fails', async (t) => {
  const { monitor, peers, suspicions } = watching();
  peers.alive.add(OTHER.address);
  peers.idle.add(OTHER.address);
  await eventually(() => peers.asked.length === 1);
  await PROCESS_CLOCK.sleep(1_100);
  t.equal(peers.asked.length, 1);
  peers.alive.delete(OTHER.address);
  await eventually(() => suspicions.length === 1);
  t.equal(peers.asked.length, 3, 'the failed probe is followed by the next round');
  monitor.stop();
});
