/**
 * For each mechanism the steps that press on it: what must come together for its lack to show. A
 * proof runs them with all mechanisms on as well.
 */
import { type ActionWeights, FAULTS, OPERATIONS } from './action-arbitraries.js';
import type { MechanismTrial } from './proof-definition.js';

/** Pause that gives replica groups time to change between two ends of a node. */
const PAUSE_FOR_REPAIR = 700;

/** Pause that gives a configuration time to grow old between two changes of it. */
const PAUSE_FOR_AGE = 300;

const EVERYTHING: ActionWeights = { ...OPERATIONS, ...FAULTS };

const NETWORK: ActionWeights = { ...OPERATIONS, 'disturb-network': 40, freeze: 10 };

const ENDS: ActionWeights = { ...OPERATIONS, kill: 30, freeze: 20, 'crash-engine': 20 };

/** Trials by mechanism; where two proofs share a mechanism, each has its own. */
export const TRIALS = {
  segmentVersions: {
    mechanism: 'segment-versions',
    weights: { ...EVERYTHING, 'publish-version': 40 },
  },
  stalenessCheckAtHandOver: {
    mechanism: 'staleness-check-at-hand-over',
    weights: { 'submit-step': 40, 'publish-version': 20, freeze: 3, 'ask-status': 10 },
  },
  freshnessRuleOfSamples: {
    mechanism: 'freshness-rule',
    weights: { 'submit-step': 100, 'publish-version': 50, 'isolate-zone': 10, 'ask-status': 100 },
  },
  resultClaim: { mechanism: 'result-claim', weights: { ...EVERYTHING, 'submit-step': 200 } },
  groupCatchUp: {
    mechanism: 'group-catch-up',
    weights: { 'submit-step': 80, 'read-again': 60, kill: 50, 'isolate-zone': 40 },
    longestPause: PAUSE_FOR_REPAIR,
  },
  bodyReplication: {
    mechanism: 'body-replication',
    weights: { ...ENDS, 'submit-step': 200, 'read-again': 60 },
  },
  cursorMonotonic: {
    mechanism: 'cursor-monotonic',
    weights: { ...NETWORK, 'submit-step': 200, 'read-again': 200 },
  },
  requestIdentity: { mechanism: 'request-identity', weights: EVERYTHING },
  wholeAnswer: { mechanism: 'whole-answer', weights: ENDS },
  streamOrder: { mechanism: 'stream-order', weights: NETWORK },
  unknownOutcome: { mechanism: 'unknown-outcome', weights: { ...ENDS, 'isolate-zone': 8 } },
  attemptMemory: {
    mechanism: 'attempt-memory',
    weights: { ...ENDS, ask: 500, 'crash-engine': 80, 'isolate-zone': 4 },
  },
  claimBeforeDispatch: { mechanism: 'claim-before-dispatch', weights: { ...NETWORK, ask: 700 } },
  dispatchDeduplication: {
    mechanism: 'dispatch-deduplication',
    weights: { ask: 300, 'disturb-network': 25 },
  },
  singleDispatch: { mechanism: 'single-dispatch', weights: { ...ENDS, ask: 700 } },
  drainRefusal: { mechanism: 'drain-refusal', weights: { ask: 300, drain: 10 } },
  leavingSignal: { mechanism: 'leaving-signal', weights: { ask: 300, 'worker-leaves': 10 } },
  gracefulStop: { mechanism: 'graceful-stop', weights: { ask: 100, 'submit-step': 30, stop: 5 } },
  leavingSignalOfStop: {
    mechanism: 'leaving-signal',
    weights: { ask: 300, 'stop-worker': 6, 'submit-step': 20 },
  },
  freshnessRule: {
    mechanism: 'freshness-rule',
    weights: { ask: 100, 'change-zones': 8, 'isolate-zone': 6 },
    longestPause: PAUSE_FOR_AGE,
  },
  revisionOrder: {
    mechanism: 'revision-order',
    weights: {
      ask: 50,
      'change-zones': 40,
      race: 20,
      'publish-version': 20,
      'disturb-network': 30,
    },
  },
  withdrawOnChange: {
    mechanism: 'withdraw-on-change',
    weights: { 'submit-step': 40, ask: 20, 'change-zones': 5 },
    longestPause: PAUSE_FOR_AGE,
  },
  residencyRouting: { mechanism: 'residency-routing', weights: EVERYTHING },
  residencyGateway: { mechanism: 'residency-gateway', weights: EVERYTHING },
  residencyReplicas: { mechanism: 'residency-replicas', weights: EVERYTHING },
} as const satisfies Readonly<Record<string, MechanismTrial>>;
