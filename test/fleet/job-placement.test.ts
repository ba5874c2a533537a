import t from 'tap';
import { JobPlacement } from '../../src/fleet/job-placement.js';
import { localitiesOf } from '../../src/placement/locality.js';
import { topologyWithoutRegions, ZoneTopology } from '../../src/placement/zone-topology.js';

const NAMES = Array.from({ length: 165 }, (_, index) => `node-${index}`);
const JOBS = Array.from({ length: 200 }, (_, index) => `job-${index}`);

class FixedClock {
  time = 0;
  now(): number {
    return this.time;
  }
}

function fleetPlacement(nodes: readonly string[], capacityOf: (node: string) => number = () => 1) {
  const clock = new FixedClock();
  return { clock, placement: new JobPlacement({ liveNodes: () => nodes, capacityOf, clock }) };
}

t.test('a few nodes own all jobs, and each of them owns some', async (t) => {
  const { placement } = fleetPlacement(NAMES);
  t.equal(placement.owners().length, 5);
  const first = new Set(JOBS.map((job) => placement.ownersOf(job)[0]));
  t.same([...first].sort(), [...placement.owners()].sort());
  t.equal(fleetPlacement(NAMES.slice(0, 7)).placement.owners().length, 3);
  t.same(fleetPlacement(['node-1']).placement.ownersOf('job'), ['node-1']);
  t.same(
    placement.offerTargets('job'),
    placement.ownersOf('job').slice(0, 2),
    'the owner and the next',
  );
});

t.test('the loss of an owner leaves most other jobs with their owners', async (t) => {
  const before = fleetPlacement(NAMES).placement;
  const [removed] = before.owners();
  const after = fleetPlacement(NAMES.filter((node) => node !== removed)).placement;
  const stayed = JOBS.filter((job) => before.ownersOf(job)[0] !== removed);
  const kept = stayed.filter((job) => before.ownersOf(job)[0] === after.ownersOf(job)[0]);
  // One node replaces the owner that left, and receives a fifth of all jobs.
  t.ok(kept.length > 0.7 * stayed.length, `${kept.length} of ${stayed.length}`);
});

t.test('the strongest machines own jobs where there are enough of them', async (t) => {
  const isStrong = (node: string): boolean => Number(node.slice(5)) < 15;
  const { placement } = fleetPlacement(NAMES, (node) => (isStrong(node) ? 1.35 : 0.324));
  t.ok(placement.owners().every(isStrong));
  const fewStrong = fleetPlacement(NAMES, (node) => (node === 'node-1' ? 1.35 : 0.324)).placement;
  t.equal(fewStrong.owners().length, 5);
  t.ok(fewStrong.owners().some((node) => node !== 'node-1'));
});

t.test('a node that did not answer is excluded for a while', async (t) => {
  const { placement, clock } = fleetPlacement(NAMES);
  const [owner] = placement.ownersOf('job');
  placement.noteUnresponsive(owner ?? '');
  t.notOk(placement.ownersOf('job').includes(owner ?? ''));
  clock.time += 10_000;
  t.equal(placement.ownersOf('job')[0], owner);
});

/** Nodes in three zones; each name ends in its zone. */
const ZONED = Array.from({ length: 48 }, (_, index) => `node-${index}-zone-${index % 3}`);
const zoneOf = (node: string): string => node.slice(node.indexOf('zone'));

function zonedPlacement(own: string, capacityOf: (node: string) => number = () => 1) {
  const clock = new FixedClock();
  const zones = localitiesOf(topologyWithoutRegions(own), true);
  const localities = zones && { ...zones, zoneOf };
  const placement = new JobPlacement({ liveNodes: () => ZONED, capacityOf, localities, clock });
  return { clock, placement };
}

t.test('one node of each autonomous zone runs the jobs of that zone', async (t) => {
  const { placement } = zonedPlacement('zone-1');
  t.same(placement.owners().map(zoneOf), ['zone-1', 'zone-0', 'zone-2']);
  t.same(
    placement.offerTargets('job').map(zoneOf),
    ['zone-1'],
    'no job is offered to another zone',
  );
  t.same(placement.ownersOf('job').map(zoneOf), ['zone-1', 'zone-0', 'zone-2']);
  t.same(placement.ownersOf('job', 'zone-2').map(zoneOf), ['zone-2', 'zone-0', 'zone-1']);
});

t.test('nodes of all zones select the same owner for a zone', async (t) => {
  const named = ['zone-0', 'zone-1', 'zone-2'].map(
    (own) => zonedPlacement(own).placement.ownersOf('job', 'zone-2')[0],
  );
  t.equal(new Set(named).size, 1);
});

t.test('another node of the zone runs its jobs if the first does not answer', async (t) => {
  const isStrong = (node: string): boolean => Number(node.split('-')[1]) < 6;
  const { placement, clock } = zonedPlacement('zone-1', (node) => (isStrong(node) ? 1.35 : 0.3));
  const [first = ''] = placement.offerTargets('job');
  placement.noteUnresponsive(first);
  const [second = ''] = placement.offerTargets('job');
  t.not(second, first);
  t.equal(zoneOf(second), 'zone-1');
  t.ok(isStrong(first) && isStrong(second));
  clock.time += 10_000;
  t.equal(placement.offerTargets('job')[0], first);
});

const REGIONS = new Map([
  ['zone-0', 'north'],
  ['zone-1', 'north'],
  ['zone-2', 'south'],
]);
const regionOf = (node: string): string | undefined => REGIONS.get(zoneOf(node));

function regionalPlacement(own: string, nodes: readonly string[] = ZONED) {
  const clock = new FixedClock();
  const regions = localitiesOf(new ZoneTopology(own, REGIONS), false);
  const localities = regions && { ...regions, zoneOf };
  const placement = new JobPlacement({
    liveNodes: () => nodes,
    capacityOf: () => 1,
    localities,
    clock,
  });
  return { clock, placement };
}

t.test('in a fleet of several regions one node of each runs the jobs of that region', async (t) => {
  const { placement } = regionalPlacement('zone-2');
  t.same(placement.owners().map(regionOf), ['south', 'north']);
  const candidates = placement.ownersOf('job', 'zone-0');
  t.same(candidates.map(regionOf), ['north', 'north', 'south', 'south'], 'the owner and the next');
  t.equal(candidates[0], placement.owners()[1]);
  t.same(placement.offerTargets('job').map(regionOf), ['south', 'south', 'north']);
  t.equal(placement.runsJobsByZone, false, 'a region keeps no journal');
});

t.test(
  'all nodes select the same owner for a region, whichever of its zones is given',
  async (t) => {
    const named = ['zone-0', 'zone-1', 'zone-2'].flatMap((own) =>
      ['zone-0', 'zone-1'].map((zone) => regionalPlacement(own).placement.ownersOf('job', zone)[0]),
    );
    t.equal(new Set(named).size, 1);
  },
);

t.test('a region without live nodes has its jobs run by the other', async (t) => {
  const northOnly = ZONED.filter((node) => regionOf(node) === 'north');
  const { placement } = regionalPlacement('zone-2', northOnly);
  t.same(placement.offerTargets('job').map(regionOf), ['north']);
  t.ok(placement.takeoverCandidates('zone-2').length > 0);
});

t.test('nodes of the same region take over the jobs of a terminated node', async (t) => {
  const { placement } = regionalPlacement('zone-2');
  t.ok(placement.takeoverCandidates('zone-0').every((node) => regionOf(node) === 'north'));
  t.equal(placement.isInOtherRegion('zone-0'), true);
  t.equal(placement.isInOtherRegion('zone-2'), false);
  t.equal(placement.isInOtherRegion(undefined), false, 'a record of an older build');
});

t.test('a job whose owner does not answer stays in its region', async (t) => {
  const { placement } = regionalPlacement('zone-0');
  const [owner = '', next] = placement.ownersOf('job');
  placement.noteUnresponsive(owner);
  t.equal(placement.ownersOf('job')[0], next);
  t.equal(regionOf(next ?? ''), 'north');
});
