import t from 'tap';
import { type AssignableWorker, ModelAssignment } from '../../src/fleet/model-assignment.js';

const MODELS = ['a', 'b', 'c'];

function workers(count: number, models = MODELS): AssignableWorker[] {
  const versions = new Map(models.map((model) => [model, 1]));
  return Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    zone: 'zone-1',
    versions,
  }));
}

function assign(
  assignment: ModelAssignment,
  fleet: readonly AssignableWorker[],
  named: ReadonlyMap<string, number> = new Map(),
): Map<string, string[]> {
  const serves = assignment.update(fleet, named);
  const models = [...new Set(fleet.flatMap(({ versions }) => [...versions.keys()]))];
  return new Map(
    models.map((model) => [model, fleet.map(({ id }) => id).filter((id) => serves(id, model))]),
  );
}

function sizes(assigned: Map<string, string[]>): number[] {
  return [...assigned.values()].map((ids) => ids.length);
}

t.test('each worker serves one model, in equal shares while no demand is known', async (t) => {
  const assigned = assign(new ModelAssignment(), workers(30));
  t.same(sizes(assigned), [10, 10, 10]);
  t.equal(new Set([...assigned.values()].flat()).size, 30);
});

t.test('shares follow the demand for each model', async (t) => {
  const assignment = new ModelAssignment();
  assignment.recordDemand('a', 1_000);
  assignment.recordDemand('b', 2_000);
  assignment.recordDemand('c', 3_000);
  t.same(sizes(assign(assignment, workers(30))), [6, 10, 14]);
});

t.test('a model without demand keeps a few workers', async (t) => {
  const assignment = new ModelAssignment();
  assignment.recordDemand('a', 1_000);
  assignment.recordDemand('b', 0);
  assignment.recordDemand('c', 1_000);
  t.same(sizes(assign(assignment, workers(20))), [9, 2, 9]);
});

t.test('in a small fleet every worker serves every model', async (t) => {
  t.same(sizes(assign(new ModelAssignment(), workers(17))), [17, 17, 17]);
});

t.test('workers stay with their models while demand changes little', async (t) => {
  const assignment = new ModelAssignment();
  for (const model of MODELS) assignment.recordDemand(model, 1_000);
  const before = assign(assignment, workers(30));
  assignment.recordDemand('a', 1_150);
  t.same(assign(assignment, workers(30)), before);
});

t.test('the loss of a worker reassigns no other while shares allow it', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30);
  const before = assign(assignment, all);
  const [removed] = before.get('b') ?? [];
  const after = assign(
    assignment,
    all.filter(({ id }) => id !== removed),
  );
  t.same(after.get('a'), before.get('a'));
  t.same(after.get('c'), before.get('c'));
  t.same(
    after.get('b'),
    before.get('b')?.filter((id) => id !== removed),
  );
});

t.test('a new worker goes to the model with the largest deficit', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30);
  const before = assign(assignment, all);
  const removed = (before.get('b') ?? []).slice(0, 2);
  const rest = all.filter(({ id }) => !removed.includes(id));
  const joined = [
    ...rest,
    { id: 'w-new', zone: 'zone-1', versions: new Map(MODELS.map((model) => [model, 1])) },
  ];
  t.ok(assign(assignment, joined).get('b')?.includes('w-new'));
});

t.test('a new coordinator reconstructs the assignment from the versions', async (t) => {
  const named = new Map(MODELS.map((model) => [model, 7]));
  const fleet = workers(18).map(({ id }, index) => {
    const served = MODELS[(index * 7) % 3];
    const versions = new Map(MODELS.map((model) => [model, model === served ? 6 : 2]));
    return { id, zone: 'zone-1', versions };
  });
  const assigned = assign(new ModelAssignment(), fleet, named);
  for (const { id, versions } of fleet) {
    const served = MODELS.find((model) => versions.get(model) === 6) ?? '';
    t.ok(assigned.get(served)?.includes(id));
  }
});

t.test('a worker serves only a model that it holds', async (t) => {
  const fleet = [
    ...workers(14),
    ...workers(4, ['a']).map((worker) => ({ ...worker, id: `only-${worker.id}` })),
  ];
  const assigned = assign(new ModelAssignment(), fleet);
  for (const model of ['b', 'c']) {
    t.notOk(assigned.get(model)?.some((id) => id.startsWith('only-')));
  }
});

/** Workers in three zones, in turn. */
function zonedWorkers(count: number): AssignableWorker[] {
  return workers(count).map((worker, index) => ({ ...worker, zone: `zone-${index % 3}` }));
}

/** Share of each model's workers that are in the zone of its demand. */
function localShares(assigned: Map<string, string[]>, fleet: readonly AssignableWorker[]) {
  const zones = new Map(fleet.map(({ id, zone }) => [id, zone]));
  return MODELS.map((model, index) => {
    const ids = assigned.get(model) ?? [];
    return ids.filter((id) => zones.get(id) === `zone-${index}`).length / ids.length;
  });
}

t.test('a model gets the workers of the zone that its demand comes from', async (t) => {
  const assignment = new ModelAssignment();
  const fleet = zonedWorkers(30);
  // An assignment made before any demand is known is discarded.
  assign(assignment, fleet);
  MODELS.forEach((model, index) => {
    assignment.recordDemand(model, 1_000, `zone-${index}`);
  });
  t.same(localShares(assign(assignment, fleet), fleet), [1, 1, 1]);
});

t.test('with unequal demand a model gets the rest of its workers from other zones', async (t) => {
  const assignment = new ModelAssignment();
  const fleet = zonedWorkers(30);
  [2_000, 2_000, 1_000].forEach((tokens, index) => {
    assignment.recordDemand(MODELS[index] ?? '', tokens, `zone-${index}`);
  });
  const assigned = assign(assignment, fleet);
  t.same(sizes(assigned), [12, 11, 7]);
  const shares = localShares(assigned, fleet);
  t.ok((shares[0] ?? 0) >= 0.8 && (shares[1] ?? 0) >= 0.8, `${shares}`);
  t.equal(shares[2], 1);
});

t.test('an assignment by zones is stable while demand is', async (t) => {
  const assignment = new ModelAssignment();
  const fleet = zonedWorkers(30);
  const recordAll = () => {
    MODELS.forEach((model, index) => {
      assignment.recordDemand(model, 1_000, `zone-${index}`);
    });
  };
  recordAll();
  const before = assign(assignment, fleet);
  recordAll();
  t.same(assign(assignment, fleet), before);
});

/** Thirty workers in three zones, in turn. */
function workersInThreeZones(): AssignableWorker[] {
  return workers(30).map((worker, index) => ({ ...worker, zone: `zone-${1 + (index % 3)}` }));
}

/** Updates the assignment while the workers of some zones are evacuated. */
function assignWhileEvacuated(
  assignment: ModelAssignment,
  all: readonly AssignableWorker[],
  zones: readonly string[],
): Map<string, string[]> {
  const present = all.filter(({ zone }) => !zones.includes(zone));
  const evacuated = all.filter(({ zone }) => zones.includes(zone));
  const serves = assignment.update(present, new Map(), evacuated);
  return new Map(
    MODELS.map((model) => [
      model,
      present.map(({ id }) => id).filter((worker) => serves(worker, model)),
    ]),
  );
}

/** Workers that serve another model than before. */
function reassigned(
  before: ReadonlyMap<string, readonly string[]>,
  after: ReadonlyMap<string, readonly string[]>,
): string[] {
  const modelOf = (assigned: ReadonlyMap<string, readonly string[]>, worker: string) =>
    [...assigned].find(([, ids]) => ids.includes(worker))?.[0];
  return [...after.values()].flat().filter((id) => modelOf(before, id) !== modelOf(after, id));
}

t.test('workers of an evacuated zone are left out, and the others are reassigned', async (t) => {
  const assignment = new ModelAssignment();
  const all = workersInThreeZones();
  assign(assignment, all);
  const assigned = assignWhileEvacuated(assignment, all, ['zone-1']);
  t.equal([...assigned.values()].flat().length, 20);
  for (const size of sizes(assigned)) t.ok(Math.abs(size - 20 / 3) <= 2, `${size} of 20`);
});

t.test('a model that loses all workers by an evacuation gets others', async (t) => {
  const assignment = new ModelAssignment();
  const all = workersInThreeZones();
  assignment.recordDemand('a', 1_000, 'zone-1');
  assignment.recordDemand('b', 1_000, 'zone-2');
  assignment.recordDemand('c', 1_000, 'zone-3');
  const before = assign(assignment, all);
  const during = assignWhileEvacuated(assignment, all, ['zone-1']);
  t.ok((during.get('a') ?? []).length >= 6, `${during.get('a')}`);
  const back = assign(assignment, all);
  const returned = all.filter(({ zone }) => zone === 'zone-1').map(({ id }) => id);
  t.same(
    reassigned(before, back).filter((id) => returned.includes(id)),
    [],
    'workers that return serve their former models',
  );
  t.same(sizes(back), [10, 10, 10]);
});

t.test('where shares allow it, an evacuation and its end reassign no worker', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30).map((worker, index) => ({
    ...worker,
    zone: `zone-${1 + (Math.floor(index / 3) % 3)}`,
  }));
  const before = assign(assignment, all);
  t.same(reassigned(before, assignWhileEvacuated(assignment, all, ['zone-2'])), []);
  t.same(reassigned(before, assign(assignment, all)), []);
});

t.test('a second evacuation keeps the assignment as far as workers allow', async (t) => {
  const assignment = new ModelAssignment();
  const all = workersInThreeZones();
  assign(assignment, all);
  const afterOneZone = assignWhileEvacuated(assignment, all, ['zone-1']);
  const afterTwoZones = assignWhileEvacuated(assignment, all, ['zone-1', 'zone-2']);
  t.equal(
    [...afterTwoZones.values()].flat().length,
    10,
    'each worker that is left serves one model',
  );
  t.ok(
    reassigned(afterOneZone, afterTwoZones).length <= 4,
    `${reassigned(afterOneZone, afterTwoZones)} reassigned`,
  );
});

t.test('with very few workers left, each serves every model', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30).map((worker, index) => ({
    ...worker,
    zone: index < 4 ? 'zone-1' : 'zone-2',
  }));
  const before = assign(assignment, all);
  t.same(sizes(assignWhileEvacuated(assignment, all, ['zone-2'])), [4, 4, 4]);
  t.same(reassigned(before, assign(assignment, all)), []);
});

/**
 * Guards against serving each model in both regions alike, which sends half of the traffic across
 * the link between them.
 */
const regionOf = (zone: string): string => (zone === 'zone-2' ? 'south' : 'north');

/** Half of the workers in the only zone of `south`, the others in the two zones of `north`. */
function regionalWorkers(): AssignableWorker[] {
  const versions = new Map(MODELS.map((model) => [model, 1]));
  return Array.from({ length: 34 }, (_, index) => ({
    id: `w${index}`,
    zone: index % 2 === 0 ? 'zone-2' : `zone-${index % 4 === 1 ? 0 : 1}`,
    versions,
  }));
}

t.test('a model gets the workers of its region, and others only as demand requires', async (t) => {
  const assignment = new ModelAssignment(regionOf);
  const fleet = regionalWorkers();
  assignment.recordDemand('a', 2_000, 'zone-0');
  assignment.recordDemand('b', 2_000, 'zone-1');
  assignment.recordDemand('c', 1_000, 'zone-2');
  const assigned = assign(assignment, fleet);
  const regions = new Map(fleet.map(({ id, zone }) => [id, regionOf(zone)]));
  const inNorth = MODELS.map(
    (model) => (assigned.get(model) ?? []).filter((id) => regions.get(id) === 'north').length,
  );
  t.same(sizes(assigned), [13, 13, 8]);
  t.equal(inNorth[2], 0, 'the model of the south has no worker in the north');
  t.equal((inNorth[0] ?? 0) + (inNorth[1] ?? 0), 17, 'all of the north serve its own models');
  t.ok(
    Math.abs((inNorth[0] ?? 0) - (inNorth[1] ?? 0)) <= 1,
    'in equal shares, whatever their names',
  );
});

t.test('demand that shifts between zones of a region changes nothing', async (t) => {
  const assignment = new ModelAssignment(regionOf);
  const fleet = regionalWorkers();
  const recordAll = (zones: readonly string[]): void => {
    MODELS.forEach((model, index) => {
      assignment.recordDemand(model, 1_000, zones[index]);
    });
  };
  recordAll(['zone-0', 'zone-1', 'zone-2']);
  const before = assign(assignment, fleet);
  recordAll(['zone-1', 'zone-0', 'zone-2']);
  t.same(assign(assignment, fleet), before);
});
