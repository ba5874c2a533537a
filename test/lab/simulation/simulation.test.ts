import t from 'tap';
import type { Step } from '../../../lab/simulation/action.js';
import { associationPlan } from '../../../lab/simulation/fleet-plan.js';
import { createNodeFactory } from '../../../lab/simulation/node-core-factory.js';
import { Scenario } from '../../../lab/simulation/scenario.js';
import { Simulation } from '../../../lab/simulation/simulation.js';
import { contentDigest } from '../../../src/core/hashing.js';

const STEPS: readonly Step[] = [
  {
    after: 10,
    action: { kind: 'submit-step', trainer: 0, samples: 6, maxTokens: 12, timeout: 3_600_000 },
  },
  { after: 50, action: { kind: 'kill', node: 4, downtime: 3_000 } },
  { after: 50, action: { kind: 'isolate-zone', zone: 2, duration: 2_000 } },
  {
    after: 50,
    action: {
      kind: 'ask',
      caller: 0,
      repeatable: true,
      keyed: true,
      stream: true,
      maxTokens: 9,
      patience: 3_000,
    },
  },
];

interface Run {
  /** Digest of all that was seen. */
  readonly digest: string;
  readonly kinds: ReadonlyMap<string, number>;
}

function run(seed: number): Run {
  const createNode = createNodeFactory();
  const simulation = new Simulation({
    seed,
    plan: associationPlan(),
    createNode,
    observeMessages: true,
  });
  const kinds = new Map<string, number>();
  let digest = '';
  simulation.addObserver((observation) => {
    kinds.set(observation.kind, (kinds.get(observation.kind) ?? 0) + 1);
    digest = contentDigest(digest + JSON.stringify(observation));
  });
  const scenario = new Scenario(simulation);
  scenario.begin();
  for (const step of STEPS) scenario.take(step);
  scenario.settle();
  return { digest, kinds };
}

t.test('one seed gives one run, another seed another', async (t) => {
  const first = run(1);
  t.equal(run(1).digest, first.digest);
  t.not(run(2).digest, first.digest);
});

t.test('a run shows the work, the faults and their end', async (t) => {
  const { kinds } = run(3);
  for (const kind of ['engine-accepted', 'reply-received', 'message', 'key-value-changed']) {
    t.ok((kinds.get(kind) ?? 0) > 0, kind);
  }
  t.equal(kinds.get('node-ended'), 1);
  t.equal(kinds.get('node-started'), 10, 'nine nodes, and one of them again');
});

t.test('a node is not ended while a replica group needs it', async (t) => {
  const simulation = new Simulation({
    seed: 1,
    plan: associationPlan(),
    createNode: createNodeFactory(),
    observeMessages: false,
  });
  const scenario = new Scenario(simulation);
  scenario.begin();
  const taken = Array.from({ length: 9 }, (_, node) =>
    scenario.take({ after: 0, action: { kind: 'kill', node, downtime: 1_000 } }),
  );
  t.ok(taken.includes(true));
  t.ok(taken.includes(false));
});
