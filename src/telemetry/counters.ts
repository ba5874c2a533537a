/** Counters and gauges of one node; `metric-table.ts` lists them. */
import { Counter, collectDefaultMetrics, Gauge, Registry } from 'prom-client';
import {
  COUNTERS,
  type CounterName,
  GAUGES,
  type GaugeName,
  type LabelsOf,
  type MetricDescription,
} from './metric-table.js';

/** Settings of {@link NodeCounters}. */
export interface NodeCountersOptions {
  /** Whether to add the metrics of `prom-client` for CPU, memory and event loop. @default false */
  readonly withProcessMetrics?: boolean;
}

/**
 * Sampling interval of the event-loop delay; the reported percentiles include it. The default of the
 * library, 10 ms, wakes an idle process 100 times a second.
 */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 50;

/** Counters and gauges of one node, in a separate registry. */
export class NodeCounters {
  readonly #registry = new Registry();
  readonly #counters: ReadonlyMap<string, Counter>;
  readonly #gauges: ReadonlyMap<string, Gauge>;

  constructor(options: NodeCountersOptions = {}) {
    this.#counters = createAll(COUNTERS, (settings) => new Counter(settings), this.#registry);
    this.#gauges = createAll(GAUGES, (settings) => new Gauge(settings), this.#registry);
    if (options.withProcessMetrics !== true) return;
    collectDefaultMetrics({
      register: this.#registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
    });
  }

  /** Increments a counter; `amount` must not be negative. */
  increment<Name extends CounterName>(
    name: Name,
    labels: LabelsOf<(typeof COUNTERS)[Name]>,
    amount = 1,
  ): void {
    this.#counters.get(name)?.inc(labels, amount);
  }

  set<Name extends GaugeName>(
    name: Name,
    labels: LabelsOf<(typeof GAUGES)[Name]>,
    value: number,
  ): void {
    this.#gauges.get(name)?.set(labels, value);
  }

  /** Removes all label values of a gauge. */
  clear(name: GaugeName): void {
    this.#gauges.get(name)?.reset();
  }

  /** The registry, for further metrics of this node. */
  get registry(): Registry {
    return this.#registry;
  }

  /** All metrics in the Prometheus text format, for `/metrics`. */
  countersText(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Media type of {@link countersText}. */
  get contentType(): string {
    return this.#registry.contentType;
  }
}

/** Constructor options of one metric. */
interface MetricSettings {
  readonly name: string;
  readonly help: string;
  readonly labelNames: string[];
  readonly registers: Registry[];
}

function createAll<Metric>(
  table: Readonly<Record<string, MetricDescription>>,
  create: (settings: MetricSettings) => Metric,
  registry: Registry,
): ReadonlyMap<string, Metric> {
  return new Map(
    Object.entries(table).map(([name, { help, labels }]) => {
      const settings = { name, help, labelNames: [...labels], registers: [registry] };
      return [name, create(settings)];
    }),
  );
}
