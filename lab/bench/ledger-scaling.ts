/** What one sample costs in fleets of different sizes, at the same load a node. */
import { LedgerFleet } from './ledger-fleet.js';
import { LedgerLoad } from './ledger-load.js';
import { percentile, rounded } from './ledger-service-probe.js';

const ZONES = ['east', 'north', 'west'];
const NODES_PER_TRAINER = 5;
const SAMPLES_A_SECOND = 5;
const WARM_UP_MILLISECONDS = 8_000;
/** The measured time is cut into parts, of whose CPU times the median counts. */
const SLICES = 20;

/** Cost of a sample in one fleet. */
export interface ScalingRow {
  readonly nodes: number;
  readonly pageEntries: number;
  readonly piggybackPrepare: boolean;
  readonly samples: number;
  readonly messagesPerSample: number;
  readonly bytesPerSample: number;
  readonly cpuMicrosecondsPerSample: number;
  readonly tickMicrosecondsPerNodeSecond: number;
  readonly commitMillisecondsP50: number;
  readonly commitMillisecondsP99: number;
  readonly keyValueRequestsInMeasure: number;
}

/** What one run measures. */
export interface ScalingRun {
  readonly nodes: number;
  readonly seed: number;
  /** Simulated time measured. */
  readonly milliseconds: number;
  /** Entries of one page of a delivery log; default 32. */
  readonly pageEntries?: number;
  /** Default true. */
  readonly piggybackPrepare?: boolean;
}

const DEFAULT_PAGE_ENTRIES = 32;

/** CPU time of one part of the measured time. */
interface Slice {
  readonly samples: number;
  readonly workMicroseconds: number;
  readonly tickMicroseconds: number;
}

function measureSlice(fleet: LedgerFleet, load: LedgerLoad, milliseconds: number): Slice {
  const before = { ...fleet.counters, samples: load.samples };
  fleet.run(milliseconds / SLICES);
  return {
    samples: load.samples - before.samples,
    workMicroseconds: fleet.counters.workMicroseconds - before.workMicroseconds,
    tickMicroseconds: fleet.counters.tickMicroseconds - before.tickMicroseconds,
  };
}

function workOf(slices: readonly Slice[]): number[] {
  return slices.map((slice) => slice.workMicroseconds / slice.samples);
}

/** Runs one fleet for some simulated milliseconds. */
export function measureScaling(options: ScalingRun): ScalingRow {
  const { nodes, seed, milliseconds } = options;
  const pageEntries = options.pageEntries ?? DEFAULT_PAGE_ENTRIES;
  const tuning = { piggybackPrepare: options.piggybackPrepare ?? true };
  const fleet = new LedgerFleet({
    seed,
    nodeCount: nodes,
    zones: ZONES,
    tuning,
    measuresCpu: true,
  });
  const trainers = Math.max(1, Math.floor(nodes / NODES_PER_TRAINER));
  fleet.run(3_000);
  const load = new LedgerLoad(fleet, { trainers, rate: SAMPLES_A_SECOND, pageEntries });
  fleet.run(WARM_UP_MILLISECONDS);
  load.reset();
  const before = { ...fleet.counters };
  const requestsBefore = fleet.keyValue.requests;
  const slices = Array.from({ length: SLICES }, () => measureSlice(fleet, load, milliseconds));
  const { counters } = fleet;
  const { samples } = load;
  const ticks = slices.map((slice) => slice.tickMicroseconds / nodes / (milliseconds / 1_000));
  return {
    nodes,
    pageEntries,
    piggybackPrepare: tuning.piggybackPrepare,
    samples,
    messagesPerSample: rounded((counters.messages - before.messages) / samples),
    bytesPerSample: Math.round((counters.bytes - before.bytes) / samples),
    cpuMicrosecondsPerSample: rounded(percentile(workOf(slices), 0.5)),
    tickMicrosecondsPerNodeSecond: rounded(percentile(ticks, 0.5) * SLICES),
    commitMillisecondsP50: rounded(percentile(load.latencies, 0.5)),
    commitMillisecondsP99: rounded(percentile(load.latencies, 0.99)),
    keyValueRequestsInMeasure: fleet.keyValue.requests - requestsBefore,
  };
}
