/**
 * The command `faults [SCENARIO]`: real processes under faults, one scenario after the other, each
 * on a deployment of its own. Prints a table and one line of JSON; exit code 0 where all held.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { numberFlag } from '../common/flags.js';
import { ProcessGroup } from '../demo/process-group.js';
import { closeConnections } from '../load/json-client.js';
import type { CommandFlags } from '../main.js';
import { runScenario, type ScenarioReport } from './fault-run.js';
import type { FaultScenario } from './scenario.js';
import { engineCrash, leavingMachines } from './scenarios/engine-faults.js';
import { keyValueDegraded, keyValueOutage } from './scenarios/key-value-faults.js';
import { badLinks, cutZone, isolateZone } from './scenarios/network-faults.js';
import { freezeDriver, killDriver, killTwo, rollingStop } from './scenarios/node-faults.js';

const DEFAULT_SEED = 1;
const MILLISECONDS_PER_SECOND = 1_000;
const END_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const;

/** All scenarios, in the order in which they run. */
export function faultScenarios(): readonly FaultScenario[] {
  return [
    killDriver,
    killTwo,
    freezeDriver,
    cutZone,
    isolateZone,
    badLinks,
    keyValueOutage,
    keyValueDegraded,
    engineCrash,
    leavingMachines(),
    rollingStop,
  ];
}

/** Runs the command. */
export async function run(name: string, flags: CommandFlags): Promise<number> {
  const all = faultScenarios();
  const chosen = name === '' ? all : all.filter((scenario) => scenario.name === name);
  if (chosen.length === 0) {
    const known = all.map((scenario) => scenario.name).join(', ');
    console.error(`There is no scenario "${name}"; known: ${known}`);
    return 2;
  }
  const seed = numberFlag(flags, 'seed', DEFAULT_SEED);
  const folder = mkdtempSync(path.join(tmpdir(), 'wardwing-faults-'));
  const reports: ScenarioReport[] = [];
  try {
    for (const scenario of chosen) {
      const report = await runAlone(scenario, folder, seed);
      reports.push(report);
      console.log(`\n${reportText(report)}\n`);
    }
  } finally {
    closeConnections();
    if (flags.keep === true) console.log(`logs are in ${folder}`);
    else rmSync(folder, { recursive: true, force: true });
  }
  console.log(`${reports.map(summaryLine).join('\n')}\n`);
  const held = reports.every((report) => report.held);
  const scenarios = reports.map((report) => {
    const broken = report.checks.filter((check) => !check.held).map((check) => check.name);
    return { name: report.name, held: report.held, samples: report.samples, broken };
  });
  console.log(JSON.stringify({ faults: name === '' ? 'all' : name, seed, scenarios, held }));
  return held ? 0 : 1;
}

async function runAlone(
  scenario: FaultScenario,
  folder: string,
  seed: number,
): Promise<ScenarioReport> {
  const group = new ProcessGroup(path.join(folder, scenario.name));
  const startedAt = performance.now();
  const endBySignal = (signal: NodeJS.Signals): void => {
    console.log(`${scenario.name} was ended by ${signal}`);
    void group.stopAll().then(() => process.exit(1));
  };
  for (const signal of END_SIGNALS) process.once(signal, endBySignal);
  const progress = (line: string): void => {
    const elapsed = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
    console.log(`${elapsed.toFixed(1).padStart(6)} s  ${line}`);
  };
  try {
    return await runScenario(scenario, group, folder, seed, progress);
  } catch (error) {
    return failedToRun(scenario, error);
  } finally {
    for (const signal of END_SIGNALS) process.removeListener(signal, endBySignal);
    await group.stopAll();
  }
}

/** Stands for a scenario that could not be run to its end. */
function failedToRun(scenario: FaultScenario, error: unknown): ScenarioReport {
  const check = { name: 'the scenario runs to its end', held: false, detail: String(error) };
  const counts = { steps: 0, closedSteps: 0, samples: 0, answers: 0, orders: 0, recovery: -1 };
  return { name: scenario.name, held: false, checks: [check], refusals: new Map(), ...counts };
}

function reportText(report: ScenarioReport): string {
  const { steps, closedSteps, samples, answers, orders } = report;
  const refusals = [...report.refusals].map(([kind, count]) => `${kind} ${count}`).join(', ');
  const lines = [
    `${report.held ? 'held  ' : 'BROKEN'}  ${report.name}`,
    `          ${steps} steps (${closedSteps} closed), ${samples} samples, ${answers} answers, ${orders} orders`,
    `          refusals: ${refusals === '' ? 'none' : refusals}`,
  ];
  for (const check of report.checks) {
    lines.push(`          ${check.held ? 'ok ' : 'NOT'} ${check.name}: ${check.detail}`);
  }
  return lines.join('\n');
}

function summaryLine(report: ScenarioReport): string {
  const { name, samples, answers, checks } = report;
  const held = checks.filter((check) => check.held).length;
  const verdict = report.held ? 'held  ' : 'BROKEN';
  return `${verdict}  ${name.padEnd(18)} ${held} of ${checks.length} checks, ${samples} samples, ${answers} answers`;
}
