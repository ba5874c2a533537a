import t from 'tap';
import {
  HollowMachineFleet,
  machineRecords,
  withState,
} from '../../lab/bench/hollow-machine-fleet.js';
import type { NodeId } from '../../src/core/identity.js';
import { DEFAULT_MACHINE_FEED_TIMING } from '../../src/machine-feed/machine-feed-effects.js';

const NODES = 40;
const MACHINES = 600;
const LEAVING = 123;
const MACHINE = `machine-${LEAVING}`;

function settledFleet(seed: number, loss = 0, nodes = NODES): HollowMachineFleet {
  const fleet = new HollowMachineFleet(nodes, seed, loss, machineRecords(MACHINES));
  fleet.announceMembers();
  fleet.runFor(10_000);
  return fleet;
}

function announceLeaving(fleet: HollowMachineFleet): void {
  fleet.list = withState(fleet.list, LEAVING, 'leaving');
}

t.test('a leaving machine is known on every node within 3 s of being listed', async (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const fleet = settledFleet(seed, 0, 340);
    announceLeaving(fleet);
    fleet.runFor(3_000);
    t.equal(fleet.countKnowing(MACHINE, 'leaving'), 340, `seed ${seed}`);
  }
});

t.test('two nodes of a zone read the list, all others have it from them', async (t) => {
  const fleet = settledFleet(5);
  t.equal(fleet.readersWithin(20_000).length, DEFAULT_MACHINE_FEED_TIMING.readersPerZone);
  t.equal(fleet.countKnowing(MACHINE, 'live'), NODES);
});

t.test('a change reaches all nodes although one message in ten is lost', async (t) => {
  for (const seed of [6, 7, 8]) {
    const fleet = settledFleet(seed, 0.1);
    t.equal(fleet.countKnowing(MACHINE, 'live'), NODES, `start, seed ${seed}`);
    announceLeaving(fleet);
    fleet.runFor(9_000);
    t.equal(fleet.countKnowing(MACHINE, 'leaving'), NODES, `change, seed ${seed}`);
  }
});

t.test('the death of both readers is made up for', async (t) => {
  const fleet = settledFleet(9);
  const readers = fleet.readersWithin(5_000);
  for (const reader of readers) fleet.fleet.kill(reader);
  announceLeaving(fleet);
  fleet.runFor(3_000);
  t.equal(fleet.countKnowing(MACHINE, 'leaving'), 0, 'nobody has read it yet');
  fleet.announceMembers();
  fleet.runFor(3_000);
  t.equal(fleet.countKnowing(MACHINE, 'leaving'), NODES - 2);
});

t.test('nodes read by themselves, rarely, when membership names only dead parents', async (t) => {
  const fleet = settledFleet(10);
  for (const reader of fleet.readersWithin(5_000)) fleet.fleet.kill(reader);
  announceLeaving(fleet);
  fleet.runFor(25_000);
  t.equal(fleet.countKnowing(MACHINE, 'leaving'), NODES - 2);
  fleet.readersWithin(60_000);
  const most = Math.max(...fleet.reads.values());
  t.ok(most <= 12, `${most} reads in 60 s by one node`);
});

t.test('one reader that cannot reach the list holds nobody back', async (t) => {
  const fleet = settledFleet(11);
  const [cut] = fleet.readersWithin(5_000);
  fleet.reachesList = (node) => node !== cut;
  announceLeaving(fleet);
  fleet.runFor(3_000);
  t.ok(fleet.countKnowing(MACHINE, 'leaving') >= NODES - 1);
  fleet.runFor(20_000);
  t.equal(fleet.countKnowing(MACHINE, 'leaving'), NODES, 'the reader has it from a peer');
});

t.test('a parent that lies behind does not undo what a child knows', async (t) => {
  const fleet = settledFleet(12);
  const [cut] = fleet.readersWithin(5_000);
  fleet.reachesList = (node) => node !== cut;
  const changes = new Map<NodeId, number>();
  fleet.onMachines = (node) => changes.set(node, (changes.get(node) ?? 0) + 1);
  announceLeaving(fleet);
  fleet.runFor(30_000);
  t.same([...new Set(changes.values())], [1]);
});

t.test('a restarted node without memory has the list from its parents', async (t) => {
  const fleet = settledFleet(13);
  const readers = fleet.readersWithin(5_000);
  const former = fleet.records.find(({ node }) => !readers.includes(node));
  if (former === undefined) throw new Error('all nodes read');
  fleet.fleet.kill(former.node);
  fleet.reachesList = (node) => node !== former.node;
  fleet.start({ ...former, incarnation: 2 });
  fleet.announceMembers();
  fleet.runFor(2_000);
  t.equal(fleet.feeds.get(former.node)?.machines().length, MACHINES);
});

t.test('a whole fleet starts at once, members known only later', async (t) => {
  const fleet = new HollowMachineFleet(NODES, 14, 0, machineRecords(MACHINES));
  fleet.runFor(DEFAULT_MACHINE_FEED_TIMING.firstReadDelay + 100);
  t.equal(fleet.countKnowing(MACHINE, 'live'), NODES, 'each has read it once');
  t.same([...new Set(fleet.reads.values())], [1]);
  fleet.announceMembers();
  fleet.runFor(1_000);
  t.equal(fleet.readersWithin(10_000).length, DEFAULT_MACHINE_FEED_TIMING.readersPerZone);
});

t.test('the array stays the same object while nothing changes', async (t) => {
  const fleet = settledFleet(15);
  const before = [...fleet.feeds.values()].map((feed) => feed.machines());
  let changes = 0;
  fleet.onMachines = () => {
    changes += 1;
  };
  fleet.list = [...machineRecords(MACHINES)].reverse();
  fleet.runFor(30_000);
  t.equal(changes, 0, 'new objects in another order are the same list');
  t.ok([...fleet.feeds.values()].every((feed, at) => feed.machines() === before[at]));
  t.ok([...fleet.feeds.values()].every((feed) => feed.age(fleet.now) < 15_000));
});

t.test('messages stay bounded whatever the size of the list', async (t) => {
  const fleet = new HollowMachineFleet(6, 16, 0, machineRecords(12_700));
  let largest = 0;
  fleet.onSend = (message) => {
    largest = Math.max(largest, JSON.stringify(message).length);
  };
  fleet.reachesList = (node) => node === 'node-0' || node === 'node-1' || node === 'node-2';
  fleet.announceMembers();
  fleet.runFor(20_000);
  t.equal(fleet.countKnowing(MACHINE, 'live'), 6);
  t.ok(largest > 40_000, 'whole pages were sent');
  t.ok(largest <= 2 * DEFAULT_MACHINE_FEED_TIMING.pageSize, `${largest} characters`);
});
