/**
 * The demo: both deployments of wardwing's first users as real processes on loopback, with
 * operators, trainers and interactive callers, changing weights and a killed node. Ends by itself;
 * the exit code says whether the promises held.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { numberFlag } from '../common/flags.js';
import { outcomeOf, type RecordedEvent, writeRecording } from '../load/client-recording.js';
import { closeConnections } from '../load/json-client.js';
import type { CommandFlags } from '../main.js';
import { VERSION_GRACE_MILLISECONDS } from './deployment-load.js';
import { type DeploymentReport, DeploymentRun } from './deployment-run.js';
import { DEPLOYMENTS } from './deployments.js';
import { ProcessGroup } from './process-group.js';
import { RunningDeployment } from './running-deployment.js';
import { promisesHeld, summaryTable } from './summary.js';

const DEFAULT_LOAD_SECONDS = 36;
const DEFAULT_SEED = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Runs the demo; returns the exit code. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const seconds = numberFlag(flags, 'seconds', DEFAULT_LOAD_SECONDS);
  const seed = numberFlag(flags, 'seed', DEFAULT_SEED);
  const keep = flags.keep === true;
  const folder = mkdtempSync(path.join(tmpdir(), 'wardwing-demo-'));
  const group = new ProcessGroup(folder);
  const startedAt = performance.now();
  const progress = (line: string): void => {
    const elapsed = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
    console.log(`${elapsed.toFixed(1).padStart(6)} s  ${line}`);
  };
  const endBySignal = (): void => void group.stopAll().then(() => process.exit(1));
  process.once('SIGINT', endBySignal);
  process.once('SIGTERM', endBySignal);
  try {
    const running = DEPLOYMENTS.map((deployment) => {
      return new RunningDeployment(deployment, group, folder);
    });
    progress('starting platform stand-ins, engines and nodes');
    await Promise.all(running.map((deployment) => deployment.start()));
    progress('all nodes are ready');
    const recorded: RecordedEvent[] = [];
    const runs = running.map((deployment, index) => {
      const { name } = deployment.deployment;
      return new DeploymentRun(deployment, progress, seed + index * 10, (event) =>
        recorded.push({ deployment: name, event }),
      );
    });
    const duration = seconds * MILLISECONDS_PER_SECOND;
    const reports = await Promise.all(runs.map((deploymentRun) => deploymentRun.run(duration)));
    console.log(`\n${summaryTable(reports)}\n`);
    if (typeof flags.record === 'string') record(flags.record, reports, recorded);
    const held = promisesHeld(reports);
    console.log(held ? 'The promises held.' : 'A PROMISE WAS BROKEN.');
    return held ? 0 : 1;
  } finally {
    await group.stopAll();
    closeConnections();
    if (keep) console.log(`logs are in ${folder}`);
    else rmSync(folder, { recursive: true, force: true });
  }
}

/** Writes down what the clients did and received, to be judged again by `replay`. */
function record(
  file: string,
  reports: readonly DeploymentReport[],
  events: readonly RecordedEvent[],
): void {
  const versionGrace = VERSION_GRACE_MILLISECONDS;
  const deployments = DEPLOYMENTS.map(({ name, stalenessBound }) => {
    return { name, stalenessBound, versionGrace };
  });
  const outcome = outcomeOf(reports);
  writeRecording(file, { kind: 'client-recording', deployments, outcome }, events);
}
