/**
 * Guards against a node probing only its own zone for access to the store, and so rejecting jobs
 * that another region could accept.
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

/** A node of `south-1` that does not reach the store, as do the nodes of some zones. */
function withUnreachableStore(zones: readonly string[], distanceBetween?: DistanceBetween) {
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
  const requester = new PeerRequester({ ...options, ...(distanceBetween && { distanceBetween }) });
  return { requester, probed };
}

t.test('a region that does not reach the store goes through the other region', async (t) => {
  const { requester, probed } = withUnreachableStore(['south-1', 'south-2'], byRegion);
  t.equal(await requester.findNodeReachingStore(), 'north-1/1');
  t.equal(probed.length, 4);
});

t.test('a nearby node is preferred to one of another region', async (t) => {
  const { requester } = withUnreachableStore([], byRegion);
  t.equal(await requester.findNodeReachingStore(), 'south-1/1');
});

t.test('in one region the own zone is probed first, and only it for its own jobs', async (t) => {
  const { requester, probed } = withUnreachableStore(['south-1']);
  t.equal(await requester.findNodeReachingStore(), undefined);
  t.ok(probed.every((node) => node.startsWith('south-1')));
  t.equal(
    await withUnreachableStore(['south-1'], byRegion).requester.findNodeReachingStore('own-zone'),
    undefined,
  );
});
