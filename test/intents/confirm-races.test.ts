import fc from 'fast-check';
import t from 'tap';
import { readHistory } from '../../src/intents/history.js';
import type { Fault } from './fixtures/fake-key-value.js';
import { acceptedRevision, DRAFT, ServiceHarness } from './fixtures/service-harness.js';

const NODES = 3;
const SEED = 20_261_202;
const RUNS = 5_000;

const fault = fc.constantFrom<Fault>(
  'none',
  'none',
  'none',
  'applied-answer-lost',
  'not-applied',
  'lost-unapplied',
  'late',
);

const duration = fc.oneof(
  { weight: 9, arbitrary: fc.integer({ min: 100, max: 300 }) },
  { weight: 1, arbitrary: fc.integer({ min: 2_000, max: 6_000 }) },
);

const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('serve'), fault, place: fc.nat(5) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass'), duration }) },
  { weight: 2, arbitrary: fc.constant({ kind: 'apply-late' }) },
);

type Step = { kind: string; fault?: Fault; place?: number; duration?: number };

function take(harness: ServiceHarness, next: Step): void {
  if (next.kind === 'serve' && harness.pending.length > 0) {
    harness.serve(next.fault ?? 'none', (next.place ?? 0) % harness.pending.length);
  } else if (next.kind === 'pass') harness.pass(next.duration ?? 0);
  else if (next.kind === 'apply-late') harness.store.applyLate();
}

t.test('under any faults a reply is true of what took effect', async (t) => {
  const seen = new Map<string, number>();
  const property = fc.property(
    fc.array(step, { minLength: 30, maxLength: 90, size: 'max' }),
    fc.nat(1_000),
    (steps, seed) => {
      const harness = new ServiceHarness(NODES, seed);
      const plans = [1, 2].map((bound) => harness.propose({ ...DRAFT, stalenessBound: bound }));
      // Each node confirms one plan under an account of its own; two of them the same plan.
      const callIds = Array.from({ length: NODES }, (_, node) => {
        const planId = plans[node % plans.length] ?? '';
        return harness.start({ kind: 'intent-confirm', account: `operator-${node}`, planId }, node);
      });
      for (const next of steps) take(harness, next);
      for (let round = 0; round < 120; round += 1) {
        while (harness.pending.length > 0) harness.serve('none');
        harness.pass(100);
      }
      for (let late = 0; late < 60; late += 1) harness.store.applyLate();

      const records = readHistory(
        [...harness.store.entries.values()].filter(({ key }) =>
          key.startsWith('/wardwing/history/'),
        ),
      );
      if (records.length > 1) throw new Error('both rivals took effect');
      callIds.forEach((callId, node) => {
        const reply = harness.replies.get(callId);
        if (reply === undefined) throw new Error('a call was never answered');
        const own = records.find(({ record }) => record.account === `operator-${node}`);
        const outcome = reply.kind === 'failed' ? reply.failure.kind : 'accepted';
        seen.set(outcome, (seen.get(outcome) ?? 0) + 1);
        if (outcome === 'confirm_unknown') return;
        if ((outcome === 'accepted') !== (own !== undefined)) {
          throw new Error(`answered ${outcome}, record: ${JSON.stringify(own)}`);
        }
        if (own !== undefined && acceptedRevision(reply) !== own.revision) {
          throw new Error('the revision is wrong');
        }
      });
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS });
  const outcomes = ['accepted', 'plan_stale', 'plan_used', 'configuration_unavailable'];
  for (const outcome of [...outcomes, 'confirm_unknown']) {
    t.ok((seen.get(outcome) ?? 0) > 0, `${outcome} came about`);
  }
});
