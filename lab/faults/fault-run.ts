/** Runs one scenario on a deployment of its own, under load, and judges what came of it. */

import { DeploymentLoad } from '../demo/deployment-load.js';
import { COOPERATIVE, type DemoDeployment } from '../demo/deployments.js';
import type { ProcessGroup } from '../demo/process-group.js';
import { pause, RunningDeployment } from '../demo/running-deployment.js';
import { outcomeOf, violationsOf } from '../load/client-recording.js';
import type { FaultScenario, ScenarioCheck, ScenarioContext } from './scenario.js';

/** Steps are small, so that several fall into each scenario. */
const SAMPLES_PER_STEP = 64;
const STEP_TIMEOUT_MILLISECONDS = 90_000;
/** Name of the check that depends on time. */
export const RECOVERY_CHECK = 'samples flow after the faults';
/** How long after the faults samples must flow again. */
const RECOVERY_LIMIT_MILLISECONDS = 20_000;
const RECOVERY_POLL_MILLISECONDS = 100;
/** How long open calls and the step in progress may take after the load was told to end. */
const ENDING_LIMIT_MILLISECONDS = 100_000;
/** Time given to late acceptances before the engines' logs are read. */
const SETTLING_MILLISECONDS = 1_000;

/** What came of one scenario. */
export interface ScenarioReport {
  readonly name: string;
  readonly held: boolean;
  readonly checks: readonly ScenarioCheck[];
  readonly steps: number;
  readonly closedSteps: number;
  readonly samples: number;
  readonly answers: number;
  readonly orders: number;
  readonly refusals: ReadonlyMap<string, number>;
  /** Time from the end of the faults to the next sample, in milliseconds; -1 where none came. */
  readonly recovery: number;
}

/** Runs one scenario. */
export async function runScenario(
  scenario: FaultScenario,
  group: ProcessGroup,
  folder: string,
  seed: number,
  progress: (line: string) => void,
): Promise<ScenarioReport> {
  const running = new RunningDeployment(deploymentOf(scenario), group, folder, {
    proxied: scenario.proxied,
  });
  try {
    await running.start();
    const stepTimeout = STEP_TIMEOUT_MILLISECONDS;
    const load = new DeploymentLoad({ running, seed, progress, stepTimeout });
    await load.prepare();
    return await new LoadedScenario(scenario, running, load, progress).run();
  } finally {
    await running.close();
  }
}

function deploymentOf(scenario: FaultScenario): DemoDeployment {
  const { versionInterval } = scenario;
  const samplesPerStep = SAMPLES_PER_STEP;
  return { ...COOPERATIVE, name: scenario.name, samplesPerStep, versionInterval };
}

/** A scenario on a deployment that serves. */
class LoadedScenario implements ScenarioContext {
  private readonly checks: ScenarioCheck[] = [];
  private publishing = true;

  constructor(
    private readonly scenario: FaultScenario,
    readonly running: RunningDeployment,
    readonly load: DeploymentLoad,
    private readonly progress: (line: string) => void,
  ) {}

  say(line: string): void {
    this.progress(`${this.scenario.name}: ${line}`);
  }

  check(name: string, held: boolean, detail: string): void {
    this.checks.push({ name, held, detail });
  }

  async run(): Promise<ScenarioReport> {
    this.load.start();
    const publishing = this.publish();
    await this.scenario.run(this);
    const recovery = await this.untilSamplesFlow();
    this.publishing = false;
    const ended = await this.load.stop(ENDING_LIMIT_MILLISECONDS);
    this.check('no call or step hangs', ended, ended ? 'all ended' : 'some never ended');
    await publishing;
    await pause(SETTLING_MILLISECONDS);
    await this.load.judge();
    await this.scenario.afterwards?.(this);
    return this.report(recovery);
  }

  /** Publishes version after version; one that no node accepts is passed over. */
  private async publish(): Promise<void> {
    let nextAt = performance.now() + this.scenario.versionInterval;
    while (this.publishing) {
      await pause(RECOVERY_POLL_MILLISECONDS);
      if (performance.now() < nextAt) continue;
      nextAt = performance.now() + this.scenario.versionInterval;
      await this.load.publishNext().catch((error: unknown) => this.say(String(error)));
    }
  }

  /** Time until a sample comes after the faults. */
  private async untilSamplesFlow(): Promise<number> {
    const startedAt = performance.now();
    const before = this.load.trainerReport.delivered;
    while (performance.now() - startedAt < RECOVERY_LIMIT_MILLISECONDS) {
      if (this.load.trainerReport.delivered > before) {
        const elapsed = performance.now() - startedAt;
        this.check(RECOVERY_CHECK, true, `${Math.round(elapsed)} ms`);
        return elapsed;
      }
      await pause(RECOVERY_POLL_MILLISECONDS);
    }
    this.check(RECOVERY_CHECK, false, 'none came');
    return -1;
  }

  private report(recovery: number): ScenarioReport {
    const { trainerReport: trainer, interactiveReport: interactive } = this.load;
    const violations = Object.entries(violationsOf(trainer, interactive));
    const broken = violations.filter(([, count]) => count > 0);
    const detail = broken.map(([name, count]) => `${name} ${count}`).join(', ');
    const { holds, checked } = outcomeOf([{ trainer, interactive }]);
    this.check('the promises hold', holds, detail === '' ? `${checked} checked` : detail);
    const told = `${interactive.accepted} requests for ${interactive.asked} asked`;
    this.check("the engines' logs are in", interactive.accepted > 0, told);
    const refusals = new Map(trainer.refusals);
    for (const [kind, count] of interactive.refusals) {
      refusals.set(kind, (refusals.get(kind) ?? 0) + count);
    }
    return {
      name: this.scenario.name,
      held: this.checks.every((check) => check.held),
      checks: this.checks,
      steps: trainer.steps,
      closedSteps: trainer.closedSteps,
      samples: trainer.delivered,
      answers: interactive.answered,
      orders: interactive.orders,
      refusals,
      recovery,
    };
  }
}
