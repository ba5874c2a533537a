import t from 'tap';
import { JobPlacement } from '../../src/fleet/job-placement.js';
import { localitiesOf } from '../../src/placement/locality.js';
import { topologyWithoutRegions, ZoneTopology } from '../../src/placement/zone-topology.js';

const NAMES = Array.from({ length: 165 }, (_, index) => `node-${index}`);
const JOBS = Array.from({ length: 200 }, (_, index) => `job-${index}`);

class HeldClock {
  time = 0;
  now(): number {
    return this.time;
  }
}

function placement(nodes: readonly string[], capacityOf: (node: string) => number = () => 1) {
  const clock = new HeldClock();
  return { clock, placed: new JobPlacement({ liveNodes: () => nodes, capacityOf, clock }) };
}

t.test('a few nodes own all jobs, and each of them some', async (t) => {
  const { placed } = placement(NAMES);
  t.equal(placed.owners().length, 5);
  const first = new Set(JOBS.map((job) => placed.ownersOf(job)[0]));
  t.same([...first].sort(), [...placed.owners()].sort());
  t.equal(placement(NAMES.slice(0, 7)).placed.owners().length, 3);
  t.same(placement(['node-1']).placed.ownersOf('job'), ['node-1']);
  t.same(placed.offerTargets('job'), placed.ownersOf('job').slice(0, 2), 'the owner and the next');
});

t.test('a node that leaves moves only the jobs that it owned', async (t) => {
  const before = placement(NAMES).placed;
  const [gone] = before.owners();
  const after = placement(NAMES.filter((node) => node !== gone)).placed;
  const stayed = JOBS.filter((job) => before.ownersOf(job)[0] !== gone);
  const kept = stayed.filter((job) => before.ownersOf(job)[0] === after.ownersOf(job)[0]);
  // One node takes the empty place among the owners, and a fifth of all jobs with it.
  t.ok(kept.length > 0.7 * stayed.length, `${kept.length} of ${stayed.length}`);
});

t.test('the strongest machines own jobs where there are enough of them', async (t) => {
  const isStrong = (node: string): boolean => Number(node.slice(5)) < 15;
  const { placed } = placement(NAMES, (node) => (isStrong(node) ? 1.35 : 0.324));
  t.ok(placed.owners().every(isStrong));
  const fewStrong = placement(NAMES, (node) => (node === 'node-1' ? 1.35 : 0.324)).placed;
  t.equal(fewStrong.owners().length, 5);
  t.ok(fewStrong.owners().some((node) => node !== 'node-1'));
});

t.test('a node that did not answer is left alone for a while', async (t) => {
  const { placed, clock } = placement(NAMES);
  const [owner] = placed.ownersOf('job');
  placed.noteUnresponsive(owner ?? '');
  t.notOk(placed.ownersOf('job').includes(owner ?? ''));
  clock.time += 10_000;
  t.equal(placed.ownersOf('job')[0], owner);
});

/** Nodes of three zones, the names of which end in their numbers. */
const ZONED = Array.from({ length: 48 }, (_, index) => `node-${index}-zone-${index % 3}`);
const zoneOf = (node: string): string => node.slice(node.indexOf('zone'));

function zonedPlacement(own: string, capacityOf: (node: string) => number = () => 1) {
  const clock = new HeldClock();
  const zones = localitiesOf(topologyWithoutRegions(own), true);
  const localities = zones && { ...zones, zoneOf };
  const placed = new JobPlacement({ liveNodes: () => ZONED, capacityOf, localities, clock });
  return { clock, placed };
}

t.test('where zones serve their own callers, one node of each runs its jobs', async (t) => {
  const { placed } = zonedPlacement('zone-1');
  t.same(placed.owners().map(zoneOf), ['zone-1', 'zone-0', 'zone-2']);
  t.same(placed.offerTargets('job').map(zoneOf), ['zone-1'], 'no job is offered to another zone');
  t.same(placed.ownersOf('job').map(zoneOf), ['zone-1', 'zone-0', 'zone-2']);
  t.same(placed.ownersOf('job', 'zone-2').map(zoneOf), ['zone-2', 'zone-0', 'zone-1']);
});

t.test('nodes of all zones name the same owner for a zone', async (t) => {
  const named = ['zone-0', 'zone-1', 'zone-2'].map(
    (own) => zonedPlacement(own).placed.ownersOf('job', 'zone-2')[0],
  );
  t.equal(new Set(named).size, 1);
});

t.test('another node of the zone runs its jobs where the first does not answer', async (t) => {
  const isStrong = (node: string): boolean => Number(node.split('-')[1]) < 6;
  const { placed, clock } = zonedPlacement('zone-1', (node) => (isStrong(node) ? 1.35 : 0.3));
  const [first = ''] = placed.offerTargets('job');
  placed.noteUnresponsive(first);
  const [second = ''] = placed.offerTargets('job');
  t.not(second, first);
  t.equal(zoneOf(second), 'zone-1');
  t.ok(isStrong(first) && isStrong(second));
  clock.time += 10_000;
  t.equal(placed.offerTargets('job')[0], first);
});

/** The regions of the three zones. */
const REGIONS = new Map([
  ['zone-0', 'north'],
  ['zone-1', 'north'],
  ['zone-2', 'south'],
]);
const regionOf = (node: string): string | undefined => REGIONS.get(zoneOf(node));

function regionalPlacement(own: string, nodes: readonly string[] = ZONED) {
  const clock = new HeldClock();
  const regions = localitiesOf(new ZoneTopology(own, REGIONS), false);
  const localities = regions && { ...regions, zoneOf };
  const placed = new JobPlacement({
    liveNodes: () => nodes,
    capacityOf: () => 1,
    localities,
    clock,
  });
  return { clock, placed };
}

t.test('where a fleet spans regions, one node of each runs its jobs', async (t) => {
  const { placed } = regionalPlacement('zone-2');
  t.same(placed.owners().map(regionOf), ['south', 'north']);
  const inTurn = placed.ownersOf('job', 'zone-0');
  t.same(inTurn.map(regionOf), ['north', 'north', 'south', 'south'], 'the owner and the next');
  t.equal(inTurn[0], placed.owners()[1]);
  t.same(placed.offerTargets('job').map(regionOf), ['south', 'south', 'north']);
  t.equal(placed.isByZone, false, 'a region keeps no journal');
});

t.test('all nodes name the same owner for a region, whichever of its zones asks', async (t) => {
  const named = ['zone-0', 'zone-1', 'zone-2'].flatMap((own) =>
    ['zone-0', 'zone-1'].map((zone) => regionalPlacement(own).placed.ownersOf('job', zone)[0]),
  );
  t.equal(new Set(named).size, 1);
});

t.test('a region without a node that answers has its jobs run by the other', async (t) => {
  const northOnly = ZONED.filter((node) => regionOf(node) === 'north');
  const { placed } = regionalPlacement('zone-2', northOnly);
  t.same(placed.offerTargets('job').map(regionOf), ['north']);
  t.ok(placed.takeoverCandidates('zone-2').length > 0);
});

t.test('the jobs of a node that left are looked for in its region first', async (t) => {
  const { placed } = regionalPlacement('zone-2');
  t.ok(placed.takeoverCandidates('zone-0').every((node) => regionOf(node) === 'north'));
  t.equal(placed.isInOtherRegion('zone-0'), true);
  t.equal(placed.isInOtherRegion('zone-2'), false);
  t.equal(placed.isInOtherRegion(undefined), false, 'a record of an older build');
});

t.test('a job that its owner gives up or does not answer for stays in its region', async (t) => {
  const { placed } = regionalPlacement('zone-0');
  const [owner = '', next] = placed.ownersOf('job');
  placed.noteUnresponsive(owner);
  t.equal(placed.ownersOf('job')[0], next);
  t.equal(regionOf(next ?? ''), 'north');
});
