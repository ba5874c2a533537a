/**
 * Bench of requests that end their workers: a caller sends one again and again, at any gateway, one
 * try at a time, while others ask beside it. Whole gateways of a fleet in one process, over one
 * store; all of them share one core, so times at 165 gateways are longer than between machines. The fleet
 * has formed before: one that starts may take two seconds longer to hear, as nodes that are not
 * known yet can't be told directly. The
 * target: three workers ended, all gateways refusing within 750 ms of the third end, and no other
 * request refused, on each seed.
 */
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import { numberFlag } from '../common/flags.js';
import { round } from '../common/statistics.js';
import { CrashingWorkers, LETHAL } from '../emulator/crashing-workers.js';
import { JoinedGateways } from '../emulator/joined-gateways.js';
import type { CommandFlags } from '../main.js';

/** Gateways of the small, the grown and the large deployments, and the zones they lie in. */
const FLEETS = [
  { gateways: 9, zones: 3 },
  { gateways: 69, zones: 3 },
  { gateways: 165, zones: 5 },
] as const;

const DEFAULT_SEEDS = 3;
const WORKERS = 3;
const MOST_ENDED = 3;

/** A quarter of the shortest time within which all gateways have to know. */
const TELLING_LIMIT: Milliseconds = 750;

const TRIES = 8;
const REQUESTS_BESIDE = 4;
const PATH = '/look/lethal';

/** Figures of one fleet under one seed. */
export interface QuarantineFigures {
  readonly gateways: number;
  readonly seed: number;
  readonly workers_ended: number;
  /** From the end of the third worker until the last gateway refuses the request. */
  readonly all_know_ms: number;
  readonly calls_between_nodes: number;
  readonly commits: number;
  readonly others_asked: number;
  readonly others_refused: number;
}

/** Plays one request that ends its workers. */
export async function measure(
  gateways: number,
  zones: number,
  seed: number,
): Promise<QuarantineFigures> {
  const random = createRandomSource(seed);
  const workers: CrashingWorkers = new CrashingWorkers(() => fleet);
  const fleet = new JoinedGateways(workers);
  await fleet.start(gateways, 2, zones);
  await fleet.formed();
  for (let count = 0; count < WORKERS; count += 1) workers.add();
  let refused = 0;
  for (let turn = 0; turn < TRIES; turn += 1) {
    await workers.whole(WORKERS);
    const lethal = fleet.ask(pick(fleet, random), PATH, LETHAL);
    const others = Array.from({ length: REQUESTS_BESIDE }, (_, index) =>
      fleet.ask(pick(fleet, random), `/look/${turn}-${index}`, 'lookup'),
    );
    const outcomes = await Promise.all(others);
    refused += outcomes.filter(({ failure }) => failure?.kind === 'request_quarantined').length;
    await lethal;
  }
  const known = fleet.gateways.map(({ lines }) => quarantinedAt(lines));
  const thirdEnd = workers.endedAt[MOST_ENDED - 1] ?? Number.NaN;
  const commits = fleet.gateways.map(({ metrics }) => committedReports(metrics.snapshot()));
  const figures = {
    gateways,
    seed,
    workers_ended: workers.ended.length,
    all_know_ms: round(Math.max(...known) - thirdEnd, 0),
    calls_between_nodes: fleet.asked.get('worker-ended') ?? 0,
    commits: commits.reduce((sum, count) => sum + count, 0),
    others_asked: TRIES * REQUESTS_BESIDE,
    others_refused: refused,
  };
  await fleet.stop();
  return figures;
}

function pick(fleet: JoinedGateways, random: RandomSource): JoinedGateways['gateways'][number] {
  const gateway = fleet.gateways[random.integer(fleet.gateways.length)];
  if (gateway === undefined) throw new Error('the fleet is empty');
  return gateway;
}

/** Time of day at which a gateway began to refuse; never where it has not. */
function quarantinedAt(lines: readonly string[]): Milliseconds {
  const line = lines.find((one) => one.includes('"request-quarantined"'));
  if (line === undefined) return Number.POSITIVE_INFINITY;
  return Date.parse((JSON.parse(line) as { readonly time: string }).time);
}

function committedReports(counters: Readonly<Record<string, number>>): number {
  return counters['crash_reports.store.committed'] ?? 0;
}

/** Whether a run reached the target. */
export function reachesTarget(figures: QuarantineFigures): boolean {
  const { workers_ended, all_know_ms, others_refused } = figures;
  return workers_ended <= MOST_ENDED && all_know_ms <= TELLING_LIMIT && others_refused === 0;
}

/** Runs the command. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const first = numberFlag(flags, 'seed', 1);
  const runs: QuarantineFigures[] = [];
  for (const { gateways, zones } of FLEETS) {
    for (let seed = first; seed < first + DEFAULT_SEEDS; seed += 1) {
      const figures = await measure(gateways, zones, seed);
      console.log(JSON.stringify(figures));
      runs.push(figures);
    }
  }
  const reached = runs.every(reachesTarget);
  console.log(JSON.stringify({ bench: 'quarantine', seeds: DEFAULT_SEEDS, reached, runs }));
  return reached ? 0 : 1;
}
