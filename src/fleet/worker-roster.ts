/** Which workers are there, by their records in the shared store, and which of them only lapsed. */
import type { Milliseconds } from '../core/units.js';
import type { EnginePort } from '../serving/engine-port.js';
import type { WorkerRecord } from '../serving/traffic-configuration.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { FleetRegistry } from './fleet-registry.js';

/** Records that go within this time after the store was silent may have lapsed. */
const LAPSE_WINDOW: Milliseconds = 1_000;

/** Time in which a live worker registers again; the bound on leaving workers is 2 s. */
const LAPSE_GRACE: Milliseconds = 1_500;

/**
 * Time for which a worker whose record has gone may finish what it runs. Some workers leave without
 * a notice and serve on for a while; one that crashed is noticed by its silent streams.
 */
const LINGER_TIME: Milliseconds = 12_000;

/**
 * Workers that become known together up to which each has a line of its own; a first list of 3,003
 * workers at 299 nodes would make 900,000 lines.
 */
const MOST_LINES_TOGETHER = 40;

/** Options of {@link WorkerRoster}. */
export interface WorkerRosterOptions {
  readonly registry: WorkerRegistry;
  readonly engine: EnginePort;
  readonly fleet: Pick<FleetRegistry, 'wasStoreUnreachableWithin'>;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Takes records of workers into the registry and out of it. */
export class WorkerRoster {
  /** Records that became known in this turn of the event loop. */
  private newlyKnown: WorkerRecord[] = [];

  constructor(private readonly options: WorkerRosterOptions) {}

  /** Takes in a record, new or changed. */
  put(record: WorkerRecord): void {
    const { registry } = this.options;
    const before = registry.get(record.id)?.record;
    const change = registry.put(record);
    if (change === 'outdated') return;
    if (change === 'restarted') this.noteRestarted(record);
    else if (before?.draining === record.draining) return;
    this.newlyKnown.push(record);
    if (this.newlyKnown.length === 1) setImmediate(() => this.logNewlyKnown());
  }

  /** Connections to an earlier life are dead, or were taken over by the new one unasked. */
  private noteRestarted({ id, startedAt = 0 }: WorkerRecord): void {
    this.options.engine.forget(id);
    this.options.log.state('worker-restarted', { worker: id, startedAt });
  }

  private logNewlyKnown(): void {
    const { log } = this.options;
    const known = this.newlyKnown;
    this.newlyKnown = [];
    const isCrowd = known.length > MOST_LINES_TOGETHER;
    const named = isCrowd ? known.filter(({ draining }) => draining) : known;
    if (isCrowd) log.state('workers-known', { workers: known.length, draining: named.length });
    for (const { id, service, zone, draining } of named.slice(0, MOST_LINES_TOGETHER)) {
      log.state('worker-known', { worker: id, service, workerZone: zone, draining });
    }
  }

  /**
   * A record has gone. One that goes while the store is silent may have lapsed with it; such a
   * worker is kept for a moment, in which a live one registers again.
   */
  noteGone(id: string): void {
    const { registry, fleet, log } = this.options;
    const record = registry.get(id)?.record;
    if (record === undefined || !fleet.wasStoreUnreachableWithin(LAPSE_WINDOW)) {
      this.remove(id);
      return;
    }
    log.state('worker-lapsed', { worker: id });
    setTimeout(() => {
      if (registry.get(id)?.record === record) this.remove(id);
    }, LAPSE_GRACE);
  }

  /** An entry that no worker wrote as agreed: whoever stood there before gets no new work. */
  noteUnreadable(id: string): void {
    this.options.metrics.count('unreadable_entries', {});
    this.options.log.decision('worker-entry-unreadable', { worker: id });
    this.remove(id);
  }

  /** Sends a worker nothing more; its connections are closed once it had time to finish. */
  private remove(id: string): void {
    const { registry, engine, log } = this.options;
    const record = registry.get(id)?.record;
    if (record === undefined) return;
    const leaving = { ...record, draining: true };
    registry.put(leaving);
    log.state('worker-gone', { worker: id });
    const forget = setTimeout(() => {
      if (registry.get(id)?.record !== leaving) return;
      registry.remove(id);
      engine.forget(id);
    }, LINGER_TIME);
    // A node that has stopped need not wait for it.
    forget.unref();
  }
}
