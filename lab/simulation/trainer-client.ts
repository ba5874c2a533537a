/**
 * A simulated trainer: submits steps until they are accepted, reads each by cursor, acknowledges
 * what it has, sometimes reads again or stops waiting.
 */
import type { Milliseconds } from '../../src/core/units.js';
import type { NodeCall, SampleRequest, StepPage } from '../../src/node/calls.js';
import { type Attempt, anyNode, attempt, PATIENCE, pauseAfter } from './client.js';
import type { TrainerPlan } from './fleet-plan.js';
import type { Simulation } from './simulation.js';

/** Samples asked for in one read. */
const READ_LIMIT = 4;

/** Longest wait of one read. */
const READ_WAIT: Milliseconds = 1_000;

/** Pause between two reads. */
const READ_PAUSE: Milliseconds = 30;

/** Whole steps that are read again at once. */
const REVIEWED_AT_ONCE = 5;

/** Share of pages after which the trainer acknowledges. */
const ACKNOWLEDGE_SHARE = 0.6;

/** Words of a prompt that differ between samples; the rest is shared with the group. */
const PROMPTS_PER_STEP = 4;

type StepPhase = 'submitting' | 'reading' | 'closing' | 'ended';

interface TrainerStep {
  readonly stepId: string;
  readonly samples: readonly SampleRequest[];
  readonly timeout: Milliseconds;
  phase: StepPhase;
  /** Whether all its samples have come. */
  isWhole: boolean;
  cursor: number;
  acknowledged: number;
}

/** What a trainer asks for in one step. */
export interface StepOrder {
  readonly samples: number;
  readonly maxTokens: number;
  readonly timeout: Milliseconds;
}

/** One trainer with its steps. */
export class TrainerClient {
  readonly #simulation: Simulation;
  readonly #plan: TrainerPlan;
  readonly #steps: TrainerStep[] = [];
  #count = 0;

  constructor(simulation: Simulation, plan: TrainerPlan) {
    this.#simulation = simulation;
    this.#plan = plan;
  }

  /** Whether some step is still under way. */
  get isBusy(): boolean {
    return this.#steps.some((step) => step.phase !== 'ended');
  }

  /** Begins a step. */
  submit(order: StepOrder): void {
    this.#count += 1;
    const stepId = `${this.#plan.account}-step-${this.#count}`;
    const samples = Array.from(
      { length: order.samples },
      (_, index): SampleRequest => ({
        key: `sample-${index}`,
        prompt: this.#prompt(stepId, index),
        maxTokens: order.maxTokens,
        samplingSeed: index,
      }),
    );
    const { timeout } = order;
    const step: TrainerStep = {
      stepId,
      samples,
      timeout,
      phase: 'submitting',
      isWhole: false,
      cursor: 0,
      acknowledged: 0,
    };
    this.#steps.push(step);
    this.#submit(step);
  }

  /** Reads every open step again from its acknowledged cursor, and some that are whole. */
  readAgain(): void {
    for (const step of this.#steps) {
      if (step.phase === 'reading') step.cursor = step.acknowledged;
    }
    for (const step of this.#reviewable().slice(-REVIEWED_AT_ONCE)) this.#review(step);
  }

  /** Reads every whole step again that is not acknowledged to its end. */
  reviewAll(): void {
    for (const step of this.#reviewable()) this.#review(step);
  }

  #reviewable(): TrainerStep[] {
    return this.#steps.filter(
      (step) => step.isWhole && step.phase === 'ended' && step.acknowledged < step.samples.length,
    );
  }

  #review(step: TrainerStep): void {
    step.cursor = step.acknowledged;
    step.phase = 'reading';
    this.#read(step);
  }

  /** Closes the oldest open step. */
  stopWaiting(): void {
    const step = this.#steps.find((candidate) => candidate.phase === 'reading');
    if (step !== undefined) step.phase = 'closing';
  }

  #prompt(stepId: string, index: number): string {
    return `[${this.#plan.account}] ${stepId} clause ${index % PROMPTS_PER_STEP}`;
  }

  #submit(step: TrainerStep): void {
    const { account, model } = this.#plan;
    const { stepId, samples, timeout } = step;
    const call: NodeCall = { kind: 'step-submit', account, model, stepId, samples, timeout };
    this.#ask(
      () => call,
      (outcome) => {
        if (outcome.kind === 'done') step.phase = 'reading';
        if (isFinal(outcome)) step.phase = 'ended';
        this.#continue(step, outcome);
      },
    );
  }

  #continue(step: TrainerStep, outcome: Attempt): void {
    const pause = outcome.kind === 'done' ? READ_PAUSE : pauseAfter(outcome);
    this.#simulation.queue.after(pause, () => {
      if (step.phase === 'submitting') this.#submit(step);
      if (step.phase === 'reading') this.#read(step);
      if (step.phase === 'closing') this.#close(step);
    });
  }

  #read(step: TrainerStep): void {
    const { account } = this.#plan;
    const { stepId, cursor } = step;
    this.#ask(
      (localNow) => ({
        kind: 'step-read',
        account,
        stepId,
        cursor,
        limit: READ_LIMIT,
        deadline: localNow + READ_WAIT,
      }),
      (outcome) => {
        if (outcome.kind === 'done' && outcome.body.kind === 'step-page') {
          this.#take(step, cursor, outcome.body.page);
        } else if (isFinal(outcome) && step.phase === 'reading') step.phase = 'ended';
        this.#continue(step, outcome);
      },
    );
  }

  #take(step: TrainerStep, readFrom: number, page: StepPage): void {
    if (step.cursor === readFrom) step.cursor = page.nextCursor;
    const isOver = page.state !== 'open' && page.samples.length === 0;
    if (page.nextCursor >= page.sampleCount) step.isWhole = true;
    if (isOver || page.nextCursor >= page.sampleCount) step.phase = 'ended';
    const acknowledges = this.#simulation.random.fraction() < ACKNOWLEDGE_SHARE;
    if (page.samples.length > 0 && acknowledges) this.#acknowledge(step, page.nextCursor);
  }

  #acknowledge(step: TrainerStep, cursor: number): void {
    const { account } = this.#plan;
    const { stepId } = step;
    this.#ask(
      () => ({ kind: 'step-acknowledge', account, stepId, cursor }),
      (outcome) => {
        if (outcome.kind === 'done') step.acknowledged = Math.max(step.acknowledged, cursor);
      },
    );
  }

  #close(step: TrainerStep): void {
    const { account } = this.#plan;
    const { stepId } = step;
    this.#ask(
      () => ({ kind: 'step-close', account, stepId }),
      (outcome) => {
        if (outcome.kind === 'done' || isFinal(outcome)) step.phase = 'ended';
        this.#continue(step, outcome);
      },
    );
  }

  #ask(build: (localNow: Milliseconds) => NodeCall, onEnd: (outcome: Attempt) => void): void {
    attempt(this.#simulation, anyNode(this.#simulation), build, PATIENCE, onEnd);
  }
}

/** Whether trying again cannot help. */
function isFinal(outcome: Attempt): boolean {
  return outcome.kind === 'failed' && outcome.failure.kind === 'step_closed';
}
