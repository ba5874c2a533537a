/** A stub cloud interface, a stub lock and nodes that report usage. */
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Clock } from '../../src/serving/clock.js';
import type {
  CloudCallOutcome,
  CloudPort,
  FencedHolder,
  UsageReport,
  WorkerOrder,
} from '../../src/singleton-tasks/cloud-port.js';
import type { SingletonTaskLock } from '../../src/singleton-tasks/singleton-task-lock.js';
import { UsageCounts } from '../../src/singleton-tasks/usage-counts.js';
import { UsageMeter } from '../../src/singleton-tasks/usage-meter.js';
import { UsageRecords } from '../../src/singleton-tasks/usage-records.js';
import { UsageReporter } from '../../src/singleton-tasks/usage-reporter.js';
import { UsageWindows } from '../../src/singleton-tasks/usage-windows.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';

export const WINDOW = 5_000;
export const DUE_AFTER = 10_000;

/** Records calls and returns the given outcomes, then `accepted`. */
export class StubCloud implements CloudPort {
  readonly reports: { readonly report: UsageReport; readonly caller: FencedHolder }[] = [];
  readonly orders: WorkerOrder[] = [];
  outcomes: CloudCallOutcome[] = [];

  async reportUsage(report: UsageReport, caller: FencedHolder): Promise<CloudCallOutcome> {
    this.reports.push({ report, caller });
    return this.outcomes.shift() ?? 'accepted';
  }

  async orderWorkers(order: WorkerOrder): Promise<CloudCallOutcome> {
    this.orders.push(order);
    return this.outcomes.shift() ?? 'accepted';
  }
}

/** A lock whose token the test sets. */
export class StubLock implements SingletonTaskLock {
  token: number | undefined = 7;
  readonly refused: number[] = [];
  pendingOrders = 0;

  fencingToken(): number | undefined {
    return this.token;
  }
  beginOrder(): number | undefined {
    if (this.token !== undefined) this.pendingOrders += 1;
    return this.token;
  }
  endOrder(): void {
    this.pendingOrders -= 1;
  }
  noteRefused(token: number): void {
    this.refused.push(token);
    this.token = undefined;
  }
}

/** The usage components of one node, with its lock and log lines. */
export interface UsageNode {
  readonly reporter: UsageReporter;
  readonly meter: UsageMeter;
  readonly gathered: UsageCounts;
  readonly records: UsageRecords;
  readonly lock: StubLock;
  readonly lines: readonly string[];
}

/** Nodes that share a store, a cloud interface and a clock. */
export class UsageFleet {
  readonly store = new SharedStoreEmulator();
  readonly cloud = new StubCloud();
  readonly clock = new ManualClock();

  /** `clockLag`: how far the node's time of day is behind. */
  node(name: string, firstWindow = 0, clockLag = 0): UsageNode {
    const { cloud: port } = this;
    const clock: Clock = {
      now: () => this.clock.now(),
      suspendedTime: () => this.clock.suspendedTime(),
      wallTime: () => this.clock.wallTime() - clockLag,
      sleep: () => this.clock.sleep(),
    };
    const { log, lines } = recordingLog();
    const windows = new UsageWindows(clock, WINDOW);
    const meter = new UsageMeter(windows, 5);
    const gathered = new UsageCounts();
    const records = new UsageRecords(this.store, (key) => log.state('record-unreadable', { key }));
    const lock = new StubLock();
    const reporter = new UsageReporter({
      ...{ port, lock, records, windows, gathered, meter, clock, log },
      source: `${name}-life`,
      node: name,
      dueAfter: DUE_AFTER,
      firstWindow,
      metrics: new FleetMetrics(),
    });
    return { reporter, meter, gathered, records, lock, lines };
  }

  /** Advances the clock while a node performs its periodic work. */
  async pass(duration: number, node: UsageNode): Promise<void> {
    const end = this.clock.time + duration;
    while (this.clock.time < end) {
      this.clock.time += 100;
      node.reporter.tick();
      for (let turn = 0; turn < 6; turn += 1) await new Promise((go) => setImmediate(go));
    }
  }
}
