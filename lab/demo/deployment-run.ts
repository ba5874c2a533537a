/** One deployment's part of the demo: its load, new weights, and a killed node. */
import type { ClientEvent } from '../load/client-events.js';
import type { InteractiveReport } from '../load/interactive-report.js';
import type { TrainerReport } from '../load/trainer-report.js';
import { DeploymentLoad, IN_FORCE_PAUSE_MILLISECONDS } from './deployment-load.js';
import { LeavingMachine, type LeavingReport } from './leaving-machine.js';
import { pause, type RunningDeployment } from './running-deployment.js';

/** When a node is killed, and when it is started again, after the load has begun. */
const KILL_AFTER_MILLISECONDS = 9_000;
const RESTART_AFTER_MILLISECONDS = 6_000;
/** When a worker's machine leaves and is back, as shares of the load's time. */
const LEAVE_SHARE = 0.5;
const COME_BACK_SHARE = 0.85;
/** Long enough for the share of the time that the trainer waits to mean something. */
const TRAINING_TIME_MILLISECONDS = 3_000;

/** What came of one deployment's run. */
export interface DeploymentReport {
  readonly name: string;
  readonly trainer: TrainerReport;
  readonly interactive: InteractiveReport;
  /** Whether drawing was refused before the plan was confirmed. */
  readonly refusedBeforeConfirm: boolean;
  readonly killedNode: string;
  /** What came of the worker whose machine left for a while. */
  readonly leaving: LeavingReport;
}

/** Runs the load of one deployment for a while. */
export class DeploymentRun {
  private readonly load: DeploymentLoad;
  private readonly machine: LeavingMachine;

  constructor(
    private readonly running: RunningDeployment,
    private readonly progress: (line: string) => void,
    seed: number,
    record: (event: ClientEvent) => void = () => undefined,
  ) {
    const trainingTime = TRAINING_TIME_MILLISECONDS;
    const training = { trainingTime, drawsAhead: true };
    this.load = new DeploymentLoad({ running, seed, progress, record, ...training });
    this.machine = new LeavingMachine(running, `${running.deployment.training.model}-2`);
  }

  /** Sets the deployment up, loads it for a time, and reports. */
  async run(duration: number): Promise<DeploymentReport> {
    const { load } = this;
    const refusedBeforeConfirm = await load.isRefusedWithoutIntent();
    await load.prepare();
    this.say('samples are drawn');
    load.start();
    const publishing = this.publishUntil(performance.now() + duration);
    const leaving = this.leaveAndComeBack(duration);
    const killedNode = await this.killAndRestart();
    await Promise.all([publishing, leaving]);
    await load.stop();
    await load.judge();
    return {
      name: this.running.deployment.name,
      trainer: load.trainerReport,
      interactive: load.interactiveReport,
      refusedBeforeConfirm,
      killedNode,
      leaving: await this.machine.report(),
    };
  }

  private async publishUntil(end: number): Promise<void> {
    const { versionInterval } = this.running.deployment;
    while (performance.now() + versionInterval < end) {
      await pause(versionInterval);
      await this.load.publishNext();
    }
    await pause(Math.max(0, end - performance.now()));
  }

  private async killAndRestart(): Promise<string> {
    await pause(KILL_AFTER_MILLISECONDS);
    const node = this.running.nodes[0];
    if (node === undefined) return '';
    this.load.avoided.add(node.address);
    await this.running.killNode(node);
    this.say(`node ${node.name} was killed`);
    await pause(RESTART_AFTER_MILLISECONDS);
    this.running.restartNode(node);
    this.say(`node ${node.name} is started again, without memory`);
    await pause(IN_FORCE_PAUSE_MILLISECONDS);
    this.load.avoided.delete(node.address);
    return node.name;
  }

  private async leaveAndComeBack(duration: number): Promise<void> {
    const { worker } = this.machine;
    await pause(duration * LEAVE_SHARE);
    await this.machine.leave();
    this.say(`the machine of ${worker} is leaving, says the machine list`);
    await pause(duration * (COME_BACK_SHARE - LEAVE_SHARE));
    await this.machine.comeBack();
    this.say(`the machine of ${worker} is back`);
  }

  private say(line: string): void {
    this.progress(`${this.running.deployment.name}: ${line}`);
  }
}
