import t from 'tap';
import { type AssignableWorker, ModelAssignment } from '../../src/fleet/model-assignment.js';

const MODELS = ['a', 'b', 'c'];

function workers(count: number, models = MODELS): AssignableWorker[] {
  const versions = new Map(models.map((model) => [model, 1]));
  return Array.from({ length: count }, (_, index) => ({ id: `w${index}`, versions }));
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
  assignment.noteWork('a', 1_000);
  assignment.noteWork('b', 2_000);
  assignment.noteWork('c', 3_000);
  t.same(sizes(divide(assignment, workers(30))), [6, 10, 14]);
});

t.test('a model without work keeps a few workers', async (t) => {
  const assignment = new ModelAssignment();
  assignment.noteWork('a', 1_000);
  assignment.noteWork('b', 0);
  assignment.noteWork('c', 1_000);
  t.same(sizes(divide(assignment, workers(20))), [9, 2, 9]);
});

t.test('in a small fleet every worker serves every model', async (t) => {
  t.same(sizes(divide(new ModelAssignment(), workers(17))), [17, 17, 17]);
});

t.test('workers stay with their models while work changes little', async (t) => {
  const assignment = new ModelAssignment();
  for (const model of MODELS) assignment.noteWork(model, 1_000);
  const before = divide(assignment, workers(30));
  assignment.noteWork('a', 1_150);
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
  const joined = [...rest, { id: 'w-new', versions: new Map(MODELS.map((model) => [model, 1])) }];
  t.ok(divide(assignment, joined).get('b')?.includes('w-new'));
});

t.test('a new coordinator finds the division by the versions', async (t) => {
  const named = new Map(MODELS.map((model) => [model, 7]));
  const fleet = workers(18).map(({ id }, index) => {
    const served = MODELS[(index * 7) % 3];
    return { id, versions: new Map(MODELS.map((model) => [model, model === served ? 6 : 2])) };
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
