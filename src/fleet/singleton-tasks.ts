/**
 * The duties of one node at a time, joined: counts of usage told to the holder and reported by it,
 * and orders of workers. The holder is the fleet's coordinator.
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
import {
  UsageCounts,
  type UsageSource,
  type WindowCounts,
} from '../singleton-tasks/usage-counts.js';
import { UsageMeter } from '../singleton-tasks/usage-meter.js';
import { UsageRecords } from '../singleton-tasks/usage-records.js';
import { retainedWindowCount, UsageReporter } from '../singleton-tasks/usage-reporter.js';
import { UsageSender } from '../singleton-tasks/usage-sender.js';
import { UsageWindows } from '../singleton-tasks/usage-windows.js';
import { WorkerScaler } from '../singleton-tasks/worker-scaler.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { CoordinatorLock } from './coordinator-lock.js';

/** What the operator asks of the fleet beside its requests; settings of a process. */
export interface SingletonTaskSettings {
  readonly port: CloudPort;
  /** Whether usage is to be reported, and in which windows. */
  readonly usage: UsageReporting | undefined;
  /** Whether workers may be ordered. */
  readonly scalesWorkers: boolean;
}

/** Reports of usage. */
export interface UsageReporting {
  /** Length of a window of the time of day. */
  readonly window: Milliseconds;
  /** Time after the end of a window at which its report is due. */
  readonly dueAfter: Milliseconds;
}

/** Options of {@link SingletonTasks}. */
export interface SingletonTasksOptions {
  readonly settings: SingletonTaskSettings;
  readonly lock: CoordinatorLock;
  readonly store: SharedStore;
  readonly self: JobOwner;
  readonly registry: WorkerRegistry;
  readonly services: () => readonly Service[];
  /** Whether the workers of a zone are sent no work for the time being. */
  readonly isEvacuated: (zone: ZoneName) => boolean;
  readonly liveNodes: () => number;
  /** Tells another node what workers began to run for this one; whether it took it. */
  readonly tell: (holder: NodeId, source: UsageSource, counts: WindowCounts) => Promise<boolean>;
  readonly isFirstStart: boolean;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** What counts usage on one node. */
interface UsageParts {
  readonly meter: UsageMeter;
  readonly gathered: UsageCounts;
  readonly sender: UsageSender;
  readonly reporter: UsageReporter;
}

/** The duties as one node takes part in them. */
export class SingletonTasks {
  private readonly usage: UsageParts | undefined;
  private readonly scaler: WorkerScaler | undefined;

  constructor(private readonly options: SingletonTasksOptions) {
    const { settings: duties, self } = options;
    const shared = { ...options, port: duties.port, node: self.node };
    if (duties.usage !== undefined) this.usage = this.joinUsage(duties.usage);
    if (duties.scalesWorkers) {
      this.scaler = new WorkerScaler({ ...shared, policy: new MaxWorkersPolicy(options.clock) });
    }
  }

  /** Counts requests; `undefined` where no usage is reported. */
  get meter(): UsageMeter | undefined {
    return this.usage?.meter;
  }

  /** Begins to tell the holder. */
  start(): void {
    this.usage?.sender.start();
  }

  /** Regular work of the holder. */
  tick(): void {
    this.usage?.reporter.tick();
    this.scaler?.tick();
  }

  /** Another node told what workers began to run for it. */
  take(source: UsageSource, counts: WindowCounts): void {
    this.usage?.gathered.merge(source, counts);
  }

  /** Before the process ends: nothing that was counted is lost. */
  async finish(): Promise<void> {
    await this.usage?.sender.finish();
  }

  private joinUsage({ window, dueAfter }: UsageReporting): UsageParts {
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
    const duties = (): { holder: NodeId | undefined; term: number } => lock;
    const firstWindow = isFirstStart ? windows.current : 0;
    return {
      meter,
      gathered,
      sender: new UsageSender({ ...shared, taskHolder: duties }),
      reporter: new UsageReporter({ ...shared, windows, dueAfter, firstWindow }),
    };
  }
}
