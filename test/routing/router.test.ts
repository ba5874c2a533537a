import fc from 'fast-check';
import t from 'tap';
import { makeCandidate, makeRequest } from '../../lab/bench/routing-fixtures.js';
import { createRandomSource } from '../../src/core/random.js';
import { executionStateOf, retryAfterOf } from '../../src/errors/error-kinds.js';
import { Router, type RoutingContext } from '../../src/routing/router.js';
import { createRoutingPolicies } from '../../src/routing/routing-policies.js';
import { expectedOutstanding, type WorkerState } from '../../src/routing/worker-candidate.js';

const registry = createRoutingPolicies();

function makeRouter(policy = 'home-counting'): Router {
  const random = createRandomSource(7);
  return new Router({ policy: registry.create(policy, random), random });
}

function makeContext(overrides: Partial<RoutingContext> = {}): RoutingContext {
  return {
    zones: ['zone-a'],
    candidates: [],
    newestVersion: 1,
    exclude: new Set(),
    now: 1_000_000,
    ...overrides,
  };
}

const STATES: WorkerState[] = ['connecting', 'in-service', 'ejected', 'leaving', 'unreachable'];
const candidateArbitrary = fc.record({
  zone: fc.constantFrom('zone-a', 'zone-b', 'zone-c'),
  state: fc.constantFrom(...STATES),
  outstanding: fc.nat(12),
  interactiveOutstanding: fc.nat(12),
  queueFree: fc.nat(3),
  sentSinceUpdate: fc.nat(3),
  reportedLoad: fc.nat(12),
  activeVersion: fc.constantFrom(undefined, 1, 2, 3),
  returnedAt: fc.constantFrom(Number.NEGATIVE_INFINITY, 995_000),
});

t.test('every policy respects zones, states, versions and limits', async () => {
  fc.assert(
    fc.property(
      fc.constantFrom(...registry.names()),
      fc.array(candidateArbitrary, { maxLength: 20 }),
      fc.subarray(['zone-a', 'zone-b', 'zone-c']),
      fc.constantFrom('training' as const, 'interactive' as const),
      fc.nat(3),
      fc.string(),
      (policy, specs, zones, trafficClass, oldestVersion, promptGroup) => {
        const candidates = specs.map((spec, at) => makeCandidate(`worker-${at}`, spec));
        const request = makeRequest({ trafficClass, oldestVersion, promptGroup });
        const exclude = new Set(['worker-0']);
        const context = makeContext({ zones, candidates, exclude });
        const allowed = candidates.filter(
          (one) =>
            zones.includes(one.record.zone) &&
            one.state === 'in-service' &&
            !exclude.has(one.record.worker) &&
            (oldestVersion === 0 || (one.activeVersion ?? 0) >= oldestVersion) &&
            (trafficClass === 'training'
              ? one.queueFree > one.sentSinceUpdate
              : one.interactiveOutstanding <= one.slots),
        );
        const decision = makeRouter(policy).choose(request, context);
        if (decision.kind === 'worker') return allowed.includes(decision.candidate);
        return (
          allowed.length === 0 &&
          executionStateOf(decision.failure) === 'no' &&
          (retryAfterOf(decision.failure) ?? 0) > 0
        );
      },
    ),
    { seed: 2, numRuns: 3_000 },
  );
});

t.test('a refusal gives its reason', async (t) => {
  const kindOf = (context: Partial<RoutingContext>, oldestVersion = 0) => {
    const decision = makeRouter().choose(makeRequest({ oldestVersion }), makeContext(context));
    return decision.kind === 'refused' ? decision.failure.kind : decision.kind;
  };
  const worker = makeCandidate('worker');
  t.equal(kindOf({}), 'no_worker');
  t.equal(kindOf({ candidates: [worker], zones: ['zone-b'] }), 'no_worker');
  t.equal(kindOf({ candidates: [makeCandidate('x', { state: 'ejected' })] }), 'no_worker');
  t.equal(kindOf({ candidates: [worker] }, 2), 'version_unknown');
  const tooNew = makeCandidate('x', { activeVersion: 3 });
  t.equal(kindOf({ candidates: [tooNew], maximumVersion: 2 }), 'version_unknown');
  t.equal(kindOf({ candidates: [worker], newestVersion: undefined }, 1), 'version_unknown');
  t.equal(kindOf({ candidates: [makeCandidate('x', { queueFree: 0 })] }), 'overloaded');
  t.equal(kindOf({ candidates: [worker], exclude: new Set(['worker']) }), 'overloaded');
  t.equal(kindOf({ candidates: [worker] }, 1), 'worker');
});

t.test('a prompt group stays on its worker until the worker reaches the load bound', async (t) => {
  const loads = new Map<string, number>();
  const candidates = Array.from({ length: 8 }, (_, at) =>
    makeCandidate(`worker-${at}`, { queueFree: 100, slots: 16 }),
  );
  const live = candidates.map((candidate) => ({
    ...candidate,
    get outstanding() {
      return loads.get(candidate.record.worker) ?? 0;
    },
  }));
  const router = makeRouter();
  const chosen: string[] = [];
  const reasons = new Set<string>();
  for (let sample = 0; sample < 64; sample += 1) {
    const decision = router.choose(makeRequest(), makeContext({ candidates: live }));
    if (decision.kind !== 'worker') return t.fail('refused');
    const { worker } = decision.candidate.record;
    chosen.push(worker);
    reasons.add(decision.reason);
    loads.set(worker, (loads.get(worker) ?? 0) + 1);
  }
  t.same(reasons, new Set(['prefix-affinity', 'load-bound-passed-on']));
  const counts = live.map(expectedOutstanding);
  t.ok(Math.max(...counts) <= Math.ceil(1.15 * 8), `bounded: ${counts.join()}`);
  loads.clear();
  const again = router.choose(makeRequest(), makeContext({ candidates: live }));
  t.equal(again.kind === 'worker' && again.candidate.record.worker, chosen[0]);
});

t.test('a returning worker gets a slow start', async (t) => {
  const shareAt = (elapsed: number) => {
    const now = 1_000_000;
    const counts = new Map<string, number>();
    const candidates = Array.from({ length: 4 }, (_, at) => ({
      ...makeCandidate(`worker-${at}`, { queueFree: 100, returnedAt: now - elapsed }),
      ...(at > 0 ? { returnedAt: Number.NEGATIVE_INFINITY } : {}),
      get outstanding() {
        return counts.get(`worker-${at}`) ?? 0;
      },
    }));
    const router = makeRouter();
    for (let sample = 0; sample < 28; sample += 1) {
      const request = makeRequest({ promptGroup: `group-${sample}` });
      const decision = router.choose(request, makeContext({ candidates, now }));
      if (decision.kind !== 'worker') throw new Error('refused');
      const { worker } = decision.candidate.record;
      counts.set(worker, (counts.get(worker) ?? 0) + 1);
    }
    return counts.get('worker-0') ?? 0;
  };
  t.ok(shareAt(500) <= 2, 'a small share at first');
  t.ok(shareAt(20_000) >= 4, 'its full share later');
});
