/** What one sample costs in fleets of different sizes, at the same load a node. */
import { percentile, round } from '../common/statistics.js';
import { LedgerFleet } from './ledger-fleet.js';
import { LedgerLoad } from './ledger-load.js';

const ZONES = ['east', 'north', 'west'];
const NODES_PER_TRAINER = 5;
const SAMPLES_A_SECOND = 5;
const FORMATION_MILLISECONDS = 3_000;
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

/** A fleet under load, measured in parts, so that several can take turns. */
export class ScalingMeasurement {
  readonly #options: ScalingRun;
  readonly #pageEntries: number;
  readonly #piggybackPrepare: boolean;
  readonly #fleet: LedgerFleet;
  readonly #load: LedgerLoad;
  readonly #slices: Slice[] = [];
  readonly #countersBefore;
  readonly #requestsBefore: number;

  constructor(options: ScalingRun) {
    this.#options = options;
    this.#pageEntries = options.pageEntries ?? DEFAULT_PAGE_ENTRIES;
    this.#piggybackPrepare = options.piggybackPrepare ?? true;
    const { nodes, seed } = options;
    const tuning = { piggybackPrepare: this.#piggybackPrepare };
    const shape = { seed, nodeCount: nodes, zones: ZONES, tuning, measuresCpu: true };
    this.#fleet = new LedgerFleet(shape);
    this.#fleet.run(FORMATION_MILLISECONDS);
    const trainers = Math.max(1, Math.floor(nodes / NODES_PER_TRAINER));
    const load = { trainers, rate: SAMPLES_A_SECOND, pageEntries: this.#pageEntries };
    this.#load = new LedgerLoad(this.#fleet, load);
    this.#fleet.run(WARM_UP_MILLISECONDS);
    this.#load.reset();
    this.#countersBefore = { ...this.#fleet.counters };
    this.#requestsBefore = this.#fleet.keyValue.requests;
  }

  /** Runs one part of the measured time. */
  runSlice(): void {
    const before = { ...this.#fleet.counters, samples: this.#load.samples };
    this.#fleet.run(this.#options.milliseconds / SLICES);
    const { counters } = this.#fleet;
    this.#slices.push({
      samples: this.#load.samples - before.samples,
      workMicroseconds: counters.workMicroseconds - before.workMicroseconds,
      tickMicroseconds: counters.tickMicroseconds - before.tickMicroseconds,
    });
  }

  /** The figures of all parts so far. */
  row(): ScalingRow {
    const { nodes, milliseconds } = this.#options;
    const { counters, keyValue } = this.#fleet;
    const { samples, latencies } = this.#load;
    const nodeSeconds = (nodes * milliseconds) / 1_000 / SLICES;
    const work = this.#slices.map((slice) => slice.workMicroseconds / slice.samples);
    const ticks = this.#slices.map((slice) => slice.tickMicroseconds / nodeSeconds);
    return {
      nodes,
      pageEntries: this.#pageEntries,
      piggybackPrepare: this.#piggybackPrepare,
      samples,
      messagesPerSample: round((counters.messages - this.#countersBefore.messages) / samples, 1),
      bytesPerSample: Math.round((counters.bytes - this.#countersBefore.bytes) / samples),
      cpuMicrosecondsPerSample: round(percentile(work, 0.5), 1),
      tickMicrosecondsPerNodeSecond: round(percentile(ticks, 0.5), 1),
      commitMillisecondsP50: round(percentile(latencies, 0.5), 1),
      commitMillisecondsP99: round(percentile(latencies, 0.99), 1),
      keyValueRequestsInMeasure: keyValue.requests - this.#requestsBefore,
    };
  }
}

/** Measures several fleets in turns, so that other load on the machine meets all alike. */
export function measureScaling(runs: readonly ScalingRun[]): ScalingRow[] {
  const measurements = runs.map((run) => new ScalingMeasurement(run));
  for (let slice = 0; slice < SLICES; slice += 1) {
    for (const measurement of measurements) measurement.runSlice();
  }
  return measurements.map((measurement) => measurement.row());
}
