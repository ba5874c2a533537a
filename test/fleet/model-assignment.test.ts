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

function divide(
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

function sizes(division: Map<string, string[]>): number[] {
  return [...division.values()].map((ids) => ids.length);
}

t.test('each worker serves one model, in equal shares while nothing is known', async (t) => {
  const division = divide(new ModelAssignment(), workers(30));
  t.same(sizes(division), [10, 10, 10]);
  t.equal(new Set([...division.values()].flat()).size, 30);
});

t.test('shares follow the work asked of each model', async (t) => {
  const assignment = new ModelAssignment();
  assignment.recordDemand('a', 1_000);
  assignment.recordDemand('b', 2_000);
  assignment.recordDemand('c', 3_000);
  t.same(sizes(divide(assignment, workers(30))), [6, 10, 14]);
});

t.test('a model without work keeps a few workers', async (t) => {
  const assignment = new ModelAssignment();
  assignment.recordDemand('a', 1_000);
  assignment.recordDemand('b', 0);
  assignment.recordDemand('c', 1_000);
  t.same(sizes(divide(assignment, workers(20))), [9, 2, 9]);
});

t.test('in a small fleet every worker serves every model', async (t) => {
  t.same(sizes(divide(new ModelAssignment(), workers(17))), [17, 17, 17]);
});

t.test('workers stay with their models while work changes little', async (t) => {
  const assignment = new ModelAssignment();
  for (const model of MODELS) assignment.recordDemand(model, 1_000);
  const before = divide(assignment, workers(30));
  assignment.recordDemand('a', 1_150);
  t.same(divide(assignment, workers(30)), before);
});

t.test('a worker that leaves moves no other while shares allow it', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30);
  const before = divide(assignment, all);
  const [gone] = before.get('b') ?? [];
  const after = divide(
    assignment,
    all.filter(({ id }) => id !== gone),
  );
  t.same(after.get('a'), before.get('a'));
  t.same(after.get('c'), before.get('c'));
  t.same(
    after.get('b'),
    before.get('b')?.filter((id) => id !== gone),
  );
});

t.test('the model that misses most workers gets a new one', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30);
  const before = divide(assignment, all);
  const gone = (before.get('b') ?? []).slice(0, 2);
  const rest = all.filter(({ id }) => !gone.includes(id));
  const joined = [
    ...rest,
    { id: 'w-new', zone: 'zone-1', versions: new Map(MODELS.map((model) => [model, 1])) },
  ];
  t.ok(divide(assignment, joined).get('b')?.includes('w-new'));
});

t.test('a new coordinator finds the division by the versions', async (t) => {
  const named = new Map(MODELS.map((model) => [model, 7]));
  const fleet = workers(18).map(({ id }, index) => {
    const served = MODELS[(index * 7) % 3];
    const versions = new Map(MODELS.map((model) => [model, model === served ? 6 : 2]));
    return { id, zone: 'zone-1', versions };
  });
  const division = divide(new ModelAssignment(), fleet, named);
  for (const { id, versions } of fleet) {
    const served = MODELS.find((model) => versions.get(model) === 6) ?? '';
    t.ok(division.get(served)?.includes(id));
  }
});

t.test('a worker serves only a model that it holds', async (t) => {
  const fleet = [
    ...workers(14),
    ...workers(4, ['a']).map((one) => ({ ...one, id: `only-${one.id}` })),
  ];
  const division = divide(new ModelAssignment(), fleet);
  for (const model of ['b', 'c']) {
    t.notOk(division.get(model)?.some((id) => id.startsWith('only-')));
  }
});

/** Workers of three zones in turn. */
function zonedWorkers(count: number): AssignableWorker[] {
  return workers(count).map((one, index) => ({ ...one, zone: `zone-${index % 3}` }));
}

/** Share of each model's workers that are in the zone that its work comes from. */
function sharesAtHome(division: Map<string, string[]>, fleet: readonly AssignableWorker[]) {
  const zones = new Map(fleet.map(({ id, zone }) => [id, zone]));
  return MODELS.map((model, index) => {
    const ids = division.get(model) ?? [];
    return ids.filter((id) => zones.get(id) === `zone-${index}`).length / ids.length;
  });
}

t.test('a model gets the workers of the zone that its work comes from', async (t) => {
  const assignment = new ModelAssignment();
  const fleet = zonedWorkers(30);
  // A division from before anything was asked does not stay.
  divide(assignment, fleet);
  MODELS.forEach((model, index) => {
    assignment.recordDemand(model, 1_000, `zone-${index}`);
  });
  t.same(sharesAtHome(divide(assignment, fleet), fleet), [1, 1, 1]);
});

t.test('where zones ask unequally much, a model takes the rest from others', async (t) => {
  const assignment = new ModelAssignment();
  const fleet = zonedWorkers(30);
  [2_000, 2_000, 1_000].forEach((tokens, index) => {
    assignment.recordDemand(MODELS[index] ?? '', tokens, `zone-${index}`);
  });
  const division = divide(assignment, fleet);
  t.same(sizes(division), [12, 11, 7]);
  const shares = sharesAtHome(division, fleet);
  t.ok((shares[0] ?? 0) >= 0.8 && (shares[1] ?? 0) >= 0.8, `${shares}`);
  t.equal(shares[2], 1);
});

t.test('a division by zones stays as it is while the work does', async (t) => {
  const assignment = new ModelAssignment();
  const fleet = zonedWorkers(30);
  const ask = () => {
    MODELS.forEach((model, index) => {
      assignment.recordDemand(model, 1_000, `zone-${index}`);
    });
  };
  ask();
  const before = divide(assignment, fleet);
  ask();
  t.same(divide(assignment, fleet), before);
});

/** Thirty workers in three zones, each model spread over all of them. */
function threeZones(): AssignableWorker[] {
  return workers(30).map((one, index) => ({ ...one, zone: `zone-${1 + (index % 3)}` }));
}

/** The division over all workers while those of one zone are away. */
function divideWithout(
  assignment: ModelAssignment,
  all: readonly AssignableWorker[],
  zones: readonly string[],
): Map<string, string[]> {
  const present = all.filter(({ zone }) => !zones.includes(zone));
  const away = all.filter(({ zone }) => zones.includes(zone));
  const serves = assignment.update(present, new Map(), away);
  return new Map(
    MODELS.map((model) => [
      model,
      present.map(({ id }) => id).filter((worker) => serves(worker, model)),
    ]),
  );
}

/** Workers that serve another model than before. */
function moved(
  before: ReadonlyMap<string, readonly string[]>,
  after: ReadonlyMap<string, readonly string[]>,
): string[] {
  const modelOf = (division: ReadonlyMap<string, readonly string[]>, worker: string) =>
    [...division].find(([, ids]) => ids.includes(worker))?.[0];
  return [...after.values()].flat().filter((id) => modelOf(before, id) !== modelOf(after, id));
}

t.test('workers of an evacuated zone take no part, and the others are divided anew', async (t) => {
  const assignment = new ModelAssignment();
  const all = threeZones();
  divide(assignment, all);
  const division = divideWithout(assignment, all, ['zone-1']);
  t.equal([...division.values()].flat().length, 20);
  for (const size of sizes(division)) t.ok(Math.abs(size - 20 / 3) <= 2, `${size} of 20`);
});

t.test('an evacuation that takes all workers of a model away gives it others', async (t) => {
  const assignment = new ModelAssignment();
  const all = threeZones();
  assignment.recordDemand('a', 1_000, 'zone-1');
  assignment.recordDemand('b', 1_000, 'zone-2');
  assignment.recordDemand('c', 1_000, 'zone-3');
  const before = divide(assignment, all);
  const during = divideWithout(assignment, all, ['zone-1']);
  t.ok((during.get('a') ?? []).length >= 6, `${during.get('a')}`);
  const back = divide(assignment, all);
  const returned = all.filter(({ zone }) => zone === 'zone-1').map(({ id }) => id);
  t.same(
    moved(before, back).filter((id) => returned.includes(id)),
    [],
    'workers that return serve what they served',
  );
  t.same(sizes(back), [10, 10, 10]);
});

t.test('where shares allow it, an evacuation and its end move no worker', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30).map((one, index) => ({
    ...one,
    zone: `zone-${1 + (Math.floor(index / 3) % 3)}`,
  }));
  const before = divide(assignment, all);
  t.same(moved(before, divideWithout(assignment, all, ['zone-2'])), []);
  t.same(moved(before, divide(assignment, all)), []);
});

t.test('a second evacuation leaves the division as far as there are workers', async (t) => {
  const assignment = new ModelAssignment();
  const all = threeZones();
  divide(assignment, all);
  const one = divideWithout(assignment, all, ['zone-1']);
  const two = divideWithout(assignment, all, ['zone-1', 'zone-2']);
  t.equal([...two.values()].flat().length, 10, 'each worker that is left serves one model');
  t.ok(moved(one, two).length <= 4, `${moved(one, two)} moved`);
});

t.test('where hardly a worker is left, each serves every model', async (t) => {
  const assignment = new ModelAssignment();
  const all = workers(30).map((one, index) => ({ ...one, zone: index < 4 ? 'zone-1' : 'zone-2' }));
  const before = divide(assignment, all);
  t.same(sizes(divideWithout(assignment, all, ['zone-2'])), [4, 4, 4]);
  t.same(moved(before, divide(assignment, all)), []);
});

/**
 * Three models on 34 workers in two regions, two trainers in `north`: each of the models was served in
 * both regions alike, and half of all texts crossed the link.
 */
const NORTH_OR_SOUTH = (zone: string): string => (zone === 'zone-2' ? 'south' : 'north');

/** Half of the workers in the one zone of `south`, the others in the two of `north`. */
function regionalWorkers(): AssignableWorker[] {
  const versions = new Map(MODELS.map((model) => [model, 1]));
  return Array.from({ length: 34 }, (_, index) => ({
    id: `w${index}`,
    zone: index % 2 === 0 ? 'zone-2' : `zone-${index % 4 === 1 ? 0 : 1}`,
    versions,
  }));
}

t.test('a model gets the workers of its region, and others only as its load asks', async (t) => {
  const assignment = new ModelAssignment(NORTH_OR_SOUTH);
  const fleet = regionalWorkers();
  assignment.recordDemand('a', 2_000, 'zone-0');
  assignment.recordDemand('b', 2_000, 'zone-1');
  assignment.recordDemand('c', 1_000, 'zone-2');
  const division = divide(assignment, fleet);
  const regions = new Map(fleet.map(({ id, zone }) => [id, NORTH_OR_SOUTH(zone)]));
  const inNorth = MODELS.map(
    (model) => (division.get(model) ?? []).filter((id) => regions.get(id) === 'north').length,
  );
  t.same(sizes(division), [13, 13, 8]);
  t.equal(inNorth[2], 0, 'the model of the south has no worker in the north');
  t.equal((inNorth[0] ?? 0) + (inNorth[1] ?? 0), 17, 'all of the north serve its own models');
  t.ok(
    Math.abs((inNorth[0] ?? 0) - (inNorth[1] ?? 0)) <= 1,
    'in equal shares, whatever their names',
  );
});

t.test('work that moves from zone to zone of a region changes nothing', async (t) => {
  const assignment = new ModelAssignment(NORTH_OR_SOUTH);
  const fleet = regionalWorkers();
  const ask = (zones: readonly string[]): void => {
    MODELS.forEach((model, index) => {
      assignment.recordDemand(model, 1_000, zones[index]);
    });
  };
  ask(['zone-0', 'zone-1', 'zone-2']);
  const before = divide(assignment, fleet);
  ask(['zone-1', 'zone-0', 'zone-2']);
  t.same(divide(assignment, fleet), before);
});
