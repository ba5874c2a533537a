/** The ten proofs. */
import { SHORT_ANSWERS } from '../simulation/fleet-plan.js';
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
import { TRIALS } from './trials.js';

/** Median length of answers that often outlast a version. */
const LONG_ANSWERS = 250;

/** Median length of answers that are often under way when something fails. */
const MIDDLE_ANSWERS = 80;

/** Median length of answers that often outlast a change of the configuration. */
const LONGEST_ANSWERS = 800;

/** All proofs, in the order in which the brief names the promises. */
export const PROOFS: readonly ProofDefinition[] = [
  {
    name: 'weight-versions',
    createOracle: () => new WeightVersionsOracle(),
    trials: [TRIALS.segmentVersions],
    weights: { ...OPERATIONS, ...FAULTS, 'publish-version': 40 },
    observeMessages: false,
    medianTokens: SHORT_ANSWERS,
  },
  {
    name: 'staleness-bound',
    createOracle: () => new StalenessBoundOracle(),
    trials: [TRIALS.stalenessCheckAtHandOver, TRIALS.freshnessRuleOfSamples],
    weights: {
      ...OPERATIONS,
      ...FAULTS,
      'publish-version': 20,
      'submit-step': 100,
      'isolate-zone': 10,
    },
    observeMessages: false,
    medianTokens: LONG_ANSWERS,
  },
  {
    name: 'exactly-once',
    createOracle: () => new ExactlyOnceOracle(),
    trials: [
      TRIALS.resultClaim,
      TRIALS.groupCatchUp,
      TRIALS.bodyReplication,
      TRIALS.cursorMonotonic,
    ],
    weights: { ...OPERATIONS, ...FAULTS, 'submit-step': 200, 'read-again': 60 },
    observeMessages: false,
    medianTokens: SHORT_ANSWERS,
  },
  {
    name: 'complete-answer',
    createOracle: () => new CompleteAnswerOracle(),
    trials: [TRIALS.requestIdentity, TRIALS.wholeAnswer, TRIALS.streamOrder],
    weights: { ...OPERATIONS, ...FAULTS },
    observeMessages: false,
    medianTokens: SHORT_ANSWERS,
  },
  {
    name: 'not-run-is-true',
    createOracle: () => new NotRunIsTrueOracle(),
    trials: [TRIALS.unknownOutcome, TRIALS.attemptMemory],
    weights: { ...OPERATIONS, ...FAULTS, 'isolate-zone': 8, 'disturb-network': 10 },
    observeMessages: false,
    medianTokens: SHORT_ANSWERS,
  },
  {
    name: 'at-most-once',
    createOracle: () => new AtMostOnceOracle(),
    trials: [TRIALS.claimBeforeDispatch, TRIALS.dispatchDeduplication, TRIALS.singleDispatch],
    weights: { ...OPERATIONS, ...FAULTS, ask: 700, 'disturb-network': 12 },
    observeMessages: false,
    medianTokens: MIDDLE_ANSWERS,
  },
  {
    name: 'drain',
    createOracle: () => new DrainOracle(),
    trials: [TRIALS.drainRefusal, TRIALS.leavingSignal],
    weights: { ...OPERATIONS, ...FAULTS, drain: 15, 'worker-leaves': 25 },
    observeMessages: false,
    medianTokens: SHORT_ANSWERS,
  },
  {
    name: 'planned-stop',
    createOracle: () => new PlannedStopOracle(),
    trials: [TRIALS.gracefulStop, TRIALS.leavingSignalOfStop],
    weights: {
      ...OPERATIONS,
      stop: 20,
      drain: 10,
      'stop-worker': 6,
      'clock-rate': 3,
      'key-value-slow': 3,
      'key-value-limit': 3,
      'machine-list-lag': 3,
      'watches-break': 3,
    },
    observeMessages: false,
    medianTokens: LONG_ANSWERS,
  },
  {
    name: 'config-in-force',
    createOracle: () => new ConfigInForceOracle(),
    trials: [TRIALS.freshnessRule, TRIALS.revisionOrder, TRIALS.withdrawOnChange],
    weights: { ...OPERATIONS, ...FAULTS, 'change-zones': 10, 'isolate-zone': 12 },
    observeMessages: false,
    medianTokens: LONGEST_ANSWERS,
  },
  {
    name: 'residency',
    createOracle: () => new ResidencyOracle(),
    trials: [TRIALS.residencyRouting, TRIALS.residencyGateway, TRIALS.residencyReplicas],
    weights: { ...OPERATIONS, ...FAULTS, 'submit-step': 250, 'change-zones': 4 },
    observeMessages: true,
    medianTokens: SHORT_ANSWERS,
  },
];

/** The proof with a name. */
export function proofNamed(name: string): ProofDefinition | undefined {
  return PROOFS.find((proof) => proof.name === name);
}
