import fc from 'fast-check';
import t from 'tap';
import { MODEL, makeRequest, makeWorker } from '../../lab/bench/routing-fixtures.js';
import { executionStateOf, retryAfterOf } from '../../src/errors/error-kinds.js';
import { maxMinShares } from '../../src/routing/fair-share.js';
import { HomeAdmission } from '../../src/routing/home-admission.js';

const worker = makeWorker('worker', 'zone-a', 8);

function training(dispatchId: string, account = 'trainer') {
  return { dispatchId, worker, request: makeRequest({ account }) };
}

function interactive(dispatchId: string) {
  return { dispatchId, worker, request: makeRequest({ trafficClass: 'interactive' }) };
}

function fill(admission: HomeAdmission, count: number, account = 'trainer') {
  for (let at = 0; at < count; at += 1) admission.admit(training(`${account}-${at}`, account), at);
}

t.test('a full worker refuses at once as not run, with an estimated retry delay', async (t) => {
  const admission = new HomeAdmission();
  fill(admission, 10);
  t.same(admission.counts(worker), { outstanding: 10, interactiveOutstanding: 0, queueFree: 0 });
  const result = admission.admit(training('late'), 100);
  if (result.kind !== 'refused') return t.fail('not refused');
  t.equal(result.failure.kind, 'overloaded');
  t.equal(executionStateOf(result.failure), 'no');
  t.equal(admission.stateOf('late'), 'absent', 'no state is stored for it');
  t.equal(admission.counts(worker).outstanding, 10);
  const retryAfterBefore = retryAfterOf(result.failure) ?? 0;
  for (let at = 0; at < 8; at += 1) {
    for (const id of admission.dispatchesOf('worker').slice(0, 1)) admission.release(id, 40_000);
    admission.admit(training(`slow-${at}`), 40_000);
  }
  const slower = admission.admit(training('later'), 40_000);
  if (slower.kind !== 'refused') return t.fail('not refused');
  t.ok(
    (retryAfterOf(slower.failure) ?? 0) > retryAfterBefore,
    'slower service gives a longer retry delay',
  );
});

t.test('interactive work preempts the youngest training dispatch', async (t) => {
  const admission = new HomeAdmission();
  fill(admission, 10);
  t.same(admission.admit(interactive('lookup'), 50), { kind: 'admitted', preempt: 'trainer-7' });
  t.equal(admission.stateOf('trainer-7'), 'absent');
  t.same(admission.release('trainer-7', 60), [], 'releasing the preempted one starts nothing');
  t.same(admission.release('lookup', 70), ['trainer-8'], 'the next queued one starts');
});

t.test(
  'training leaves the reserve free, and interactive work in it preempts nothing',
  async (t) => {
    const admission = new HomeAdmission();
    const reservedShares = new Map([[MODEL, 0.25]]);
    admission.updateLimits({ reservedShares, accountWeights: new Map() });
    fill(admission, 20);
    const running = admission
      .dispatchesOf('worker')
      .filter((id) => admission.stateOf(id) === 'running');
    t.equal(running.length, 6);
    t.same(admission.admit(interactive('lookup-1'), 50), { kind: 'admitted', preempt: null });
    t.same(admission.admit(interactive('lookup-2'), 50), { kind: 'admitted', preempt: null });
    t.match(admission.admit(interactive('lookup-3'), 50), { preempt: 'trainer-5' });
  },
);

t.test('interactive work fills the slots and a short queue, then is refused', async (t) => {
  const admission = new HomeAdmission();
  const kinds = Array.from(
    { length: 11 },
    (_, at) => admission.admit(interactive(`i-${at}`), 0).kind,
  );
  t.same(kinds.slice(0, 8), Array(8).fill('admitted'));
  t.same(kinds.slice(8), ['queued', 'queued', 'refused']);
  t.same(admission.release('i-0', 100), ['i-8']);
});

t.test('trainers converge to shares by weight, and each gets a share', async (t) => {
  const admission = new HomeAdmission();
  admission.updateLimits({ reservedShares: new Map(), accountWeights: new Map([['heavy', 3]]) });
  fill(admission, 10, 'heavy');
  t.equal(
    admission.admit(training('light-0', 'light'), 10).kind,
    'queued',
    'the second trainer is queued',
  );
  const owners = new Map<string, string>();
  let next = 0;
  for (let round = 0; round < 200; round += 1) {
    const oldest = admission.dispatchesOf('worker')[0] ?? '';
    admission.release(oldest, round * 100);
    for (const account of ['heavy', 'heavy', 'light', 'light']) {
      next += 1;
      const id = `${account}-n${next}`;
      const { kind } = admission.admit(training(id, account), round * 100);
      if (kind !== 'refused') owners.set(id, account);
    }
  }
  const running = admission
    .dispatchesOf('worker')
    .filter((id) => admission.stateOf(id) === 'running');
  const light = running.filter((id) => owners.get(id) === 'light').length;
  t.equal(running.length, 8);
  t.equal(light, 2, 'a quarter of the slots');
});

t.test(
  'with a full queue a trainer above its share is refused, and one below it is queued',
  async (t) => {
    const admission = new HomeAdmission();
    fill(admission, 8, 'first');
    fill(admission, 2, 'second');
    t.equal(admission.admit(training('first-more', 'first'), 20).kind, 'refused');
    t.equal(admission.admit(training('third-0', 'third'), 20).kind, 'queued');
    t.equal(
      admission.admit(training('third-1', 'third'), 20).kind,
      'refused',
      'one queue slot only',
    );
  },
);

t.test(
  'the home refuses dispatches to a leaving worker, and does not admit one twice',
  async (t) => {
    const leaving = new Set<string>();
    const admission = new HomeAdmission({ isLeaving: (name) => leaving.has(name) });
    t.equal(admission.admit(training('first'), 0).kind, 'admitted');
    t.equal(admission.admit(training('first'), 0).kind, 'queued');
    t.equal(admission.counts(worker).outstanding, 1);
    leaving.add('worker');
    t.match(admission.admit(interactive('second'), 1), {
      failure: { kind: 'overloaded', ran: 'no' },
    });
    t.equal(admission.stateOf('first'), 'running', 'running work continues');
  },
);

t.test('max-min shares use the capacity up to the total demand and are fair', async () => {
  const demand = fc.record({ demand: fc.nat(50), weight: fc.integer({ min: 1, max: 5 }) });
  fc.assert(
    fc.property(fc.nat(100), fc.array(demand, { maxLength: 6 }), (capacity, specs) => {
      const demands = specs.map((spec, at) => ({ ...spec, account: `a${at}` }));
      const shares = maxMinShares(capacity, demands);
      const shareOf = (account: string) => shares.get(account) ?? 0;
      const total = demands.reduce((sum, one) => sum + shareOf(one.account), 0);
      const totalDemand = demands.reduce((sum, one) => sum + one.demand, 0);
      const level = Math.max(0, ...demands.map((one) => shareOf(one.account) / one.weight));
      const isFair = demands.every((one) => {
        const share = shareOf(one.account);
        return share >= one.demand - 1e-9 || share / one.weight >= level - 1e-9;
      });
      return isFair && Math.abs(total - Math.min(capacity, totalDemand)) < 1e-6;
    }),
    { seed: 3, numRuns: 500 },
  );
});

t.test('limits and counts hold under any order of events', async () => {
  const event = fc.record({
    kind: fc.constantFrom('training', 'interactive', 'release', 'release'),
    account: fc.constantFrom('a', 'b', 'c'),
    pick: fc.nat(),
  });
  fc.assert(
    fc.property(fc.array(event, { maxLength: 120 }), (events) => {
      const admission = new HomeAdmission();
      const reservedShares = new Map([[MODEL, 0.25]]);
      admission.updateLimits({ reservedShares, accountWeights: new Map() });
      const running = new Map<string, string>();
      const queued = new Map<string, string>();
      return events.every(({ kind, account, pick }, at) => {
        if (kind === 'release') {
          const dispatchIds = [...running.keys(), ...queued.keys()];
          const id = dispatchIds[pick % Math.max(1, dispatchIds.length)] ?? 'none';
          running.delete(id);
          queued.delete(id);
          for (const started of admission.release(id, at)) {
            running.set(started, queued.get(started) ?? 'unknown');
            queued.delete(started);
          }
        } else {
          const id = `d${at}`;
          const make = kind === 'training' ? training(id, account) : interactive(id);
          const result = admission.admit(make, at);
          if (result.kind === 'admitted') {
            if (result.preempt !== null && running.get(result.preempt) !== 'training') return false;
            if (result.preempt !== null) running.delete(result.preempt);
            running.set(id, kind);
          }
          if (result.kind === 'queued') queued.set(id, kind);
        }
        const kinds = [...running.values()];
        const trainingRuns = kinds.filter((one) => one === 'training').length;
        const interactiveWaitsForTraining =
          [...queued.values()].includes('interactive') && trainingRuns > 0;
        return (
          running.size <= 8 &&
          trainingRuns <= 6 &&
          queued.size <= 7 &&
          !interactiveWaitsForTraining &&
          !kinds.includes('unknown') &&
          admission.counts(worker).outstanding === running.size + queued.size
        );
      });
    }),
    { seed: 4, numRuns: 1_000 },
  );
});
