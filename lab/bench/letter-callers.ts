/** Interactive work beside the steps of the letter: one request after the other, at random moments. */
import type { Histogram } from 'hdr-histogram-js';
import type { RandomSource } from '../../src/core/random.js';
import { type Milliseconds, SECOND } from '../../src/core/units.js';
import { attempt } from '../simulation/client.js';
import type { CallerPlan } from '../simulation/fleet-plan.js';
import type { SimulatedNode } from '../simulation/simulated-node.js';
import type { Simulation } from '../simulation/simulation.js';
import { type DurationSummary, durationHistogram, summarize } from './hollow-fleet-measures.js';
import { TOKENS_PER_UNIT } from './letter-plan.js';

/** Answer length: the letter's tokens a second over its requests. */
const ANSWER_TOKENS = 418;

/** How long a caller waits. */
const PATIENCE: Milliseconds = 20 * SECOND;

/** Nodes in the zones of the intent of a model. */
export function nodesOfModel(simulation: Simulation, model: string): readonly SimulatedNode[] {
  const intent = simulation.plan.intents.find((one) => one.model === model);
  const nodes = [...simulation.nodes.values()];
  return nodes.filter((node) => intent?.zones.includes(node.plan.zone));
}

/** All interactive callers of a run. */
export class LetterCallers {
  asked = 0;
  /** Requests that got no whole answer. */
  failed = 0;
  private readonly durations: Histogram = durationHistogram();
  private readonly nodes: ReadonlyMap<string, readonly SimulatedNode[]>;

  constructor(
    private readonly simulation: Simulation,
    private readonly perSecond: number,
    private readonly random: RandomSource,
  ) {
    this.nodes = new Map(
      simulation.plan.models.map((model) => [model, nodesOfModel(simulation, model)]),
    );
  }

  /** Times of the requests that were answered. */
  get summary(): DurationSummary {
    return summarize(this.durations);
  }

  /** Lets requests come over a span of time that begins now. */
  offer(span: Milliseconds): void {
    const count = Math.round((this.perSecond * span) / SECOND);
    const { callers } = this.simulation.plan;
    for (let index = 0; index < count; index += 1) {
      const caller = callers[this.random.integer(callers.length)];
      if (caller === undefined) return;
      this.simulation.queue.after(this.random.fraction() * span, () => this.ask(caller));
    }
  }

  private ask({ account, model }: CallerPlan): void {
    const nodes = this.nodes.get(model) ?? [];
    const node = nodes[this.random.integer(nodes.length)];
    if (node === undefined) return;
    this.asked += 1;
    const number = this.asked;
    const startedAt = this.simulation.queue.now;
    attempt(
      this.simulation,
      node,
      (localNow) => ({
        kind: 'generate',
        account,
        model,
        prompt: `[${account}] lookup ${number}`,
        maxTokens: Math.round(ANSWER_TOKENS / TOKENS_PER_UNIT),
        samplingSeed: number,
        idempotencyKey: null,
        repeatable: true,
        deadline: localNow + PATIENCE,
        stream: false,
      }),
      PATIENCE + SECOND,
      (outcome) => {
        if (outcome.kind !== 'done') this.failed += 1;
        else this.durations.recordValue(Math.round(this.simulation.queue.now - startedAt));
      },
    );
  }
}
