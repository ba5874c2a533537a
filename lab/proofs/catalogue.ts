/** The ten proofs. */
import { FAULTS, OPERATIONS } from './action-arbitraries.js';
import { AtMostOnceOracle } from './oracles/at-most-once.js';
import { CompleteAnswerOracle } from './oracles/complete-answer.js';
import { ConfigInForceOracle } from './oracles/config-in-force.js';
import { DrainOracle } from './oracles/drain.js';
import { ExactlyOnceOracle } from './oracles/exactly-once.js';
import { NotRunIsTrueOracle } from './oracles/not-run-is-true.js';
import { PlannedStopOracle } from './oracles/planned-stop.js';
import { ResidencyOracle } from './oracles/residency.js';
import { StalenessBoundOracle } from './oracles/staleness-bound.js';
import { WeightVersionsOracle } from './oracles/weight-versions.js';
import type { ProofDefinition } from './proof-definition.js';

/** All proofs, in the order in which the brief names the promises. */
export const PROOFS: readonly ProofDefinition[] = [
  {
    name: 'weight-versions',
    createOracle: () => new WeightVersionsOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, 'publish-version': 40 },
    observeMessages: false,
  },
  {
    name: 'staleness-bound',
    createOracle: () => new StalenessBoundOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, 'publish-version': 12, 'submit-step': 250 },
    observeMessages: false,
  },
  {
    name: 'exactly-once',
    createOracle: () => new ExactlyOnceOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, 'submit-step': 200, 'read-again': 60 },
    observeMessages: false,
  },
  {
    name: 'complete-answer',
    createOracle: () => new CompleteAnswerOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS },
    observeMessages: false,
  },
  {
    name: 'not-run-is-true',
    createOracle: () => new NotRunIsTrueOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, 'isolate-zone': 8, 'disturb-network': 10 },
    observeMessages: false,
  },
  {
    name: 'at-most-once',
    createOracle: () => new AtMostOnceOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, ask: 700, 'disturb-network': 12 },
    observeMessages: false,
  },
  {
    name: 'drain',
    createOracle: () => new DrainOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, drain: 15, 'worker-leaves': 25 },
    observeMessages: false,
  },
  {
    name: 'planned-stop',
    createOracle: () => new PlannedStopOracle(),
    mechanisms: [],
    weights: {
      ...OPERATIONS,
      stop: 20,
      drain: 10,
      'worker-leaves': 15,
      'clock-rate': 3,
      'key-value-slow': 3,
      'key-value-limit': 3,
      'machine-list-lag': 3,
      'watches-break': 3,
    },
    observeMessages: false,
  },
  {
    name: 'config-in-force',
    createOracle: () => new ConfigInForceOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, 'change-zones': 20, 'isolate-zone': 10 },
    observeMessages: false,
  },
  {
    name: 'residency',
    createOracle: () => new ResidencyOracle(),
    mechanisms: [],
    weights: { ...OPERATIONS, ...FAULTS, 'submit-step': 250, 'change-zones': 4 },
    observeMessages: true,
  },
];

/** The proof with a name. */
export function proofNamed(name: string): ProofDefinition | undefined {
  return PROOFS.find((proof) => proof.name === name);
}
