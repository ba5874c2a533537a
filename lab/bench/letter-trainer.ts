/**
 * A trainer of the letter's size in a simulation: submits one step of many prompt groups, reads it
 * by cursor in large pages, acknowledges each page, and notes when the step was whole.
 */
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import type { NodeCall, SampleRequest, StepPage } from '../../src/node/calls.js';
import { type Attempt, attempt, pauseAfter } from '../simulation/client.js';
import type { TrainerPlan } from '../simulation/fleet-plan.js';
import type { SimulatedNode } from '../simulation/simulated-node.js';
import type { Simulation } from '../simulation/simulation.js';
import { nodesOfModel } from './letter-callers.js';

/** Samples that share a prompt. */
const SAMPLES_A_PROMPT = 16;

/** Samples asked for in one read. */
const READ_LIMIT = 256;

/** Longest wait of one read. */
const READ_WAIT: Milliseconds = SECOND;

/** Pause between two reads. */
const READ_PAUSE: Milliseconds = 30;

/** How long the trainer waits for one answer. */
const PATIENCE: Milliseconds = 6 * SECOND;

/** What the trainer asks for. */
export interface LetterStepOrder {
  readonly samples: number;
  readonly maxTokens: number;
  readonly timeout: Milliseconds;
}

/** One trainer with its one step. */
export class LetterTrainer {
  /** Samples handed over so far. */
  received = 0;
  /** Calls that ended without an answer, or with a failure. */
  failedCalls = 0;
  /** When the last sample was handed over, from the submission; `null` until then. */
  wholeAfter: Milliseconds | null = null;
  private startedAt: Milliseconds = 0;
  private readonly keys = new Set<string>();
  private readonly stepId: string;
  private readonly nodes: readonly SimulatedNode[];

  constructor(
    private readonly simulation: Simulation,
    private readonly plan: TrainerPlan,
  ) {
    this.stepId = `${plan.account}-step`;
    this.nodes = nodesOfModel(simulation, plan.model);
  }

  /** Samples handed over more than once. */
  get doubled(): number {
    return this.received - this.keys.size;
  }

  /** Submits the step and reads it to its end. */
  start(order: LetterStepOrder): void {
    this.startedAt = this.simulation.queue.now;
    const samples = Array.from({ length: order.samples }, (_, index): SampleRequest => {
      const group = Math.floor(index / SAMPLES_A_PROMPT);
      const prompt = `[${this.plan.account}] clause ${group}`;
      return { key: `sample-${index}`, prompt, maxTokens: order.maxTokens, samplingSeed: index };
    });
    this.submit(samples, order.timeout);
  }

  private submit(samples: readonly SampleRequest[], timeout: Milliseconds): void {
    const { account, model } = this.plan;
    const { stepId } = this;
    const call: NodeCall = { kind: 'step-submit', account, model, stepId, samples, timeout };
    this.ask(
      () => call,
      (outcome) => {
        if (outcome.kind === 'done') this.readLater(0, READ_PAUSE);
        else this.simulation.queue.after(pauseAfter(outcome), () => this.submit(samples, timeout));
      },
    );
  }

  private readLater(cursor: number, pause: Milliseconds): void {
    this.simulation.queue.after(pause, () => this.read(cursor));
  }

  private read(cursor: number): void {
    const { account } = this.plan;
    const { stepId } = this;
    this.ask(
      (localNow) => {
        const deadline = localNow + READ_WAIT;
        return { kind: 'step-read', account, stepId, cursor, limit: READ_LIMIT, deadline };
      },
      (outcome) => {
        if (outcome.kind === 'done' && outcome.body.kind === 'step-page') {
          this.take(outcome.body.page);
          return;
        }
        this.readLater(cursor, pauseAfter(outcome));
      },
    );
  }

  private take(page: StepPage): void {
    for (const sample of page.samples) {
      this.received += 1;
      this.keys.add(sample.key);
    }
    if (page.samples.length > 0) this.acknowledge(page.nextCursor);
    if (page.state === 'complete') {
      this.wholeAfter = this.simulation.queue.now - this.startedAt;
      return;
    }
    const isClosed = page.state === 'closed' && page.samples.length === 0;
    if (!isClosed) this.readLater(page.nextCursor, READ_PAUSE);
  }

  private acknowledge(cursor: number): void {
    const { account } = this.plan;
    const { stepId } = this;
    this.ask(
      () => ({ kind: 'step-acknowledge', account, stepId, cursor }),
      () => undefined,
    );
  }

  /** Some node of a zone that the trainer's intent names. */
  private nodeInZones(): SimulatedNode {
    const node = this.nodes[this.simulation.random.integer(this.nodes.length)];
    if (node === undefined) throw new RangeError('the intent names no zone with nodes');
    return node;
  }

  private ask(
    build: (localNow: Milliseconds) => NodeCall,
    onEnd: (outcome: Attempt) => void,
  ): void {
    attempt(this.simulation, this.nodeInZones(), build, PATIENCE, (outcome) => {
      if (outcome.kind !== 'done') this.failedCalls += 1;
      onEnd(outcome);
    });
  }
}
