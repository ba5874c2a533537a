/** Measures what one routing decision costs, by policy and by size of the fleet. */
import type { GenerationRequest } from '../../src/core/generation.js';
import type { NodeRecord } from '../../src/core/identity.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { WorkerLoad } from '../../src/routing/messages.js';
import { Router } from '../../src/routing/router.js';
import { createRoutingPolicies } from '../../src/routing/routing-policies.js';
import { WorkerDirectory } from '../../src/routing/worker-directory.js';
import { median } from '../common/statistics.js';
import { MODEL, makeMachine, makeNode, makeRequest, makeWorker } from './routing-fixtures.js';

/** Zones of the measured fleet. */
const BENCH_ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Nodes for each worker, as in a fleet of 2,700 nodes and 10,000 workers. */
const NODES_PER_WORKER = 0.27;

/** What was measured for one policy at one size. */
export interface DecisionFigure {
  readonly policy: string;
  readonly workers: number;
  readonly candidates: number;
  readonly decisionsPerSecond: number;
  readonly nanosecondsPerDecision: number;
}

const REQUEST_COUNT = 4_096;
const BATCHES = 15;
const DECISION_TIME = 1_000_000;

/** Workers and nodes of a fleet, spread evenly over the zones. */
export function makeFleetRecords(workerCount: number) {
  const zoneOf = (at: number): string => BENCH_ZONES[at % BENCH_ZONES.length] ?? '';
  const nodeCount = Math.max(BENCH_ZONES.length, Math.round(workerCount * NODES_PER_WORKER));
  return {
    nodes: Array.from({ length: nodeCount }, (_, at) => makeNode(`node-${at}`, zoneOf(at))),
    workers: Array.from({ length: workerCount }, (_, at) =>
      makeWorker(`worker-${at}`, zoneOf(at), 16),
    ),
  };
}

function makeLoad(worker: string, random: RandomSource): WorkerLoad {
  const outstanding = random.integer(16);
  return {
    worker,
    outstanding,
    interactiveOutstanding: 0,
    queueFree: 20 - outstanding,
    reportedLoad: outstanding,
    activeVersion: 5,
    loadedVersions: [4, 5],
    leaving: false,
    health: 'healthy',
  };
}

/** A directory of one node that has heard the load of every worker it follows. */
function makeDirectory(workerCount: number, subsetSize: number): WorkerDirectory {
  const { nodes, workers } = makeFleetRecords(workerCount);
  const random = createRandomSource(workerCount);
  const self = nodes[0] as NodeRecord;
  const directory = new WorkerDirectory({ self, random, subsetSize });
  directory.updateRoutedModels([{ model: MODEL, zones: BENCH_ZONES }], 0);
  directory.updateMachines(
    workers.map((record) => makeMachine(record, 'live')),
    0,
  );
  const byZone = new Map(
    BENCH_ZONES.map((zone) => [zone, nodes.filter((node) => node.zone === zone)]),
  );
  directory.updateNodes((zone) => byZone.get(zone) ?? [], 0);
  for (const { worker } of directory.workersAtHome()) {
    const report = { running: 4, waiting: 0, activeVersion: 5, loadedVersions: [5], epoch: 1 };
    directory.recordReport({ worker, leaving: false, ...report }, 0);
  }
  for (const effect of directory.tick(0)) {
    if (effect.kind !== 'send' || effect.message.kind !== 'subscribe') continue;
    const loads = effect.message.workers.map((worker) => makeLoad(worker, random));
    const body = { kind: 'load', sequence: 1, complete: true, loads, notHome: [] } as const;
    directory.receive(effect.to, body, 0);
  }
  return directory;
}

function makeRequests(random: RandomSource): readonly GenerationRequest[] {
  return Array.from({ length: REQUEST_COUNT }, () =>
    makeRequest({ promptGroup: `group-${random.integer(512)}`, oldestVersion: 4 }),
  );
}

/** One policy at one size, ready to be measured. */
class DecisionRun {
  readonly #directory: WorkerDirectory;
  readonly #router: Router;
  readonly #requests: readonly GenerationRequest[];
  readonly #exclude = new Set<string>();
  readonly #costs: number[] = [];

  constructor(
    readonly policy: string,
    readonly workers: number,
    subsetSize: number,
  ) {
    const random = createRandomSource(1);
    this.#directory = makeDirectory(workers, subsetSize);
    this.#router = new Router({ policy: createRoutingPolicies().create(policy, random), random });
    this.#requests = makeRequests(random);
  }

  /** Takes so many decisions; each looks up its candidates, too. */
  runBatch(decisions: number): void {
    const startedAt = process.hrtime.bigint();
    for (let at = 0; at < decisions; at += 1) this.#decide(at);
    this.#costs.push(Number(process.hrtime.bigint() - startedAt) / decisions);
  }

  /** Forgets what was measured so far. */
  reset(): void {
    this.#costs.length = 0;
  }

  figure(): DecisionFigure {
    // The median over batches, so that a pause of the machine does not count.
    const nanoseconds = median(this.#costs);
    return {
      policy: this.policy,
      workers: this.workers,
      candidates: this.#directory.candidates(MODEL, BENCH_ZONES).length,
      decisionsPerSecond: Math.round(1e9 / nanoseconds),
      nanosecondsPerDecision: Math.round(nanoseconds),
    };
  }

  #decide(at: number): void {
    const request = this.#requests[at % REQUEST_COUNT] as GenerationRequest;
    const decision = this.#router.choose(request, {
      zones: BENCH_ZONES,
      candidates: this.#directory.candidates(request.model, BENCH_ZONES),
      newestVersion: 5,
      exclude: this.#exclude,
      now: DECISION_TIME,
    });
    if (decision.kind !== 'worker') throw new Error(`refused: ${decision.failure.detail}`);
  }
}

/**
 * Measures one policy at all sizes. Batches of the sizes take turns, so that whatever else the
 * machine does weighs on all of them alike; the first round only warms up.
 */
export function measureDecisions(
  policy: string,
  workerCounts: readonly number[],
  subsetSize: number,
  batchDecisions: number,
): readonly DecisionFigure[] {
  const runs = workerCounts.map((workers) => new DecisionRun(policy, workers, subsetSize));
  for (const run of runs) run.runBatch(batchDecisions);
  for (const run of runs) run.reset();
  for (let batch = 0; batch < BATCHES; batch += 1) {
    for (const run of runs) run.runBatch(batchDecisions);
  }
  return runs.map((run) => run.figure());
}
