/**
 * Applies the workers' records in the shared store to the registry, and distinguishes removed
 * records from those that expired during an outage of the store.
 */
import type { Milliseconds } from '../core/units.js';
import type { EnginePort } from '../serving/engine-port.js';
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { FleetRegistry } from './fleet-registry.js';

/** Records that disappear within this time after an outage of the store may have expired. */
const EXPIRY_WINDOW: Milliseconds = 1_000;

/** Time in which a live worker registers again; shorter than the 2 s limit for removing workers. */
const EXPIRY_GRACE: Milliseconds = 1_500;

/**
 * Time for which a worker whose record was removed may finish its requests. Some workers are
 * removed without notice and continue to serve; a crashed one is detected by its idle streams.
 */
const DRAIN_TIME: Milliseconds = 12_000;

/**
 * Up to this many workers that become known together are logged one by one; the first list of
 * 3,000 workers at 300 nodes would write 900,000 lines.
 */
const MAX_INDIVIDUAL_LOG_LINES = 40;

export interface WorkerRosterOptions {
  readonly registry: WorkerRegistry;
  readonly engine: EnginePort;
  readonly fleet: Pick<FleetRegistry, 'wasStoreUnreachableWithin'>;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

export class WorkerRoster {
  /** Records that became known in this turn of the event loop. */
  private newRecords: WorkerRecord[] = [];

  constructor(private readonly options: WorkerRosterOptions) {}

  /** Applies a record, new or changed. */
  put(record: WorkerRecord): void {
    const { registry } = this.options;
    const before = registry.get(record.id)?.record;
    const change = registry.put(record);
    if (change === 'outdated') return;
    if (change === 'restarted') this.handleRestart(record);
    else if (before?.draining === record.draining) return;
    this.newRecords.push(record);
    if (this.newRecords.length === 1) setImmediate(() => this.logNewRecords());
  }

  /** Closes connections to the previous incarnation: they are dead or now reach the new one. */
  private handleRestart({ id, startedAt = 0 }: WorkerRecord): void {
    this.options.engine.forget(id);
    this.options.log.state('worker-restarted', { worker: id, startedAt });
  }

  private logNewRecords(): void {
    const { log } = this.options;
    const records = this.newRecords;
    this.newRecords = [];
    const isSummarized = records.length > MAX_INDIVIDUAL_LOG_LINES;
    const listed = isSummarized ? records.filter(({ draining }) => draining) : records;
    if (isSummarized)
      log.state('workers-known', { workers: records.length, draining: listed.length });
    for (const { id, service, zone, draining } of listed.slice(0, MAX_INDIVIDUAL_LOG_LINES)) {
      log.state('worker-known', { worker: id, service, workerZone: zone, draining });
    }
  }

  /**
   * Handles the removal of a record. After an outage of the store the record may have expired with
   * its lease; the worker then stays for a grace period in which a live one registers again.
   */
  handleRemoval(id: string): void {
    const { registry, fleet, log } = this.options;
    const record = registry.get(id)?.record;
    if (record === undefined || !fleet.wasStoreUnreachableWithin(EXPIRY_WINDOW)) {
      this.remove(id);
      return;
    }
    log.state('worker-lapsed', { worker: id });
    setTimeout(() => {
      if (registry.get(id)?.record === record) this.remove(id);
    }, EXPIRY_GRACE);
  }

  /** Handles an unreadable record: its worker gets no new requests. */
  handleUnreadable(id: string): void {
    this.options.metrics.count('unreadable_entries', {});
    this.options.log.decision('worker-entry-unreadable', { worker: id });
    this.remove(id);
  }

  /** Sends a worker no new requests, and closes its connections after the drain time. */
  private remove(id: string): void {
    const { registry, engine, log } = this.options;
    const record = registry.get(id)?.record;
    if (record === undefined) return;
    const draining = { ...record, draining: true };
    registry.put(draining);
    log.state('worker-gone', { worker: id });
    const forget = setTimeout(() => {
      if (registry.get(id)?.record !== draining) return;
      registry.remove(id);
      engine.forget(id);
    }, DRAIN_TIME);
    // The timer does not keep a stopped process alive.
    forget.unref();
  }
}
