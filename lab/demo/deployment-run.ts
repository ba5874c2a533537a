/** One deployment's part of the demo: intent, weights, steps, lookups, and a killed node. */
import { createRandomSource } from '../../src/core/random.js';
import { InteractiveClient, InteractiveReport } from '../load/interactive-client.js';
import type { JsonAnswer } from '../load/json-client.js';
import { OperatorClient } from '../load/operator-client.js';
import { kindOf } from '../load/refusal-counts.js';
import { TrainerClient } from '../load/trainer-client.js';
import { TrainerReport } from '../load/trainer-report.js';
import { VersionRecord } from '../load/version-record.js';
import { pause, type RunningDeployment } from './running-deployment.js';

/** Time a published version may take to be known everywhere: freshness bound and hand-over. */
const VERSION_GRACE_MILLISECONDS = 8_000;
const LOOKUP_INTERVAL_MILLISECONDS = 100;
const ORDER_EVERY = 8;
const TRAINING_TIME_MILLISECONDS = 500;
const STEP_TIMEOUT_MILLISECONDS = 60_000;
const IN_FORCE_PAUSE_MILLISECONDS = 3_000;
const SERVING_LIMIT_MILLISECONDS = 20_000;
/** When a node is killed, and when it is started again, after the load has begun. */
const KILL_AFTER_MILLISECONDS = 9_000;
const RESTART_AFTER_MILLISECONDS = 6_000;

/** What came of one deployment's run. */
export interface DeploymentReport {
  readonly name: string;
  readonly trainer: TrainerReport;
  readonly interactive: InteractiveReport;
  /** Whether drawing was refused before the plan was confirmed. */
  readonly refusedBeforeConfirm: boolean;
  readonly killedNode: string;
}

/** Runs the load of one deployment for a while. */
export class DeploymentRun {
  private readonly versions = new VersionRecord();
  private readonly trainerReport = new TrainerReport();
  private readonly interactiveReport = new InteractiveReport();
  private readonly operator: OperatorClient;
  private readonly trainer: TrainerClient;
  private readonly callers: InteractiveClient;
  private lastVersion = 0;
  private down: string | null = null;

  constructor(
    private readonly running: RunningDeployment,
    private readonly progress: (line: string) => void,
    seed: number,
  ) {
    const { deployment, tokens } = running;
    const addresses = (): readonly string[] => this.liveAddresses();
    this.operator = new OperatorClient(addresses, tokens.operator);
    this.trainer = new TrainerClient(
      {
        name: deployment.trainer,
        token: tokens.trainer,
        model: deployment.training.model,
        addresses,
        samplesPerStep: deployment.samplesPerStep,
        trainingTime: TRAINING_TIME_MILLISECONDS,
        stepTimeout: STEP_TIMEOUT_MILLISECONDS,
        stalenessBound: deployment.stalenessBound,
        versionGrace: VERSION_GRACE_MILLISECONDS,
        versions: this.versions,
        random: createRandomSource(seed),
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
      },
      this.interactiveReport,
    );
  }

  /** Sets the deployment up, loads it for a time, and reports. */
  async run(duration: number): Promise<DeploymentReport> {
    const { deployment } = this.running;
    const refusedBeforeConfirm = await this.isRefusedWithoutIntent();
    await this.confirmIntents();
    await this.untilServing();
    this.say('samples are drawn');
    this.callers.start();
    const drawing = this.trainer.run();
    const publishing = this.publishUntil(performance.now() + duration);
    const killedNode = await this.killAndRestart();
    await publishing;
    this.trainer.stop();
    await Promise.all([drawing, this.callers.stop()]);
    return {
      name: deployment.name,
      trainer: this.trainerReport,
      interactive: this.interactiveReport,
      refusedBeforeConfirm,
      killedNode,
    };
  }

  private async isRefusedWithoutIntent(): Promise<boolean> {
    const answer = await this.trainer.trySubmit('before-any-intent');
    return answer !== undefined && kindOf(answer) === 'forbidden';
  }

  private async confirmIntents(): Promise<void> {
    const { training, portal, trainer, caller, zones, stalenessBound } = this.running.deployment;
    await this.publish(training.model);
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
    throw new Error(`${this.running.deployment.name}: no step was accepted: ${last}`);
  }

  private async publish(model: string): Promise<void> {
    this.lastVersion += 1;
    await this.operator.publish(model, this.lastVersion);
    this.versions.published(this.lastVersion, performance.now());
  }

  private async publishUntil(end: number): Promise<void> {
    const { training, versionInterval } = this.running.deployment;
    while (performance.now() + versionInterval < end) {
      await pause(versionInterval);
      await this.publish(training.model);
      this.say(`weights ${this.lastVersion} of ${training.model} are published`);
    }
    await pause(Math.max(0, end - performance.now()));
  }

  private async killAndRestart(): Promise<string> {
    await pause(KILL_AFTER_MILLISECONDS);
    const node = this.running.nodes[0];
    if (node === undefined) return '';
    this.down = node.address;
    await this.running.killNode(node);
    this.say(`node ${node.name} was killed`);
    await pause(RESTART_AFTER_MILLISECONDS);
    this.running.restartNode(node);
    this.say(`node ${node.name} is started again, without memory`);
    await pause(IN_FORCE_PAUSE_MILLISECONDS);
    this.down = null;
    return node.name;
  }

  private liveAddresses(): readonly string[] {
    return this.running.addresses().filter((address) => address !== this.down);
  }

  private say(line: string): void {
    this.progress(`${this.running.deployment.name}: ${line}`);
  }
}
