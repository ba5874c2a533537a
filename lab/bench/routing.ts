/** `bench -- routing`: cost of decisions, cost of the directory, and the retry storm experiment. */
import { createRandomSource } from '../../src/core/random.js';
import { HOME_COUNTING } from '../../src/routing/home-counting-policy.js';
import { createRoutingPolicies } from '../../src/routing/routing-policies.js';
import { numberFlag } from '../common/flags.js';
import type { CommandFlags } from '../main.js';
import { type DecisionFigure, measureDecisions } from './routing-decisions.js';
import { measureDirectory } from './routing-directory-cost.js';
import { measureRetryStorm } from './routing-retry-storm.js';

/** Fleet sizes measured, in workers. */
const WORKER_COUNTS = [100, 300, 1_000, 3_000, 10_000];

/** Workers followed of one model and zone. */
const SUBSET_SIZE = 32;

/** Decisions timed together, with subsets and without. */
const BATCH_DECISIONS = 10_000;
const SLOW_DECISIONS = 200;

/** What issue 6 asks of the default policy. */
const REQUIRED_DECISIONS_PER_SECOND = 200_000;
const ALLOWED_COST_SPREAD = 1.2;

/** Attempts a request may cost at most, on average, while a zone fails. */
const ALLOWED_ATTEMPTS_PER_REQUEST = 1.15;

/** Largest cost over smallest, whatever the sizes of the fleets. */
function spreadOf(figures: readonly DecisionFigure[]): number {
  const costs = figures.map((figure) => figure.nanosecondsPerDecision);
  return Math.max(...costs) / Math.min(...costs);
}

function measurePolicies(): readonly DecisionFigure[] {
  const policies = createRoutingPolicies().names();
  return policies.flatMap((policy) =>
    measureDecisions(policy, WORKER_COUNTS, SUBSET_SIZE, BATCH_DECISIONS),
  );
}

/** Runs the bench; `--seed` seeds the retry storm, `--max-workers` leaves out larger fleets. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const seed = numberFlag(flags, 'seed', createRandomSource(1).integer(1_000));
  const largest = numberFlag(flags, 'max-workers', Math.max(...WORKER_COUNTS));
  const decisions = measurePolicies();
  console.table(decisions);
  const everyWorker = Number.MAX_SAFE_INTEGER;
  const unbounded = measureDecisions(HOME_COUNTING, WORKER_COUNTS, everyWorker, SLOW_DECISIONS);
  console.log('Without subsets:');
  console.table(unbounded);
  const sizes = WORKER_COUNTS.filter((workers) => workers <= largest);
  const directory = sizes.map((workers) => measureDirectory(workers, SUBSET_SIZE));
  console.table(directory);
  const retryStorm = [measureRetryStorm(seed, false), measureRetryStorm(seed, true)];
  console.table(retryStorm);
  const own = decisions.filter((figure) => figure.policy === HOME_COUNTING);
  const decisionsPerSecond = Math.min(...own.map((figure) => figure.decisionsPerSecond));
  const costSpread = Number(spreadOf(own).toFixed(3));
  const attemptsPerRequest = retryStorm[1]?.attemptsPerRequest ?? Number.POSITIVE_INFINITY;
  const holds =
    decisionsPerSecond >= REQUIRED_DECISIONS_PER_SECOND &&
    costSpread <= ALLOWED_COST_SPREAD &&
    attemptsPerRequest <= ALLOWED_ATTEMPTS_PER_REQUEST;
  const line = { bench: 'routing', seed, decisionsPerSecond, costSpreadRatio: costSpread };
  console.log(JSON.stringify({ ...line, decisions, unbounded, directory, retryStorm, holds }));
  return holds ? 0 : 1;
}
