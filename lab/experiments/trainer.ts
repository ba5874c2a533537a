/**
 * A trainer in simulated time: submits steps as its variant says, trains on each complete step in
 * order, and publishes a version after each training.
 */
import type { Intent } from '../../src/config-feed/configuration.js';
import type { GenerationRequest } from '../../src/core/generation.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds, WeightVersion } from '../../src/core/units.js';
import { checkHandOver } from '../../src/weights/staleness-bound.js';
import type { EventQueue } from '../simulation/event-queue.js';
import type { DeploymentSettings } from './deployment-settings.js';
import type { DeploymentWeights } from './deployment-weights.js';
import type { DrawnSample, DrawnStep } from './drawn-step.js';
import type { StepDrawing } from './step-drawing.js';
import type { Variant } from './variants.js';

/** Steps at the start that are not measured. */
const WARM_UP_STEPS = 3;

/** What a trainer measured. */
export interface TrainerRecord {
  readonly idleTimes: Milliseconds[];
  readonly trainingTimes: Milliseconds[];
  /** From submission to the last sample. */
  readonly stepTimes: Milliseconds[];
  /** One entry a sample, at its use: versions behind the newest, and age of its oldest weights. */
  readonly stalenessVersions: number[];
  readonly stalenessAges: Milliseconds[];
  /** Samples that the hand-over check refused. */
  refusedAtHandOver: number;
}

/** Settings of {@link Trainer}. */
export interface TrainerOptions {
  readonly settings: DeploymentSettings;
  readonly variant: Variant;
  readonly weights: DeploymentWeights;
  readonly queue: EventQueue;
  readonly seed: number;
}

/** The trainer of one deployment. */
export class Trainer {
  readonly record: TrainerRecord = {
    idleTimes: [],
    trainingTimes: [],
    stepTimes: [],
    stalenessVersions: [],
    stalenessAges: [],
    refusedAtHandOver: 0,
  };
  private drawing: StepDrawing | undefined;
  private readonly steps: DrawnStep[] = [];
  private readonly trainingRandom: RandomSource;
  private readonly bound: number;
  private readonly intent: Intent;
  private trained = 0;
  private isTraining = false;
  private idleSince: Milliseconds = 0;

  constructor(private readonly options: TrainerOptions) {
    this.trainingRandom = createRandomSource(options.seed);
    this.bound = options.variant.drawingBound ?? options.settings.stalenessBound;
    this.intent = intentOf(options.settings, this.bound);
  }

  /** Begins to draw. */
  start(drawing: StepDrawing): void {
    this.drawing = drawing;
    this.submitDue();
  }

  /** A step is complete; it is used when its turn comes. */
  stepComplete(): void {
    this.trainNext();
  }

  private submitDue(): void {
    while (this.steps.length < this.submittable()) this.submit(this.steps.length);
  }

  /** How many steps may have been submitted by now. */
  private submittable(): number {
    const { submission } = this.options.variant;
    if (submission === 'step-synchronous') return this.trained + 1;
    if (submission === 'one-step-ahead') return this.trained + (this.isTraining ? 2 : 1);
    return this.trained + 1 + this.bound;
  }

  private submit(index: number): void {
    const { settings, queue, seed } = this.options;
    const samples: DrawnSample[] = [];
    const step: DrawnStep = {
      index,
      oldestVersion: Math.max(1, index + 1 - this.bound),
      submittedAt: queue.now,
      samples,
      pending: [],
      sortedAt: Number.NEGATIVE_INFINITY,
      missing: settings.samplesPerStep,
      hedgesMade: 0,
      started: false,
      completedAt: undefined,
      durations: [],
    };
    for (const request of stepRequests(settings, index, step.oldestVersion, seed)) {
      const attempts = new Set<never>();
      samples.push({
        step,
        request,
        attempts,
        result: undefined,
        lost: [],
        retryAt: 0,
      });
    }
    step.pending = [...samples];
    this.steps.push(step);
    this.drawing?.submit(step);
  }

  private trainNext(): void {
    const step = this.steps[this.trained];
    if (this.isTraining || step?.completedAt === undefined) return;
    const refused = step.samples.filter((sample) => !this.isHandedOver(sample));
    if (refused.length > 0) {
      this.record.refusedAtHandOver += refused.length;
      this.drawing?.rerun(step, refused);
      return;
    }
    this.train(step);
  }

  private isHandedOver(sample: DrawnSample): boolean {
    if (sample.result === undefined) return false;
    const verdict = checkHandOver(this.options.weights.view(), this.intent, sample.result);
    return verdict.kind === 'allowed';
  }

  private train(step: DrawnStep): void {
    const { queue, settings, weights } = this.options;
    const { shortest, longest } = settings.trainingTime;
    const duration = shortest + this.trainingRandom.fraction() * (longest - shortest);
    if (step.index >= WARM_UP_STEPS) this.measure(step, duration);
    this.isTraining = true;
    this.submitDue();
    queue.after(duration, () => {
      this.isTraining = false;
      this.trained += 1;
      this.idleSince = queue.now;
      weights.publish();
      this.submitDue();
      this.trainNext();
    });
  }

  private measure(step: DrawnStep, trainingTime: Milliseconds): void {
    const { queue, weights } = this.options;
    const { record } = this;
    record.idleTimes.push(queue.now - this.idleSince);
    record.trainingTimes.push(trainingTime);
    record.stepTimes.push((step.completedAt ?? queue.now) - step.submittedAt);
    for (const sample of step.samples) {
      const versions = sample.result?.segments.map((segment) => segment.version) ?? [];
      const oldest = Math.min(...versions);
      record.stalenessVersions.push(weights.newest - oldest);
      record.stalenessAges.push(queue.now - weights.publishedAtOf(oldest));
    }
  }
}

/** Requests of a step: a choice of prompt groups, the same for all variants. */
function stepRequests(
  settings: DeploymentSettings,
  index: number,
  oldestVersion: WeightVersion,
  seed: number,
): GenerationRequest[] {
  const random = createRandomSource(seed * 1_000 + index);
  const requests: GenerationRequest[] = [];
  for (let position = 0; position < settings.samplesPerStep; position += 1) {
    const isNewGroup = position % settings.samplesPerGroup === 0;
    const group = isNewGroup ? random.integer(settings.promptGroups) : undefined;
    const promptGroup =
      group === undefined ? (requests.at(-1)?.promptGroup ?? '') : `${seed}-${group}`;
    requests.push({
      requestId: `step-${index}/${position}`,
      account: 'trainer',
      intent: 'training',
      model: settings.trainingModel,
      trafficClass: 'training',
      prompt: `${promptGroup} `.padEnd(400, 'x'),
      maxTokens: settings.maxTokens,
      samplingSeed: index * 10_000 + position,
      repeatable: true,
      oldestVersion,
      promptGroup,
    });
  }
  return requests;
}

function intentOf(settings: DeploymentSettings, stalenessBound: number): Intent {
  return {
    name: 'training',
    trainer: 'trainer',
    model: settings.trainingModel,
    zones: settings.zones,
    minimumVersion: 1,
    maximumVersion: null,
    stalenessBound,
    versionSpan: 'record',
    interactive: { accounts: ['clerk'], reservedShare: 1 / 16 },
    cutOff: { kind: 'refuse' },
  };
}
