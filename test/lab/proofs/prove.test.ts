import t from 'tap';
import { proofNamed } from '../../../lab/proofs/catalogue.js';
import type { ProofDefinition } from '../../../lab/proofs/proof-definition.js';
import { type ProofOutcome, prove } from '../../../lab/proofs/prove.js';
import { runSteps } from '../../../lab/proofs/run-steps.js';
import { createStubFactory, type StubFault } from '../simulation/stub-node.js';

/** A proof by name, tried with client operations only. */
function calm(name: string): ProofDefinition {
  const proof = proofNamed(name);
  if (proof === undefined) throw new Error(`no proof ${name}`);
  return { ...proof, weights: { 'submit-step': 2, ask: 3 }, trials: [] };
}

function tryStub(name: string, fault: StubFault, seed = 1): ProofOutcome {
  const createNode = createStubFactory(fault);
  return prove({
    proof: calm(name),
    createNode,
    without: null,
    seed,
    steps: 100,
    shrinkTime: 3_000,
  });
}

for (const name of ['weight-versions', 'exactly-once', 'complete-answer']) {
  t.test(`${name} holds for a faultless stub`, async (t) => {
    const outcome = tryStub(name, 'none');
    t.ok(outcome.holds, JSON.stringify(outcome.failing?.violations));
    t.ok(outcome.checked > 0);
  });
}

t.test('a faulty stub is found out, and the failing run is made short', async (t) => {
  for (const [name, fault] of [
    ['weight-versions', 'wrong-version'],
    ['exactly-once', 'twice'],
    ['complete-answer', 'incomplete'],
  ] as const) {
    const outcome = tryStub(name, fault);
    t.notOk(outcome.holds, name);
    t.ok((outcome.failing?.steps.length ?? 100) <= 3, `${name} fails in few steps`);
  }
});

t.test('one seed gives one result', async (t) => {
  t.same(tryStub('exactly-once', 'none', 7), tryStub('exactly-once', 'none', 7));
});

t.test('the shortened steps fail again by themselves', async (t) => {
  const failing = tryStub('exactly-once', 'twice').failing;
  const run = runSteps(
    {
      proof: calm('exactly-once'),
      createNode: createStubFactory('twice'),
      seed: failing?.simulationSeed ?? 0,
    },
    failing?.steps ?? [],
  );
  t.equal(run.oracle.violations[0]?.detail, failing?.violations[0]?.detail);
});
