/**
 * Tasks that only the coordinator performs: reporting usage, which all nodes send to it, and
 * scaling workers.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { JobOwner } from '../jobs/job-records.js';
import type { Clock } from '../serving/clock.js';
import type { Service } from '../serving/traffic-configuration.js';
import type { WorkerRegistry } from '../serving/worker-registry.js';
import type { SharedStore } from '../shared-store/shared-store.js';
import type { CloudPort } from '../singleton-tasks/cloud-port.js';
import { MaxWorkersPolicy } from '../singleton-tasks/scaling-policy.js';
import type { SingletonTaskLock } from '../singleton-tasks/singleton-task-lock.js';
import {
  UsageCounts,
  type UsageSource,
  type WindowCounts,
} from '../singleton-tasks/usage-counts.js';
import { UsageMeter } from '../singleton-tasks/usage-meter.js';
import { UsageRecords } from '../singleton-tasks/usage-records.js';
import { retainedWindowCount, UsageReporter } from '../singleton-tasks/usage-reporter.js';
import { type SingletonTaskHolder, UsageSender } from '../singleton-tasks/usage-sender.js';
import { UsageWindows } from '../singleton-tasks/usage-windows.js';
import { WorkerScaler } from '../singleton-tasks/worker-scaler.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';

export interface SingletonTaskSettings {
  readonly port: CloudPort;
  /** How usage is reported; `undefined` if it is not reported. */
  readonly usage: UsageReporting | undefined;
  /** Whether the fleet may order workers. */
  readonly scalesWorkers: boolean;
}

/** Timing of usage reports. */
export interface UsageReporting {
  /** Length of a window, aligned to the time of day. */
  readonly window: Milliseconds;
  /** Time after the end of a window at which its report is due. */
  readonly dueAfter: Milliseconds;
}

export interface SingletonTasksOptions {
  readonly settings: SingletonTaskSettings;
  readonly lock: SingletonTaskLock & SingletonTaskHolder;
  readonly store: SharedStore;
  readonly self: JobOwner;
  readonly registry: WorkerRegistry;
  readonly services: () => readonly Service[];
  /** Whether a zone is evacuated, so that its workers get no work. */
  readonly isEvacuated: (zone: ZoneName) => boolean;
  readonly liveNodes: () => number;
  /** Sends this node's usage counts to the coordinator; resolves to whether it accepted them. */
  readonly sendCounts: (
    holder: NodeId,
    source: UsageSource,
    counts: WindowCounts,
  ) => Promise<boolean>;
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Components that count and report usage on one node. */
interface UsageComponents {
  readonly meter: UsageMeter;
  readonly gathered: UsageCounts;
  readonly sender: UsageSender;
  readonly reporter: UsageReporter;
}

/**
 * Runs the singleton tasks while this node is the coordinator, and counts its usage in any case.
 */
export class SingletonTasks {
  private readonly usage: UsageComponents | undefined;
  private readonly scaler: WorkerScaler | undefined;

  constructor(private readonly options: SingletonTasksOptions) {
    const { settings, self } = options;
    const shared = { ...options, port: settings.port, node: self.node };
    if (settings.usage !== undefined) this.usage = this.createUsageComponents(settings.usage);
    if (settings.scalesWorkers) {
      this.scaler = new WorkerScaler({ ...shared, policy: new MaxWorkersPolicy(options.clock) });
    }
  }

  /** Counts requests; `undefined` if no usage is reported. */
  get meter(): UsageMeter | undefined {
    return this.usage?.meter;
  }

  /** Starts to send usage counts to the coordinator. */
  start(): void {
    this.usage?.sender.start();
  }

  /** Performs the tasks, where this node is the coordinator. */
  tick(): void {
    this.usage?.reporter.tick();
    this.scaler?.tick();
  }

  /**
   * Applies the usage counts of another node. Returns whether this node reports them: one that lost
   * the lock does not, though others may still take it for the holder.
   */
  applyUsage(source: UsageSource, counts: WindowCounts): boolean {
    this.usage?.gathered.merge(source, counts);
    return this.usage !== undefined && this.options.lock.fencingToken() !== undefined;
  }

  /** Sends the remaining counts before the process ends. */
  async finish(): Promise<void> {
    await this.usage?.sender.finish();
  }

  private createUsageComponents({ window, dueAfter }: UsageReporting): UsageComponents {
    const { options } = this;
    const { clock, lock, log, self, store, isFirstStart } = options;
    const windows = new UsageWindows(clock, window);
    const meter = new UsageMeter(windows, retainedWindowCount(dueAfter, window) + 1);
    const gathered = new UsageCounts();
    const records = new UsageRecords(store, (key) => log.state('record-unreadable', { key }));
    const { node, incarnation: source } = self;
    const shared = {
      ...options,
      port: options.settings.port,
      meter,
      gathered,
      records,
      source,
      node,
    };
    const taskHolder = (): SingletonTaskHolder => lock;
    const firstWindow = isFirstStart ? windows.current : 0;
    return {
      meter,
      gathered,
      sender: new UsageSender({ ...shared, taskHolder }),
      reporter: new UsageReporter({ ...shared, windows, dueAfter, firstWindow }),
    };
  }
}
