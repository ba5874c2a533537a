/**
 * What one node costs, as a real process: latency it adds to a request, requests per second it
 * carries, its memory, and its processor time while idle. Engines, load and node are processes of
 * their own. Rounds of load on the engines and through the node alternate, with the same prompts,
 * so that both meet the same machine; figures of rounds are given by their median.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { loadavg, tmpdir } from 'node:os';
import path from 'node:path';
import { numberFlag } from '../common/flags.js';
import { median, round } from '../common/statistics.js';
import { ProcessGroup } from '../demo/process-group.js';
import { pause } from '../demo/running-deployment.js';
import { closeConnections } from '../load/json-client.js';
import type { CommandFlags } from '../main.js';
import {
  BENCH_MODEL,
  CALLER_TOKEN,
  DEFAULT_ENGINE_COUNT,
  DEFAULT_TIME_SCALE,
  NodeDeployment,
  type ProcessUsage,
} from './node-deployment.js';
import type { LoadFigures, LoadOrder, LoadTarget } from './node-load.js';

const DEFAULT_RATE_PER_SECOND = 500;
const DEFAULT_ROUNDS = 5;
const ROUND_SECONDS = 2;
const SATURATION_SECONDS = 6;
const SATURATION_CONNECTIONS = 64;
const SETTLE_MILLISECONDS = 1_000;
const DEFAULT_IDLE_SECONDS = 10;
const MILLISECONDS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;

/** Targets of the figures. */
const TARGETS = {
  addedP99Milliseconds: 3,
  requestsPerSecond: 2_000,
  residentMegabytes: 256,
} as const;
/** Direct p99 above which the machine is too busy to tell what a node adds. */
const QUIET_P99_MILLISECONDS = 10;

const ROUND_TARGETS: readonly LoadTarget[] = ['engine', 'node', 'node-stream'];

/** Runs load and gives the figures of each order. */
type LoadRunner = (orders: readonly LoadOrder[]) => Promise<readonly LoadFigures[]>;

/**
 * Runs the bench. Flags: `--rate`, `--rounds`, `--idle-seconds`, `--engines`, `--time-scale` of the
 * engines, and `--profile FOLDER` for a processor profile of the node. Exit code 0 when all targets are met.
 */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const folder = mkdtempSync(path.join(tmpdir(), 'wardwing-bench-node-'));
  const group = new ProcessGroup(folder);
  try {
    const deployment = new NodeDeployment(group, folder, {
      timeScale: numberFlag(flags, 'time-scale', DEFAULT_TIME_SCALE),
      engineCount: numberFlag(flags, 'engines', DEFAULT_ENGINE_COUNT),
      ...(flags.profile === undefined ? {} : { profileFolder: String(flags.profile) }),
    });
    await deployment.start();
    const holds = await measure(deployment, (orders) => runOrders(group, orders), flags);
    const exitCode = await deployment.stopNode();
    if (exitCode !== 0) console.error(`the node ended with ${exitCode}`);
    return holds && exitCode === 0 ? 0 : 1;
  } finally {
    await group.stopAll();
    closeConnections();
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Runs loads in a process of their own. */
async function runOrders(
  group: ProcessGroup,
  orders: readonly LoadOrder[],
): Promise<readonly LoadFigures[]> {
  const script = path.join(import.meta.dirname, 'node-load-process.js');
  const started = group.start('load', script, [JSON.stringify(orders)]);
  let output = '';
  started.child.stdout?.on('data', (part: Buffer) => {
    output += part.toString('utf8');
  });
  const code = await started.exited;
  if (code !== 0) throw new Error(`the load process ended with ${code}`);
  const lines = output.trim().split('\n');
  return lines.map((line) => JSON.parse(line) as LoadFigures);
}

async function measure(
  deployment: NodeDeployment,
  runLoads: LoadRunner,
  flags: CommandFlags,
): Promise<boolean> {
  const rate = numberFlag(flags, 'rate', DEFAULT_RATE_PER_SECOND);
  const loadBefore = loadavg();
  const idleShare = await idleCpuShare(deployment, flags);
  const rounds = await runRounds(deployment, runLoads, rate, flags);
  const before = await deployment.usage();
  const [saturated] = await runLoads([loadOrder(deployment, 'node', null, SATURATION_SECONDS)]);
  const after = await deployment.usage();
  if (saturated === undefined) throw new Error('the load process printed no figures');
  const failed = [saturated, ...rounds.flat()].reduce((sum, figures) => sum + figures.failed, 0);
  const figures = {
    rate_per_second: rate,
    engines: deployment.engines.length,
    rounds: rounds.length,
    ...latencyFigures(rounds),
    saturation_requests_per_second: Math.round(saturated.requestsPerSecond),
    saturation_p50_milliseconds: saturated.latency.p50,
    saturation_p99_milliseconds: saturated.latency.p99,
    failed_requests: failed,
    node_resident_megabytes: rounded(after.residentBytes / BYTES_PER_MEGABYTE),
    node_idle_cpu_share: rounded(idleShare),
    node_saturated_cpu_share: rounded(cpuShare(before, after)),
    load_average_before: loadBefore.map(rounded),
    load_average_after: loadavg().map(rounded),
  };
  const quiet = figures.direct_p99_milliseconds <= QUIET_P99_MILLISECONDS;
  const holds =
    quiet &&
    figures.added_p99_milliseconds < TARGETS.addedP99Milliseconds &&
    figures.saturation_requests_per_second >= TARGETS.requestsPerSecond &&
    figures.node_resident_megabytes < TARGETS.residentMegabytes &&
    failed === 0;
  const method = 'added: median over rounds of node percentile minus direct percentile';
  console.log(JSON.stringify({ bench: 'node', method, ...figures, quiet, holds }));
  return holds;
}

async function idleCpuShare(deployment: NodeDeployment, flags: CommandFlags): Promise<number> {
  await pause(SETTLE_MILLISECONDS);
  const before = await deployment.usage();
  const seconds = numberFlag(flags, 'idle-seconds', DEFAULT_IDLE_SECONDS);
  await pause(seconds * MILLISECONDS_PER_SECOND);
  return cpuShare(before, await deployment.usage());
}

/** Alternates the targets; a first round that warms all processes up is not given. */
async function runRounds(
  deployment: NodeDeployment,
  runLoads: LoadRunner,
  rate: number,
  flags: CommandFlags,
): Promise<readonly (readonly LoadFigures[])[]> {
  const count = numberFlag(flags, 'rounds', DEFAULT_ROUNDS) + 1;
  const orders = Array.from({ length: count }, () =>
    ROUND_TARGETS.map((target) => loadOrder(deployment, target, rate, ROUND_SECONDS)),
  );
  const figures = await runLoads(orders.flat());
  const rounds = orders.map((_round, index) => {
    const start = index * ROUND_TARGETS.length;
    return figures.slice(start, start + ROUND_TARGETS.length);
  });
  return rounds.slice(1);
}

function loadOrder(
  deployment: NodeDeployment,
  target: LoadTarget,
  rate: number | null,
  seconds: number,
): LoadOrder {
  const { address, engines } = deployment;
  return {
    target,
    addresses: target === 'engine' ? engines : [address],
    token: target === 'engine' ? '' : CALLER_TOKEN,
    model: BENCH_MODEL,
    seconds,
    rate,
    concurrency: SATURATION_CONNECTIONS,
    firstNumber: 1,
  };
}

function latencyFigures(rounds: readonly (readonly LoadFigures[])[]) {
  const directAt = (percentile: 'p50' | 'p99'): number =>
    median(rounds.map(([direct]) => direct?.latency[percentile] ?? Number.NaN));
  const added = (target: LoadTarget, percentile: 'p50' | 'p99'): readonly number[] => {
    const position = ROUND_TARGETS.indexOf(target);
    return rounds.map((round) => {
      const through = round[position]?.latency[percentile] ?? Number.NaN;
      return through - (round[0]?.latency[percentile] ?? Number.NaN);
    });
  };
  return {
    direct_p50_milliseconds: rounded(directAt('p50')),
    direct_p99_milliseconds: rounded(directAt('p99')),
    added_p50_milliseconds: rounded(median(added('node', 'p50'))),
    added_p99_milliseconds: rounded(median(added('node', 'p99'))),
    added_p99_milliseconds_by_round: added('node', 'p99').map(rounded),
    added_stream_p50_milliseconds: rounded(median(added('node-stream', 'p50'))),
    added_stream_p99_milliseconds: rounded(median(added('node-stream', 'p99'))),
  };
}

function cpuShare(before: ProcessUsage, after: ProcessUsage): number {
  const elapsed = (after.at - before.at) / MILLISECONDS_PER_SECOND;
  return (after.cpuSeconds - before.cpuSeconds) / elapsed;
}

function rounded(value: number): number {
  return round(value, 4);
}
