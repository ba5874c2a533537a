import t from 'tap';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import { FleetRegistry } from '../../src/fleet/fleet-registry.js';
import { JobPlacement } from '../../src/fleet/job-placement.js';
import { JobTakeover } from '../../src/fleet/job-takeover.js';
import { JobStore } from '../../src/jobs/job-store.js';
import { PROCESS_CLOCK } from '../../src/serving/clock.js';
import { always, headOf, OTHER, OWNER, result, specification } from '../jobs/job-fixtures.js';
import { type JobNode, jobNode } from '../jobs/job-node.js';
import { recordingLog } from '../serving/serving-fixtures.js';
import { eventually, StubPeers } from './fleet-fixtures.js';

interface Fixture extends JobNode {
  readonly emulator: SharedStoreEmulator;
  readonly fleet: FleetRegistry;
  readonly peers: StubPeers;
  readonly takeover: JobTakeover;
  stop(): Promise<void>;
}

const OTHER_ADDRESS = '127.0.0.1:2';
const OTHER_RECORD = JSON.stringify({
  incarnation: OTHER.incarnation,
  zone: 'zone-1',
  address: OTHER_ADDRESS,
});

function placementOf(fleet: FleetRegistry): JobPlacement {
  return new JobPlacement({
    liveNodes: () => fleet.liveNodes(),
    capacityOf: (node) => fleet.capacityOf(node),
    clock: PROCESS_CLOCK,
  });
}

/** A node beside another one that runs a job of four items, one of them with a stored result. */
async function startBesideOwner(): Promise<Fixture> {
  const emulator = new SharedStoreEmulator();
  const peers = new StubPeers();
  const { log } = recordingLog();
  const clock = PROCESS_CLOCK;
  const options = { store: emulator, self: OWNER, zone: 'zone-1' };
  const fleet = new FleetRegistry({ ...options, clock, log });
  const node = jobNode(emulator, OWNER);
  const store = new JobStore(emulator, clock);
  const takeover = new JobTakeover({
    store,
    service: node.service,
    fleet,
    self: OWNER,
    placement: placementOf(fleet),
    peers,
    requestTakeover: async () => false,
  });
  const spec = specification('job', 4);
  const created = await store.create(spec, headOf(spec, OTHER), always);
  if (created.kind !== 'changed') throw new Error(created.kind);
  await store.append('job', created.current, [result(0)], undefined, always);
  emulator.write('fleet/node/node-2', OTHER_RECORD);
  fleet.start();
  await eventually(() => fleet.isLive(OTHER) && fleet.isLive(OWNER));
  const stop = async (): Promise<void> => {
    takeover.stop();
    node.dispatcher.stop();
    await fleet.stop();
  };
  return { ...node, emulator, fleet, peers, takeover, stop };
}

const runsJob = (fixture: Fixture): boolean =>
  fixture.service.ownedJobs().some((job) => job.spec.id === 'job' && job.isOpen);

t.test('a job of a terminated node is taken over with its results', async (t) => {
  const fixture = await startBesideOwner();
  fixture.emulator.erase('fleet/node/node-2');
  await eventually(() => runsJob(fixture));
  t.same(fixture.service.ownedJobs()[0]?.results, [result(0)]);
  t.equal(fixture.service.ownedJobs()[0]?.items.size, 3);
  await fixture.stop();
});

t.test('an owner whose lease expired keeps its job if it answers a probe', async (t) => {
  const fixture = await startBesideOwner();
  fixture.peers.alive.add(OTHER_ADDRESS);
  fixture.emulator.erase('fleet/node/node-2');
  await eventually(() => fixture.peers.requests.length >= 2);
  t.notOk(runsJob(fixture));
  await fixture.stop();
});

t.test('a suspected owner loses its job unless the suspicion is withdrawn', async (t) => {
  const fixture = await startBesideOwner();
  await fixture.takeover.takeOverFrom(OTHER, false, () => false);
  t.notOk(runsJob(fixture));
  await fixture.takeover.takeOverFrom(OTHER, false, () => true);
  t.ok(runsJob(fixture));
  await fixture.stop();
});

t.test(
  'a job whose owner is lost during an outage is taken over once the store is back',
  async (t) => {
    const fixture = await startBesideOwner();
    fixture.emulator.setAvailability('refusing');
    await fixture.takeover.takeOverFrom(OTHER, false, () => true);
    t.notOk(runsJob(fixture));
    await PROCESS_CLOCK.sleep(500);
    fixture.emulator.setAvailability('up');
    const startedAt = performance.now();
    await eventually(() => runsJob(fixture));
    t.ok(performance.now() - startedAt < 1_000);
    await fixture.stop();
  },
);

t.test(
  'a replaced incarnation of the owner loses its job though its address answers',
  async (t) => {
    const fixture = await startBesideOwner();
    fixture.peers.otherIncarnations.add(OTHER_ADDRESS);
    const replaced = { ...JSON.parse(OTHER_RECORD), incarnation: 'life-3' };
    fixture.emulator.write('fleet/node/node-2', JSON.stringify(replaced));
    await eventually(() => runsJob(fixture));
    t.pass('the address answers for another incarnation');
    await fixture.stop();
  },
);

t.test(
  'an owner that this node never saw live is probed before its job is taken over',
  async (t) => {
    const fixture = await startBesideOwner();
    fixture.peers.alive.add('127.0.0.1:9');
    const owner = { node: 'node-9', incarnation: 'life-9', address: '127.0.0.1:9' };
    const spec = specification('unseen', 1);
    const store = new JobStore(fixture.emulator, PROCESS_CLOCK);
    await store.create(spec, headOf(spec, owner), always);
    fixture.takeover.scheduleScan();
    await eventually(() => fixture.peers.requests.some(({ address }) => address === '127.0.0.1:9'));
    await eventually(() => fixture.peers.requests.length >= 2);
    t.notOk(fixture.service.ownedJobs().some((job) => job.spec.id === 'unseen'));
    await fixture.stop();
  },
);

t.test('only a few nodes scan for the jobs of a terminated node', async (t) => {
  const emulator = new SharedStoreEmulator();
  const { log } = recordingLog();
  const clock = PROCESS_CLOCK;
  const scans = new Map<string, number>();
  const names = Array.from({ length: 12 }, (_, index) => `node-${index}`);
  const nodes = names.map((node) => {
    const self = { node, incarnation: `life-${node}`, address: `127.0.0.1:${node}` };
    const fleet = new FleetRegistry({ store: emulator, self, zone: 'zone-1', clock, log });
    const jobs = jobNode(emulator, self);
    const store = new JobStore(emulator, clock);
    const heads = store.heads.bind(store);
    store.heads = () => {
      scans.set(node, (scans.get(node) ?? 0) + 1);
      return heads();
    };
    const options = { store, service: jobs.service, fleet, self, peers: new StubPeers() };
    const placement = placementOf(fleet);
    const requestTakeover = async (): Promise<boolean> => false;
    const takeover = new JobTakeover({ ...options, placement, requestTakeover });
    return { fleet, jobs, placement, takeover };
  });
  for (const { fleet } of nodes) fleet.start();
  await eventually(() => nodes.every(({ fleet }) => fleet.liveNodes().length === names.length));
  // Nodes that were owners by their first membership list scan once.
  await clock.sleep(2_500);
  scans.clear();
  await nodes[0]?.fleet.stop();
  await eventually(() => scans.size === 2);
  await clock.sleep(300);
  t.equal(scans.size, 2);
  const owners = nodes[1]?.placement.owners() ?? [];
  t.ok([...scans.keys()].every((node) => owners.includes(node)));
  for (const { fleet, jobs, takeover } of nodes) {
    takeover.stop();
    jobs.dispatcher.stop();
    await fleet.stop();
  }
});

t.test('a job that is being taken over is not taken over again', async (t) => {
  const fixture = await startBesideOwner();
  const { emulator, takeover, lines } = fixture;
  const range = emulator.range.bind(emulator);
  emulator.range = async (prefix, afterKey) => {
    if (prefix.startsWith('job/spec/')) await PROCESS_CLOCK.sleep(100);
    return range(prefix, afterKey);
  };
  emulator.erase('fleet/node/node-2');
  await eventually(() => !fixture.fleet.isLive(OTHER));
  const firstSweep = takeover.sweep();
  await eventually(() => emulator.valueOf('job/head/job')?.includes(OWNER.incarnation) === true);
  await takeover.sweep();
  await firstSweep;
  const takeovers = lines.filter((line) => line.includes('job-adopted'));
  t.equal(takeovers.length, 1);
  await fixture.stop();
});

t.test('an owner that answers but cannot reach the store loses its job', async (t) => {
  const fixture = await startBesideOwner();
  fixture.peers.alive.add(OTHER_ADDRESS);
  fixture.peers.withoutStore.add(OTHER_ADDRESS);
  fixture.emulator.erase('fleet/node/node-2');
  await eventually(() => runsJob(fixture));
  t.same(fixture.service.ownedJobs()[0]?.results, [result(0)]);
  await fixture.stop();
});
