/**
 * Counters, gauges and latency histograms of one gateway, in the Prometheus text format. Labels have
 * few values each.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Milliseconds } from '../core/units.js';

/** All counters: help text and label names. */
const COUNTERS = {
  requests: { help: 'Requests of callers that came to an end', labels: ['kind', 'outcome'] },
  rejections: {
    help: 'Requests of callers that the configuration rejects for good, by how current it was',
    labels: ['kind', 'basis'],
  },
  item_runs: { help: 'Runs of items at workers, by how they ended', labels: ['end'] },
  item_moves: { help: 'Runs of items moved to another worker, by cause', labels: ['cause'] },
  score_calls: { help: 'Calls for the scores of items, by how they ended', labels: ['outcome'] },
  jobs_submitted: { help: 'Jobs handed in, by what came of it', labels: ['outcome'] },
  jobs_closed: { help: 'Jobs no longer run here, by reason', labels: ['reason'] },
  trainer_homes: {
    help: "Rights of this zone to accept a trainer's jobs, by what became of them",
    labels: ['outcome'],
  },
  jobs_adopted: { help: 'Jobs taken over from another node', labels: ['cause'] },
  jobs_moved_by_region: {
    help: 'Jobs that a changed configuration no longer lets lie here, by whether another node took them',
    labels: ['outcome'],
  },
  results_listed: { help: 'Results given a position', labels: ['state'] },
  pages_listed: {
    help: 'Pages of results listed here, by what first made them durable',
    labels: ['by'],
  },
  results_read: {
    help: 'Answers to readers of results, by where the results came from or why there are none',
    labels: ['from'],
  },
  store_calls: { help: 'Calls to the shared store', labels: ['call', 'outcome'] },
  relayed_watches: {
    help: 'Watches of the shared store by way of another node',
    labels: ['outcome'],
  },
  weight_orders: { help: 'Orders to change weights, by outcome', labels: ['outcome'] },
  duty_calls: { help: "Calls to the operator's cloud interface", labels: ['duty', 'outcome'] },
  unreadable_answers: {
    help: 'Answers that came whole and could not be read, by who gave them and to which call',
    labels: ['from', 'call'],
  },
  unreadable_entries: {
    help: 'Entries of workers in the shared store that could not be read, and name no worker to use',
    labels: [],
  },
  journal_calls: {
    help: "Calls to replicas of zones' journals, by call and answer",
    labels: ['call', 'outcome'],
  },
  journaled_changes: {
    help: "Changes of jobs that the zone's journal kept before the shared store had them",
    labels: ['change'],
  },
  broken_connections: {
    help: 'Connections to workers that broke with a request on them, by what had become of the worker',
    labels: ['standing'],
  },
  quarantined_requests: {
    help: 'Requests that are sent to no worker, as too many ended under them',
    labels: [],
  },
  crash_reports: {
    help: 'Reports of what was at workers that ended, by way and outcome',
    labels: ['way', 'outcome'],
  },
  suspensions: {
    help: 'Times that the machine may have been suspended: its time of day got ahead of its steady clock',
    labels: [],
  },
  sends_withheld: {
    help: 'Requests that were about to go to a worker and were held back, by obstacle',
    labels: ['obstacle'],
  },
  cold_permits: {
    help: 'Permits to send a request to a cold worker, by what became of them at this node',
    labels: ['state'],
  },
  warmth_looks: { help: 'Looks at workers that may be cold, by what they told', labels: ['found'] },
  closed_connections: {
    help: 'Connections of clients that a limit closed, by address and what they were doing',
    labels: ['address', 'cause'],
  },
  evicted_requests: {
    help: 'Requests that gave their memory to others before they were over',
    labels: [],
  },
  peer_calls: { help: 'Calls to other nodes', labels: ['call', 'outcome'] },
} as const;

/** All gauges: help text and label names; those without labels have none. */
const GAUGES = {
  configuration_version: { help: 'Version of the configuration in force' },
  live_nodes: { help: 'Nodes of the fleet that count as live' },
  known_workers: { help: 'Workers that are registered' },
  open_jobs: { help: 'Jobs that are run here' },
  running_items: { help: 'Items under way at workers from here' },
  waiting_items: {
    help: 'Items at no worker, by the work that they await (run or score) and the reason',
    labels: ['work', 'reason'],
  },
  evacuated_zones: { help: 'Zones whose workers are sent nothing, as the operator asked' },
  cold_workers: { help: 'Workers that are sent requests under permits only' },
  grants_cold_permits: { help: '1 while this node grants permits for cold workers' },
  is_coordinator: { help: '1 while this node may order weights' },
} as const;

/** All histograms, in seconds. */
const HISTOGRAMS = {
  request_seconds: { help: 'Time to the answer of a request', labels: ['kind'] },
  item_seconds: { help: 'Age of an item when it was whole, since its submission', labels: [] },
  submit_seconds: { help: 'Time to store a job', labels: [] },
  store_seconds: { help: 'Time of calls to the shared store, watches apart', labels: ['call'] },
} as const;

const DURATION_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];
const METRIC_PREFIX = 'wardwing_fleet_';
const MILLISECONDS_PER_SECOND = 1_000;

export type FleetCounter = keyof typeof COUNTERS;
export type FleetGauge = keyof typeof GAUGES;
export type FleetHistogram = keyof typeof HISTOGRAMS;
/** Label values by label name. */
export type MetricLabels = Readonly<Record<string, string>>;

/** The metrics of one process. */
export class FleetMetrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<FleetCounter, Counter>();
  private readonly gauges = new Map<FleetGauge, Gauge>();
  private readonly histograms = new Map<FleetHistogram, Histogram>();
  private readonly totals = new Map<string, number>();

  constructor() {
    const registers = [this.registry];
    for (const [name, { help, labels }] of Object.entries(COUNTERS)) {
      const options = {
        name: `${METRIC_PREFIX}${name}_total`,
        help,
        labelNames: [...labels],
        registers,
      };
      this.counters.set(name as FleetCounter, new Counter(options));
    }
    for (const [name, gauge] of Object.entries(GAUGES)) {
      const labelNames = 'labels' in gauge ? [...gauge.labels] : [];
      const options = { name: `${METRIC_PREFIX}${name}`, help: gauge.help, labelNames, registers };
      this.gauges.set(name as FleetGauge, new Gauge(options));
    }
    for (const [name, { help, labels }] of Object.entries(HISTOGRAMS)) {
      const options = {
        name: `${METRIC_PREFIX}${name}`,
        help,
        labelNames: [...labels],
        buckets: DURATION_BUCKETS_SECONDS,
        registers,
      };
      this.histograms.set(name as FleetHistogram, new Histogram(options));
    }
  }

  /** Increments a counter. */
  count(name: FleetCounter, labels: MetricLabels, amount = 1): void {
    this.counters.get(name)?.inc(labels, amount);
    const key = [name, ...Object.values(labels)].join('.');
    this.totals.set(key, (this.totals.get(key) ?? 0) + amount);
  }

  set(name: FleetGauge, value: number): void {
    this.gauges.get(name)?.set(value);
  }

  /** Replaces all values of a gauge with labels; label values that are not named are removed. */
  setAll(
    name: FleetGauge,
    values: readonly { readonly labels: MetricLabels; readonly value: number }[],
  ): void {
    const gauge = this.gauges.get(name);
    gauge?.reset();
    for (const { labels, value } of values) gauge?.set(labels, value);
  }

  /** Records a duration in a histogram. */
  observe(name: FleetHistogram, labels: MetricLabels, duration: Milliseconds): void {
    this.histograms.get(name)?.observe(labels, duration / MILLISECONDS_PER_SECOND);
  }

  /** All counts since the start, by counter name and label values joined by dots. */
  snapshot(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.totals);
  }

  /** All metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  /** Media type of {@link text}. */
  get contentType(): string {
    return this.registry.contentType;
  }
}
