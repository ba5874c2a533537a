/**
 * The load of one deployment: an operator who confirms intents and publishes weights, a trainer
 * who draws steps and interactive callers, with the oracles that judge what they receive.
 */
import { createRandomSource } from '../../src/core/random.js';
import { type ClientEvent, eventTime } from '../load/client-events.js';
import { InteractiveClient } from '../load/interactive-client.js';
import { InteractiveOracle } from '../load/interactive-oracle.js';
import { InteractiveReport } from '../load/interactive-report.js';
import type { JsonAnswer } from '../load/json-client.js';
import { OperatorClient } from '../load/operator-client.js';
import { kindOf } from '../load/refusal-counts.js';
import { TrainerClient } from '../load/trainer-client.js';
import { TrainerOracle } from '../load/trainer-oracle.js';
import { TrainerReport } from '../load/trainer-report.js';
import { pause, type RunningDeployment } from './running-deployment.js';

/** Time a published version may take to be known everywhere: freshness bound and hand-over. */
export const VERSION_GRACE_MILLISECONDS = 8_000;
const LOOKUP_INTERVAL_MILLISECONDS = 100;
const ORDER_EVERY = 8;
const DEFAULT_TRAINING_TIME_MILLISECONDS = 500;
const STEP_TIMEOUT_MILLISECONDS = 60_000;
const SERVING_LIMIT_MILLISECONDS = 20_000;
/** Time until a confirmed intent is in force on all nodes. */
export const IN_FORCE_PAUSE_MILLISECONDS = 3_000;

/** What a load is made of. */
export interface DeploymentLoadOptions {
  readonly running: RunningDeployment;
  readonly seed: number;
  readonly progress: (line: string) => void;
  /** Is told of every event besides the oracles. */
  readonly record?: (event: ClientEvent) => void;
  /** @default 60000 */
  readonly stepTimeout?: number;
  /** Time the trainer trains on a step, in milliseconds. @default 500 */
  readonly trainingTime?: number;
  /**
   * Whether the trainer draws the next step meanwhile, where the staleness bound allows a version
   * between. @default false
   */
  readonly drawsAhead?: boolean;
}

/** Loads one deployment and judges it. */
export class DeploymentLoad {
  readonly trainerReport = new TrainerReport();
  readonly interactiveReport = new InteractiveReport();
  /** Addresses callers should not use at the moment. */
  readonly avoided = new Set<string>();
  readonly operator: OperatorClient;
  private readonly trainer: TrainerClient;
  private readonly callers: InteractiveClient;
  private readonly trainerOracle: TrainerOracle;
  private readonly interactiveOracle = new InteractiveOracle(this.interactiveReport);
  private lastVersion = 0;
  private drawing: Promise<void> | null = null;

  constructor(private readonly options: DeploymentLoadOptions) {
    const { running, seed } = options;
    const { deployment, tokens } = running;
    const addresses = (): readonly string[] => this.usableAddresses();
    const events = (event: ClientEvent): void => this.take(event);
    const { stalenessBound } = deployment;
    this.trainerOracle = new TrainerOracle(
      { stalenessBound, versionGrace: VERSION_GRACE_MILLISECONDS },
      this.trainerReport,
    );
    this.operator = new OperatorClient(addresses, tokens.operator);
    this.trainer = new TrainerClient(
      {
        name: deployment.trainer,
        token: tokens.trainer,
        model: deployment.training.model,
        addresses,
        samplesPerStep: deployment.samplesPerStep,
        trainingTime: options.trainingTime ?? DEFAULT_TRAINING_TIME_MILLISECONDS,
        drawsAhead: options.drawsAhead === true && stalenessBound >= 1,
        stepTimeout: options.stepTimeout ?? STEP_TIMEOUT_MILLISECONDS,
        random: createRandomSource(seed),
        events,
      },
      this.trainerReport,
    );
    this.callers = new InteractiveClient(
      {
        token: tokens.caller,
        model: deployment.portal.model,
        addresses,
        interval: LOOKUP_INTERVAL_MILLISECONDS,
        orderEvery: ORDER_EVERY,
        random: createRandomSource(seed + 1),
        events,
      },
      this.interactiveReport,
    );
  }

  /** Whether a step is refused as long as no intent allows it. */
  async isRefusedWithoutIntent(): Promise<boolean> {
    const answer = await this.trainer.trySubmit('before-any-intent');
    return answer !== undefined && kindOf(answer) === 'forbidden';
  }

  /** Puts the deployment's intents into force and waits until a first step is accepted. */
  async prepare(): Promise<void> {
    const { training, portal, trainer, caller, zones, stalenessBound } =
      this.options.running.deployment;
    await this.publishNext();
    await this.operator.publish(portal.model, 1);
    const drafts = [
      { model: training.model, trainer, accounts: [] as string[] },
      { model: portal.model, trainer: null, accounts: [caller] },
    ];
    for (const { model, trainer: owner, accounts } of drafts) {
      const planId = await this.operator.propose({
        name: `${model}-intent`,
        trainer: owner,
        model,
        zones,
        staleness_bound: stalenessBound,
        interactive: { accounts, reserved_share: 0.2 },
        cut_off: { rule: 'refuse' },
      });
      await this.operator.confirm(planId);
      this.say(`plan ${planId} for ${model} is confirmed`);
    }
    await pause(IN_FORCE_PAUSE_MILLISECONDS);
    await this.untilServing();
  }

  /** Starts trainer and callers. */
  start(): void {
    this.callers.start();
    this.drawing = this.trainer.run();
  }

  /** Publishes the training model's next weight version. Throws where no node accepts it. */
  async publishNext(): Promise<void> {
    const { model } = this.options.running.deployment.training;
    this.lastVersion += 1;
    await this.operator.publish(model, this.lastVersion);
    this.take({ kind: 'published', at: eventTime(), version: this.lastVersion });
    this.say(`weights ${this.lastVersion} of ${model} are published`);
  }

  /** Lets the step in progress and all open calls end; `false` where that takes too long. */
  async stop(limit = Number.POSITIVE_INFINITY): Promise<boolean> {
    this.trainer.stop();
    const ended = Promise.all([this.drawing, this.callers.stop()]).then(() => true);
    if (!Number.isFinite(limit)) return ended;
    let timer: NodeJS.Timeout | undefined;
    const tooLong = new Promise<boolean>((resolve) => {
      timer = setTimeout(() => resolve(false), limit);
    });
    return Promise.race([ended, tooLong]).finally(() => clearTimeout(timer));
  }

  /** Compares with the engines' own logs; to be called once all answers are in. */
  async judge(): Promise<void> {
    const { model } = this.options.running.deployment.portal;
    for (const [worker, requests] of await this.options.running.engines.accepted()) {
      if (!worker.startsWith(model)) continue;
      for (const { at, prompt, seed } of requests) {
        this.take({ kind: 'accepted', at, worker, prompt, seed });
      }
    }
    this.interactiveOracle.finish();
  }

  private take(event: ClientEvent): void {
    this.options.record?.(event);
    this.trainerOracle.take(event);
    this.interactiveOracle.take(event);
  }

  /** Waits until a first step would be accepted. */
  private async untilServing(): Promise<void> {
    const end = performance.now() + SERVING_LIMIT_MILLISECONDS;
    let answer: JsonAnswer | undefined;
    while (performance.now() < end) {
      answer = await this.trainer.trySubmit('first-light');
      if (answer?.status === 202) return;
      await pause(LOOKUP_INTERVAL_MILLISECONDS);
    }
    const last = JSON.stringify(answer);
    throw new Error(`${this.options.running.deployment.name}: no step was accepted: ${last}`);
  }

  private usableAddresses(): readonly string[] {
    const all = this.options.running.addresses();
    return all.filter((address) => !this.avoided.has(address));
  }

  private say(line: string): void {
    this.options.progress(`${this.options.running.deployment.name}: ${line}`);
  }
}
