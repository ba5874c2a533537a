/**
 * Reports the usage of each window after it has ended and its counts had time to arrive. A report is
 * stored before it is first sent, and later holders send the stored one, so that no two different
 * reports of a window are ever sent.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { CloudCallBackoff } from './cloud-call-backoff.js';
import type { CloudPort, UsageReport } from './cloud-port.js';
import type { SingletonTaskLock } from './singleton-task-lock.js';
import type { UsageCounts, UsageSource } from './usage-counts.js';
import type { UsageMeter } from './usage-meter.js';
import type { UsageRecords } from './usage-records.js';
import type { UsageWindows, WindowNumber } from './usage-windows.js';

/** Share of the time until a report is due that is left for counts to arrive. */
const SETTLING_SHARE = 0.5;

/** Reports are retried until this multiple of the time after which they are due. */
const MAX_LATENESS_FACTOR = 2;

/** Time between two checkpoints of unreported counts. */
const CHECKPOINT_INTERVAL: Milliseconds = 2_000;

/** Number of windows whose reports may still be sent, besides the open one. */
export function retainedWindowCount(dueAfter: Milliseconds, length: Milliseconds): number {
  return Math.ceil((MAX_LATENESS_FACTOR * dueAfter) / length);
}

export interface UsageReporterOptions {
  readonly port: CloudPort;
  readonly lock: SingletonTaskLock;
  readonly records: UsageRecords;
  readonly windows: UsageWindows;
  readonly gathered: UsageCounts;
  readonly meter: UsageMeter;
  readonly source: UsageSource;
  readonly node: NodeId;
  /** Time from the end of a window until its report is due. */
  readonly dueAfter: Milliseconds;
  /** The first window that can have requests; 0 for a fleet that has run before. */
  readonly firstWindow: WindowNumber;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Sends usage reports while this node holds the lock. */
export class UsageReporter {
  /** Reports that the shared store holds, by window. */
  private readonly stored = new Map<WindowNumber, UsageReport>();
  private readonly settled = new Set<WindowNumber>();
  private readonly backoff = new CloudCallBackoff();
  private isBusy = false;
  private nextCheckpointAt: Milliseconds = 0;
  private requestsAtCheckpoint = 0;
  private lastReported: WindowNumber | undefined;

  constructor(private readonly options: UsageReporterOptions) {}

  /** The window that this node reported last. */
  get lastWindow(): WindowNumber | undefined {
    return this.lastReported;
  }

  /** Reports the oldest window that is due, or else checkpoints the unreported counts. */
  tick(): void {
    const { lock, clock } = this.options;
    if (this.isBusy || lock.fencingToken() === undefined) return;
    const now = clock.now();
    if (!this.backoff.isDue(now)) return;
    const window = this.dueWindow();
    if (window === undefined && now < this.nextCheckpointAt) return;
    this.isBusy = true;
    const work = window === undefined ? this.checkpoint() : this.report(window);
    void work.finally(() => {
      this.isBusy = false;
    });
  }

  private get oldestWindow(): WindowNumber {
    const { windows, dueAfter, firstWindow } = this.options;
    return Math.max(firstWindow, windows.current - retainedWindowCount(dueAfter, windows.length));
  }

  private dueWindow(): WindowNumber | undefined {
    const { windows, dueAfter } = this.options;
    const { oldestWindow } = this;
    this.removeBefore(oldestWindow);
    for (let window = oldestWindow; window < windows.current; window += 1) {
      if (windows.timeSinceEnd(window) < SETTLING_SHARE * dueAfter) return undefined;
      if (!this.settled.has(window)) return window;
    }
    return undefined;
  }

  private async report(window: WindowNumber): Promise<void> {
    const report = this.stored.get(window) ?? (await this.storeReport(window));
    if (report === undefined) return this.backoff.noteFailure(this.options.clock.now());
    await this.send(report);
  }

  /** Returns the stored report of a window, and stores one if there is none. */
  private async storeReport(window: WindowNumber): Promise<UsageReport | undefined> {
    const { records, gathered, meter, source } = this.options;
    const read = await records.read(this.oldestWindow);
    if (read === undefined) return undefined;
    for (const [number, report] of read.reports) this.stored.set(number, report);
    const storedReport = this.stored.get(window);
    if (storedReport !== undefined) return storedReport;
    for (const counted of read.counts) gathered.merge(counted.source, counted.counts);
    gathered.merge(source, meter.totals());
    const outcome = await records.storeReport(
      { window, counts: gathered.totals(window) },
      read.outdated,
    );
    if (outcome.kind !== 'kept') return undefined;
    this.stored.set(window, outcome.report);
    return outcome.report;
  }

  private async send(report: UsageReport): Promise<void> {
    const { port, lock, node, clock, metrics, log, windows, gathered } = this.options;
    const fencingToken = lock.beginOrder();
    if (fencingToken === undefined) return;
    const caller = { holder: node, fencingToken };
    const outcome = await port.reportUsage(report, caller).finally(() => lock.endOrder());
    metrics.count('duty_calls', { duty: 'usage', outcome });
    const { window, counts } = report;
    const requests = Object.values(counts).reduce((sum, count) => sum + count, 0);
    const ageMs = Math.round(windows.timeSinceEnd(window));
    const details = { window, fencingToken, outcome, requests, ageMs };
    log.state('usage-reported', { ...details, sources: gathered.sourcesOf(window) });
    if (outcome === 'superseded') lock.noteRefused(fencingToken);
    if (outcome === 'accepted' || outcome === 'refused') {
      this.settled.add(window);
      this.lastReported = window;
      this.backoff.noteSuccess();
    } else this.backoff.noteFailure(clock.now());
  }

  /** Stores the unreported counts for the next holder. */
  private async checkpoint(): Promise<void> {
    const { records, gathered, meter, source, clock } = this.options;
    this.nextCheckpointAt = clock.now() + CHECKPOINT_INTERVAL;
    gathered.merge(source, meter.totals());
    const counts = gathered.since(this.oldestWindow);
    const requests = requestsIn(counts);
    if (requests === this.requestsAtCheckpoint) return;
    if (await records.storeCounts(source, counts)) this.requestsAtCheckpoint = requests;
  }

  private removeBefore(window: WindowNumber): void {
    const { gathered, log, windows } = this.options;
    gathered.removeBefore(window);
    for (const number of this.settled) if (number < window) this.settled.delete(number);
    for (const number of this.stored.keys()) {
      if (number >= window) continue;
      this.stored.delete(number);
      const ageMs = Math.round(windows.timeSinceEnd(number));
      if (!this.settled.has(number)) log.state('usage-report-forgotten', { window: number, ageMs });
    }
  }
}

function requestsIn(counts: ReturnType<UsageCounts['since']>): number {
  let requests = 0;
  for (const { counts: windows } of counts) {
    for (const totals of windows.values()) for (const count of totals.values()) requests += count;
  }
  return requests;
}
