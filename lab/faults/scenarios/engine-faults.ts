/** Scenarios in which engines crash, come back with old weights, or leave. */
import { MACHINE_LIST_LAG, pause } from '../../demo/running-deployment.js';
import { eventTime } from '../../load/client-events.js';
import type { FaultScenario, ScenarioContext } from '../scenario.js';

/** Long enough that the first version is older than the bound when an engine comes back. */
const BEFORE_CRASH_MILLISECONDS = 20_000;
const DOWN_MILLISECONDS = 1_500;
const BETWEEN_CRASHES_MILLISECONDS = 5_000;
const SHORT_VERSION_INTERVAL_MILLISECONDS = 3_000;
const BEFORE_LEAVING_MILLISECONDS = 6_000;
const AFTER_LEAVING_MILLISECONDS = 12_000;
const LEAVING_VERSION_INTERVAL_MILLISECONDS = 6_000;
/** How long after the list shows it a leaving machine may still be given work. */
const LEAVING_LIMIT_MILLISECONDS = 3_000;

/** Engines are killed in mid-step and come back with version 1, epoch 0 and no memory. */
export const engineCrash: FaultScenario = {
  name: 'engine-crash',
  proxied: false,
  versionInterval: SHORT_VERSION_INTERVAL_MILLISECONDS,
  async run(context) {
    const { engines, deployment } = context.running;
    await pause(BEFORE_CRASH_MILLISECONDS);
    const { training, portal } = deployment;
    const victims = [`${training.model}-1`, `${training.model}-2`, `${portal.model}-1`];
    for (const worker of victims) {
      await engines.kill(worker);
      await pause(DOWN_MILLISECONDS);
      await engines.restart(worker);
      context.say(`${worker} crashed and is back with its first version`);
      await pause(BETWEEN_CRASHES_MILLISECONDS);
    }
    await pause(BETWEEN_CRASHES_MILLISECONDS);
  },
};

/** Two machines are marked as leaving: their engines are given no new work after a few seconds. */
export function leavingMachines(): FaultScenario {
  let markedAt = 0;
  let leaving: readonly string[] = [];
  return {
    name: 'leaving-machines',
    proxied: false,
    versionInterval: LEAVING_VERSION_INTERVAL_MILLISECONDS,
    async run(context) {
      const { training, portal } = context.running.deployment;
      leaving = [`${training.model}-1`, `${portal.model}-1`];
      await pause(BEFORE_LEAVING_MILLISECONDS);
      for (const worker of leaving) await context.running.markLeaving(worker);
      markedAt = eventTime();
      context.say(`${leaving.join(' and ')} are marked as leaving`);
      await pause(AFTER_LEAVING_MILLISECONDS);
    },
    afterwards: (context) => checkLeft(context, leaving, markedAt + MACHINE_LIST_LAG),
  };
}

async function checkLeft(
  context: ScenarioContext,
  leaving: readonly string[],
  shownAt: number,
): Promise<void> {
  const accepted = await context.running.engines.accepted();
  for (const worker of leaving) {
    const times = (accepted.get(worker) ?? []).map(({ at }) => at);
    const last = Math.max(...times) - shownAt;
    const before = times.filter((at) => at <= shownAt).length;
    const detail = `${before} starts before, the last ${(last / 1_000).toFixed(1)} s after`;
    const held = before > 0 && last <= LEAVING_LIMIT_MILLISECONDS;
    context.check(`${worker} gets no new work`, held, detail);
  }
}
