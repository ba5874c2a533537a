/**
 * Bench of the ledger in simulated time: cost of a sample against the size of the fleet, time
 * without service after a kill, and the leaderless register beside a lease-held owner and a Raft
 * leader a shard. The last line is JSON.
 */
import { numberFlag } from '../common/flags.js';
import { mean, percentile, round } from '../common/statistics.js';
import type { CommandFlags } from '../main.js';
import { LeaseModel } from './ledger-lease-model.js';
import type { ModelledDesign } from './ledger-model-network.js';
import {
  leaderlessKill,
  leaderlessOutage,
  modelCost,
  modelKill,
  modelOutage,
} from './ledger-outage.js';
import { RaftModel } from './ledger-raft-model.js';
import { measureScaling, type ScalingRow } from './ledger-scaling.js';

const FLEET_SIZES = [10, 100, 300, 1_000];
/** Fleet whose figures stand beside the other designs. */
const REFERENCE_NODES = 100;
const PAGE_SIZES = [8, 16];
const GROUP_SIZE = 5;
/** Samples a second of one group in the 100-node fleet: 100 samples over 8 shards. */
const GROUP_SAMPLES_A_SECOND = 12.5;
const MODEL_SAMPLES = 500;
/** Simulated samples measured in each fleet, about the same for all sizes. */
const MEASURED_SAMPLES = 6_000;
const LEAST_MEASURE_MILLISECONDS = 10_000;

/** Largest deviation from the mean, as a share of the mean in percent. */
function spreadPercent(values: readonly number[]): number {
  const average = mean(values);
  const largest = Math.max(...values.map((value) => Math.abs(value - average)));
  return round((largest / average) * 100, 1);
}

function printed(rows: ScalingRow[]): ScalingRow[] {
  for (const row of rows) console.log(JSON.stringify(row));
  return rows;
}

function scalingRows(seed: number): ScalingRow[] {
  const runs = FLEET_SIZES.map((nodes) => {
    const milliseconds = Math.max(LEAST_MEASURE_MILLISECONDS, (MEASURED_SAMPLES / nodes) * 1_000);
    return { nodes, seed, milliseconds };
  });
  return printed(measureScaling(runs));
}

/** The same load with smaller pages, and without the prepare that rides on an acceptance. */
function variantRows(seed: number): ScalingRow[] {
  const base = { nodes: REFERENCE_NODES, seed, milliseconds: LEAST_MEASURE_MILLISECONDS };
  const pages = PAGE_SIZES.map((pageEntries) => ({ ...base, pageEntries }));
  return printed(measureScaling([...pages, { ...base, piggybackPrepare: false }]));
}

function killFigures(trials: number, measure: (seed: number) => number) {
  const gaps = Array.from({ length: trials }, (_, trial) => measure(trial + 1));
  return {
    killGapMsP50: round(percentile(gaps, 0.5), 1),
    killGapMsP99: round(percentile(gaps, 0.99), 1),
  };
}

function modelFigures(trials: number, create: (seed: number) => ModelledDesign) {
  return {
    ...modelCost(create(1), MODEL_SAMPLES, GROUP_SAMPLES_A_SECOND),
    ...killFigures(trials, (seed) => modelKill(create(seed))),
    outageSecondsWithoutService: round(modelOutage(create(1)) / 1_000, 1),
  };
}

/** Runs the bench; `--seed N` and `--trials N` (kills of each design) may be given. */
export async function run(_name: string, flags: CommandFlags): Promise<number> {
  const seed = numberFlag(flags, 'seed', 1);
  const trials = numberFlag(flags, 'trials', 100);
  const rows = scalingRows(seed);
  const variants = variantRows(seed);
  const reference = rows[FLEET_SIZES.indexOf(REFERENCE_NODES)] as ScalingRow;
  const leaderless = {
    messagesPerSample: reference.messagesPerSample,
    bytesPerSample: reference.bytesPerSample,
    ...killFigures(trials, (trial) => leaderlessKill(seed + trial, 30)),
    outageSecondsWithoutService: round(leaderlessOutage(seed) / 1_000, 1),
  };
  console.log(JSON.stringify({ leaderless }));
  const lease = modelFigures(trials, (trial) => new LeaseModel(GROUP_SIZE, seed + trial));
  console.log(JSON.stringify({ lease }));
  const raft = modelFigures(trials, (trial) => new RaftModel(GROUP_SIZE, seed + trial));
  console.log(JSON.stringify({ raft }));
  const spread = {
    messagesSpreadPercent: spreadPercent(rows.map((row) => row.messagesPerSample)),
    bytesSpreadPercent: spreadPercent(rows.map((row) => row.bytesPerSample)),
    cpuSpreadPercent: spreadPercent(rows.map((row) => row.cpuMicrosecondsPerSample)),
  };
  console.log(
    JSON.stringify({
      bench: 'ledger',
      seed,
      trials,
      rows,
      variants,
      spread,
      leaderless,
      lease,
      raft,
    }),
  );
  return 0;
}
