/**
 * Guards against a job being taken over by a node of another region, far away from its trainer and
 * workers.
 */
import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { JobPlacement } from '../../src/fleet/job-placement.js';
import { JobTakeover } from '../../src/fleet/job-takeover.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { localitiesOf } from '../../src/placement/locality.js';
import { ZoneTopology } from '../../src/placement/zone-topology.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { always, headOf, OTHER, OWNER, specification } from '../jobs/job-fixtures.js';
import { jobNode } from '../jobs/job-node.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { eventually, StubPeers } from './fleet-fixtures.js';

const REGIONS = new Map([
  ['north-1', 'north'],
  ['south-1', 'south'],
]);

/**
 * A node of `north` detects the loss of an owner in `south`, where `othersInSouth` nodes are live.
 */
async function startInOtherRegion(othersInSouth: number, takesJobs: boolean) {
  const emulator = new SharedStoreEmulator();
  const clock = PROCESS_CLOCK;
  const { log } = recordingLog();
  const fleet = new FleetRegistry({ store: emulator, self: OWNER, zone: 'north-1', clock, log });
  const regions = localitiesOf(new ZoneTopology('north-1', REGIONS), false);
  const placement = new JobPlacement({
    liveNodes: () => fleet.liveNodes(),
    capacityOf: (node) => fleet.capacityOf(node),
    localities: regions && { ...regions, zoneOf: (node) => fleet.zoneOf(node) },
    clock,
  });
  const node = jobNode(emulator, OWNER);
  const store = new JobStore(emulator, clock);
  const offered: string[] = [];
  const takeover = new JobTakeover({
    ...{ store, service: node.service, fleet, self: OWNER, placement, peers: new StubPeers() },
    requestTakeover: async (name) => {
      offered.push(name);
      return takesJobs;
    },
  });
  const spec = specification('job', 1);
  await store.create(spec, { ...headOf(spec, OTHER), zone: 'south-1' }, always);
  const register = (name: string, incarnation: string): void => {
    const record = { incarnation, zone: 'south-1', address: `127.0.0.1:${name}` };
    emulator.write(`fleet/node/${name}`, JSON.stringify(record));
  };
  register(OTHER.node, OTHER.incarnation);
  for (let index = 0; index < othersInSouth; index += 1) register(`south-${index}`, 'life');
  fleet.start();
  await eventually(() => fleet.liveNodes().length === 2 + othersInSouth);
  emulator.erase(`fleet/node/${OTHER.node}`);
  await eventually(() => !fleet.isLive(OTHER));
  const runsJob = (): boolean => node.service.ownedJobs().some((job) => job.isOpen);
  const stop = async (): Promise<void> => {
    takeover.stop();
    node.dispatcher.stop();
    await fleet.stop();
  };
  return { takeover, offered, runsJob, stop };
}

t.test('a job of another region is left to that region', async (t) => {
  const { takeover, offered, runsJob, stop } = await startInOtherRegion(2, true);
  await PROCESS_CLOCK.sleep(1_500);
  t.same(offered, [], 'nodes of its own region scan for it');
  await takeover.sweep();
  t.equal(offered.length, 1, 'a sweep offers it to one of them');
  t.ok(offered[0]?.startsWith('south-'));
  t.notOk(runsJob());
  await stop();
});

t.test('a job that no node of its region takes over is run by the other region', async (t) => {
  const { takeover, offered, runsJob, stop } = await startInOtherRegion(2, false);
  await takeover.sweep();
  t.equal(offered.length, 1);
  t.ok(runsJob());
  await stop();
});

t.test('a region without live nodes has its jobs taken over at once', async (t) => {
  const { offered, runsJob, stop } = await startInOtherRegion(0, true);
  await eventually(runsJob);
  t.same(offered, []);
  await stop();
});
