/**
 * One deployment in simulated time under one variant: engines, weight rollouts, a trainer,
 * interactive traffic and faults. The seed fixes prompts, lengths, arrivals, training times and
 * faults, so variants differ in their decisions only.
 */
import { createRandomSource } from '../../src/core/random.js';
import { MINUTE, type Milliseconds, SECOND } from '../../src/core/units.js';
import type { WorkerRecord } from '../../src/platform/worker.js';
import { createRoutingPolicies } from '../../src/routing/routing-policies.js';
import { mean, percentile } from '../common/statistics.js';
import { EngineCore, type EngineOutput } from '../emulator/engine-core.js';
import { DEFAULT_ENGINE_SETTINGS } from '../emulator/engine-settings.js';
import { EventQueue } from '../simulation/event-queue.js';
import { CandidateTable } from './candidate-table.js';
import {
  type DeploymentSettings,
  INTERACTIVE_ENGINE,
  TRAINING_ENGINE,
} from './deployment-settings.js';
import { DeploymentWeights } from './deployment-weights.js';
import { EngineHost } from './engine-host.js';
import { scheduleFaults } from './fault-plan.js';
import { InteractiveLoad } from './interactive-load.js';
import { type RunFigures, roundFigure } from './measures.js';
import { StepDrawing } from './step-drawing.js';
import { Trainer } from './trainer.js';
import type { Variant } from './variants.js';

/** Simulated time of one run. */
const RUN_TIME: Milliseconds = 45 * MINUTE;

/** Latency of a lookup in the first minute is not measured, as weights are being loaded. */
const INTERACTIVE_WARM_UP_SHARE = 0.05;

function createHosts(
  settings: DeploymentSettings,
  model: string,
  count: number,
  engine: Partial<typeof DEFAULT_ENGINE_SETTINGS>,
  queue: EventQueue,
  seed: number,
): EngineHost[] {
  return Array.from({ length: count }, (_, index) => {
    const record: WorkerRecord = {
      worker: `${model}-${index}`,
      model,
      zone: settings.zones[index % settings.zones.length] ?? '',
      address: '127.0.0.1:9000',
      slots: engine.slots ?? DEFAULT_ENGINE_SETTINGS.slots,
    };
    const { medianTokens, lengthSpread, faults } = settings;
    const engineSettings = {
      ...DEFAULT_ENGINE_SETTINGS,
      medianTokens,
      lengthSpread,
      loadFailureRate: faults.loadFailureRate,
      ...engine,
      worker: record.worker,
    };
    return new EngineHost(
      record,
      new EngineCore(engineSettings, createRandomSource(seed + index)),
      queue,
    );
  });
}

/** Runs one variant of a deployment on one seed. */
export function runDeployment(
  settings: DeploymentSettings,
  variant: Variant,
  seed: number,
): RunFigures {
  const queue = new EventQueue();
  const hosts = createHosts(
    settings,
    settings.trainingModel,
    settings.trainingWorkers,
    TRAINING_ENGINE,
    queue,
    seed,
  );
  const lookupHosts = createHosts(
    settings,
    settings.interactiveModel,
    settings.interactiveWorkers,
    INTERACTIVE_ENGINE,
    queue,
    seed + 100,
  );
  const weights = new DeploymentWeights(
    settings.trainingModel,
    settings.zones,
    hosts,
    queue,
    seed + 200,
  );
  const policies = createRoutingPolicies();
  const table = new CandidateTable(
    hosts,
    policies.create(variant.routing, createRandomSource(seed + 300)),
    queue,
  );
  const lookupTable = new CandidateTable(
    lookupHosts,
    policies.create(variant.routing, createRandomSource(seed + 400)),
    queue,
  );
  const trainer = new Trainer({ settings, variant, weights, queue, seed: seed + 500 });
  const random = createRandomSource(seed + 600);
  const drawing = new StepDrawing({
    variant,
    table,
    queue,
    latency: settings.zoneLatency,
    fraction: () => random.fraction(),
    onComplete: () => trainer.stepComplete(),
  });
  const load = {
    queue,
    tokens: settings.lookupTokens,
    latency: settings.clientLatency + settings.zoneLatency,
  };
  const lookups = new InteractiveLoad({
    ...load,
    name: 'lookup',
    model: settings.interactiveModel,
    table: lookupTable,
    random: createRandomSource(seed + 700),
    requestsPerSecond: settings.lookupsPerSecond,
  });
  const shared = new InteractiveLoad({
    ...load,
    name: 'shared',
    model: settings.trainingModel,
    table,
    random: createRandomSource(seed + 800),
    requestsPerSecond: settings.sharedLookupsPerSecond,
  });
  for (const host of hosts) {
    host.listener = (output) =>
      hear(output, host, weights, queue, settings.zoneLatency, (id, event) => {
        if (!shared.engineEvent(id, event)) drawing.engineEvent(id, event);
      });
  }
  for (const host of lookupHosts) {
    host.listener = (output) =>
      hear(output, host, weights, queue, settings.zoneLatency, (id, event) => {
        lookups.engineEvent(id, event);
      });
  }
  scheduleFaults([...hosts, ...lookupHosts], settings.faults, RUN_TIME, queue, seed + 900);
  queue.after(5 * SECOND, () => trainer.start(drawing));
  queue.runUntil(RUN_TIME);
  return figuresOf(trainer, drawing, lookups, shared);
}

function hear(
  output: EngineOutput,
  host: EngineHost,
  weights: DeploymentWeights,
  queue: EventQueue,
  latency: Milliseconds,
  stream: (dispatchId: string, event: Extract<EngineOutput, { kind: 'stream' }>['event']) => void,
): void {
  if (output.kind === 'order') weights.orderResult(host.record.zone, output.orderId, output.result);
  else queue.after(latency, () => stream(output.dispatchId, output.event));
}

function figuresOf(
  trainer: Trainer,
  drawing: StepDrawing,
  lookups: InteractiveLoad,
  shared: InteractiveLoad,
): RunFigures {
  const { record } = trainer;
  const sum = (values: readonly number[]): number =>
    values.reduce((total, value) => total + value, 0);
  const idle = sum(record.idleTimes);
  const { counters } = drawing;
  const seconds = (value: number): number => roundFigure(value / SECOND);
  const afterWarmUp = (load: InteractiveLoad): readonly number[] =>
    load.durations.slice(Math.floor(load.durations.length * INTERACTIVE_WARM_UP_SHARE));
  return {
    idle_share: roundFigure(idle / (idle + sum(record.trainingTimes))),
    staleness_mean_versions: roundFigure(mean(record.stalenessVersions)),
    staleness_p99_versions: percentile(record.stalenessVersions, 0.99),
    staleness_mean_seconds: seconds(mean(record.stalenessAges)),
    staleness_p99_seconds: seconds(percentile(record.stalenessAges, 0.99)),
    interactive_p99_seconds: seconds(percentile(afterWarmUp(lookups), 0.99)),
    shared_interactive_p99_seconds: seconds(percentile(afterWarmUp(shared), 0.99)),
    step_p50_seconds: seconds(percentile(record.stepTimes, 0.5)),
    step_p99_seconds: seconds(percentile(record.stepTimes, 0.99)),
    steps_used: record.idleTimes.length,
    samples_wasted_share: roundFigure(counters.attemptsWasted / record.stalenessVersions.length),
    tokens_wasted_share: roundFigure(counters.tokensWasted / counters.tokensUsed),
  };
}
