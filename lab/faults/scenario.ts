/** What a scenario of the fault suite is: faults on one running deployment, and checks of its own. */
import type { DeploymentLoad } from '../demo/deployment-load.js';
import type { RunningDeployment } from '../demo/running-deployment.js';

/** One check and what it saw. */
export interface ScenarioCheck {
  readonly name: string;
  readonly held: boolean;
  /** What was seen, in a few words. */
  readonly detail: string;
}

/** What a scenario works with. */
export interface ScenarioContext {
  readonly running: RunningDeployment;
  readonly load: DeploymentLoad;
  /** Tells the reader of the log what happens. */
  say(line: string): void;
  /** Notes a check beside those every scenario has. */
  check(name: string, held: boolean, detail: string): void;
}

/** One scenario. */
export interface FaultScenario {
  readonly name: string;
  /** Whether proxies stand between the processes. */
  readonly proxied: boolean;
  /** Time between two weight versions, in milliseconds. */
  readonly versionInterval: number;
  /** Brings the faults about; the load runs before, meanwhile and after. */
  run(context: ScenarioContext): Promise<void>;
  /** Checks that need the engines' logs; called when the load has ended. */
  afterwards?(context: ScenarioContext): Promise<void>;
}
