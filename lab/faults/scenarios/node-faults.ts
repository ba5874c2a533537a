/** Scenarios in which nodes are killed, frozen or stopped. */
import { type DemoNode, pause } from '../../demo/running-deployment.js';
import { NO_ANSWER } from '../../load/refusal-counts.js';
import type { FaultScenario, ScenarioContext } from '../scenario.js';

const BEFORE_FAULT_MILLISECONDS = 6_000;
const DOWN_MILLISECONDS = 4_000;
const FREEZE_MILLISECONDS = 10_000;
const AFTER_FAULT_MILLISECONDS = 6_000;
const DRIVER_LIMIT_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 150;
const VERSION_INTERVAL_MILLISECONDS = 6_000;
/** Exit code of a node that was told twice to stop. */
const EXIT_ENDED_AT_ONCE = 1;

interface StatusDocument {
  readonly nodes: readonly { readonly node: string; readonly drivenSteps: readonly string[] }[];
}

/** The node that drives the trainer's step; any node where none says so in time. */
export async function drivingNode(context: ScenarioContext): Promise<DemoNode> {
  const { running, load } = context;
  const end = performance.now() + DRIVER_LIMIT_MILLISECONDS;
  while (performance.now() < end) {
    const answer = await load.operator.status();
    const nodes = (answer?.document as StatusDocument | undefined)?.nodes ?? [];
    const driving = nodes.find((status) => status.drivenSteps.length > 0);
    const node = running.nodes.find(({ name }) => name === driving?.node);
    if (node !== undefined) return node;
    await pause(POLL_MILLISECONDS);
  }
  context.check('the driving node is shown by status', false, 'no node said so');
  return nodeAt(context, 0);
}

/** A node by its place in the deployment. */
export function nodeAt(context: ScenarioContext, place: number): DemoNode {
  const node = context.running.nodes[place];
  if (node === undefined) throw new Error(`there is no node ${place}`);
  return node;
}

async function killAndRestart(context: ScenarioContext, nodes: readonly DemoNode[]): Promise<void> {
  const { running, load } = context;
  const names = nodes.map(({ name }) => name).join(' and ');
  for (const node of nodes) load.avoided.add(node.address);
  await Promise.all(nodes.map((node) => running.killNode(node)));
  context.say(`${names} killed`);
  await pause(DOWN_MILLISECONDS);
  for (const node of nodes) running.restartNode(node);
  await Promise.all(nodes.map((node) => running.untilReady(node)));
  context.say(`${names} started again, without memory`);
  for (const node of nodes) load.avoided.delete(node.address);
}

/** The node that drives the step is killed, twice. */
export const killDriver: FaultScenario = {
  name: 'kill-driver',
  proxied: false,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    for (let round = 0; round < 2; round += 1) {
      await pause(BEFORE_FAULT_MILLISECONDS);
      await killAndRestart(context, [await drivingNode(context)]);
    }
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};

/** The node that drives the step and one of another zone are killed at once. */
export const killTwo: FaultScenario = {
  name: 'kill-two',
  proxied: false,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    for (let round = 0; round < 2; round += 1) {
      await pause(BEFORE_FAULT_MILLISECONDS);
      const driver = await drivingNode(context);
      const other = context.running.nodes.find((node) => node.zone !== driver.zone);
      await killAndRestart(context, other === undefined ? [driver] : [driver, other]);
    }
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};

/** The node that drives the step is frozen and goes on unaware; then once more, unused by callers. */
export const freezeDriver: FaultScenario = {
  name: 'freeze-driver',
  proxied: false,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    await pause(BEFORE_FAULT_MILLISECONDS);
    await freeze(context, await drivingNode(context));
    await pause(AFTER_FAULT_MILLISECONDS);
    const node = await drivingNode(context);
    context.load.avoided.add(node.address);
    const before = context.load.trainerReport.delivered;
    await freeze(context, node);
    const delivered = context.load.trainerReport.delivered - before;
    const detail = `${delivered} samples while ${node.name} was frozen`;
    context.check('another member takes the step over', delivered > 0, detail);
    context.load.avoided.delete(node.address);
    await pause(AFTER_FAULT_MILLISECONDS);
  },
};

async function freeze(context: ScenarioContext, node: DemoNode): Promise<void> {
  context.running.signalNode(node, 'SIGSTOP');
  context.say(`${node.name} is frozen`);
  await pause(FREEZE_MILLISECONDS);
  context.running.signalNode(node, 'SIGCONT');
  context.say(`${node.name} goes on`);
}

/** All nodes are stopped in order and started again, one after the other, under load. */
export const rollingStop: FaultScenario = {
  name: 'rolling-stop',
  proxied: false,
  versionInterval: VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    const { running, load } = context;
    await pause(BEFORE_FAULT_MILLISECONDS);
    const codes: (number | null)[] = [];
    for (const node of running.nodes) {
      load.avoided.add(node.address);
      const startedAt = performance.now();
      codes.push(await running.stopNode(node));
      const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
      context.say(`${node.name} stopped in ${seconds} s`);
      running.restartNode(node);
      await running.untilReady(node);
      load.avoided.delete(node.address);
    }
    const allClean = codes.every((code) => code === 0);
    context.check('every planned stop ends with exit code 0', allClean, `codes ${codes.join(' ')}`);
    checkNothingCutOff(context);
    await checkSecondSignal(context);
  },
};

function checkNothingCutOff(context: ScenarioContext): void {
  const { trainerReport, interactiveReport } = context.load;
  const calls = interactiveReport.refusals.get(NO_ANSWER) ?? 0;
  const reads = trainerReport.refusals.get(NO_ANSWER) ?? 0;
  const detail = `${calls} calls and ${reads} reads without an answer`;
  context.check('no call is cut off', calls + reads === 0, detail);
}

async function checkSecondSignal(context: ScenarioContext): Promise<void> {
  const { running, load } = context;
  const node = nodeAt(context, 0);
  load.avoided.add(node.address);
  const ended = running.stopNode(node);
  await pause(POLL_MILLISECONDS);
  running.signalNode(node, 'SIGTERM');
  const code = await ended;
  const detail = `code ${code}`;
  context.check('a second signal ends the node at once', code === EXIT_ENDED_AT_ONCE, detail);
  running.restartNode(node);
  await running.untilReady(node);
  load.avoided.delete(node.address);
}
