/**
 * A region that was cut off from the store alone: each of its nodes asked four nodes of its own zone
 * whether they reach the store, all four were cut off with it, and a job was refused that any node of
 * the other region could have stored.
 */
import t from 'tap';
import type { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { PeerRequester } from '../../src/fleet/peer-requester.js';
import type { PeerPort } from '../../src/peers/peer-messages.js';
import { type DistanceBetween, ZoneTopology } from '../../src/placement/zone-topology.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { OWNER } from '../jobs/job-fixtures.js';

const REGIONS = new Map([
  ['south-1', 'south'],
  ['south-2', 'south'],
  ['north-1', 'north'],
]);
const TOPOLOGY = new ZoneTopology('south-1', REGIONS);
const byRegion: DistanceBetween = (...zones) => TOPOLOGY.distanceBetween(...zones);

/** Six nodes in each of three zones. */
const NODES = [...REGIONS.keys()].flatMap((zone) =>
  [1, 2, 3, 4, 5, 6].map((number) => `${zone}/${number}`),
);

/** A node of `south-1` that is cut off from the store, as are the nodes of some zones. */
function cutOffWith(zones: readonly string[], distanceBetween?: DistanceBetween) {
  const probed: string[] = [];
  const port = {
    request: async (address: string) => {
      probed.push(address);
      const reachesStore = !zones.some((zone) => address.startsWith(zone));
      return { kind: 'answered', answer: { isAlive: true, reachesStore } };
    },
  } as unknown as PeerPort;
  const fleet = {
    isStoreUnreachable: true,
    liveNodes: () => NODES,
    zoneOf: (node: string) => node.split('/')[0],
    addressOf: (node: string) => node,
    incarnationOf: (node: string) => ({ node, incarnation: 'life', address: node }),
  } as unknown as FleetRegistry;
  const options = { port, fleet, self: OWNER, zone: 'south-1', metrics: new FleetMetrics() };
  const calls = new PeerRequester({ ...options, ...(distanceBetween && { distanceBetween }) });
  return { calls, probed };
}

t.test('a region that is cut off from the store alone goes by way of the other', async (t) => {
  const { calls, probed } = cutOffWith(['south-1', 'south-2'], byRegion);
  t.equal(await calls.findNodeReachingStore(), 'north-1/1');
  t.equal(probed.length, 4);
});

t.test('a node near by goes before one of the other region', async (t) => {
  const { calls } = cutOffWith([], byRegion);
  t.equal(await calls.findNodeReachingStore(), 'south-1/1');
});

t.test('in one region the own zone is asked first, and nobody else for its own jobs', async (t) => {
  const { calls, probed } = cutOffWith(['south-1']);
  t.equal(await calls.findNodeReachingStore(), undefined);
  t.ok(probed.every((node) => node.startsWith('south-1')));
  t.equal(
    await cutOffWith(['south-1'], byRegion).calls.findNodeReachingStore('own-zone'),
    undefined,
  );
});
