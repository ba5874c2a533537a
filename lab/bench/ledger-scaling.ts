/** What one sample costs in fleets of different sizes, at the same load a node. */
import { LedgerFleet } from './ledger-fleet.js';
import { LedgerLoad } from './ledger-load.js';
import { percentile, rounded } from './ledger-service-probe.js';

const ZONES = ['east', 'north', 'west'];
const NODES_PER_TRAINER = 5;
const SAMPLES_A_SECOND = 5;
const WARM_UP_MILLISECONDS = 8_000;

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

/** Runs one fleet for some simulated milliseconds. */
export function measureScaling(options: ScalingRun): ScalingRow {
  const { nodes, seed, milliseconds } = options;
  const pageEntries = options.pageEntries ?? DEFAULT_PAGE_ENTRIES;
  const tuning = { piggybackPrepare: options.piggybackPrepare ?? true };
  const fleet = new LedgerFleet({ seed, nodeCount: nodes, zones: ZONES, tuning });
  const trainers = Math.max(1, Math.floor(nodes / NODES_PER_TRAINER));
  fleet.run(3_000);
  const load = new LedgerLoad(fleet, { trainers, rate: SAMPLES_A_SECOND, pageEntries });
  fleet.run(WARM_UP_MILLISECONDS);
  load.reset();
  const before = { ...fleet.counters };
  const requestsBefore = fleet.keyValue.requests;
  fleet.run(milliseconds);
  const { counters } = fleet;
  const samples = load.samples;
  const work = counters.workNanoseconds - before.workNanoseconds;
  const ticks = counters.tickNanoseconds - before.tickNanoseconds;
  return {
    nodes,
    pageEntries,
    piggybackPrepare: tuning.piggybackPrepare,
    samples,
    messagesPerSample: rounded((counters.messages - before.messages) / samples),
    bytesPerSample: Math.round((counters.bytes - before.bytes) / samples),
    cpuMicrosecondsPerSample: rounded(work / 1_000 / samples),
    tickMicrosecondsPerNodeSecond: rounded(ticks / 1_000 / nodes / (milliseconds / 1_000)),
    commitMillisecondsP50: rounded(percentile(load.latencies, 0.5)),
    commitMillisecondsP99: rounded(percentile(load.latencies, 0.99)),
    keyValueRequestsInMeasure: fleet.keyValue.requests - requestsBefore,
  };
}
