/**
 * Reports the usage of each window once it has ended and its counts had time to arrive. The report
 * is kept in the shared store before it is first sent; whoever holds the duty later sends just that
 * text, so that two different reports of one window never leave the fleet, however late a call is
 * carried out.
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

/** Share of the time until a report is due in which counts may still arrive. */
const SETTLING_SHARE = 0.5;

/** Reports are sent until they are this many times as late as they may be. */
const LATENESS_LIMIT = 2;

/** Time between two records of the counts that are not reported yet. */
const CHECKPOINT_INTERVAL: Milliseconds = 2_000;

/** Under which name the holder keeps counts that are not reported yet. */
const CHECKPOINT_KEEPER = 'holder';

/** Windows whose reports may still be sent, beside the open one. */
export function retainedWindowCount(dueAfter: Milliseconds, length: Milliseconds): number {
  return Math.ceil((LATENESS_LIMIT * dueAfter) / length);
}

/** Options of {@link UsageReporter}. */
export interface UsageReporterOptions {
  readonly port: CloudPort;
  readonly lock: SingletonTaskLock;
  readonly records: UsageRecords;
  readonly windows: UsageWindows;
  readonly gathered: UsageCounts;
  readonly meter: UsageMeter;
  readonly source: UsageSource;
  readonly node: NodeId;
  /** Time after the end of a window at which its report is due. */
  readonly dueAfter: Milliseconds;
  /** The first window that can have requests; of a fleet that has run before, any. */
  readonly firstWindow: WindowNumber;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

/** Reports windows while this node holds the duty. */
export class UsageReporter {
  /** Reports as they are kept, by window. */
  private readonly kept = new Map<WindowNumber, UsageReport>();
  private readonly done = new Set<WindowNumber>();
  private readonly retry = new CloudCallBackoff();
  private isBusy = false;
  private nextCheckpointAt: Milliseconds = 0;
  private requestsAtCheckpoint = 0;
  private lastReported: WindowNumber | undefined;

  constructor(private readonly options: UsageReporterOptions) {}

  /** The newest window that was reported from here. */
  get lastWindow(): WindowNumber | undefined {
    return this.lastReported;
  }

  /** Reports the oldest window that is due, and keeps the counts of the others. */
  tick(): void {
    const { lock, clock } = this.options;
    if (this.isBusy || lock.fencingToken() === undefined) return;
    const now = clock.now();
    if (!this.retry.isDue(now)) return;
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
    this.forgetBefore(oldestWindow);
    for (let window = oldestWindow; window < windows.current; window += 1) {
      if (windows.timeSinceEnd(window) < SETTLING_SHARE * dueAfter) return undefined;
      if (!this.done.has(window)) return window;
    }
    return undefined;
  }

  private async report(window: WindowNumber): Promise<void> {
    const report = this.kept.get(window) ?? (await this.keep(window));
    if (report === undefined) return this.retry.noteFailure(this.options.clock.now());
    await this.send(report);
  }

  /** Settles what the report of a window says. */
  private async keep(window: WindowNumber): Promise<UsageReport | undefined> {
    const { records, gathered, meter, source } = this.options;
    const read = await records.read(this.oldestWindow);
    if (read === undefined) return undefined;
    for (const [number, report] of read.reports) this.kept.set(number, report);
    const known = this.kept.get(window);
    if (known !== undefined) return known;
    for (const told of read.counts) gathered.merge(told.source, told.counts);
    gathered.merge(source, meter.totals());
    const outcome = await records.keep({ window, counts: gathered.totals(window) }, read.outdated);
    if (outcome.kind !== 'kept') return undefined;
    this.kept.set(window, outcome.report);
    return outcome.report;
  }

  private async send(report: UsageReport): Promise<void> {
    const { port, lock, node, clock, metrics, log, windows, gathered } = this.options;
    const fencingToken = lock.beginOrder();
    if (fencingToken === undefined) return;
    const stamp = { holder: node, fencingToken };
    const outcome = await port.reportUsage(report, stamp).finally(() => lock.endOrder());
    metrics.count('duty_calls', { duty: 'usage', outcome });
    const { window, counts } = report;
    const requests = Object.values(counts).reduce((sum, count) => sum + count, 0);
    const ageMs = Math.round(windows.timeSinceEnd(window));
    const details = { window, fencingToken, outcome, requests, ageMs };
    log.state('usage-reported', { ...details, sources: gathered.sourcesOf(window) });
    if (outcome === 'superseded') lock.noteRefused(fencingToken);
    if (outcome === 'accepted' || outcome === 'refused') {
      this.done.add(window);
      this.lastReported = window;
      this.retry.noteSuccess();
    } else this.retry.noteFailure(clock.now());
  }

  /** Keeps the counts of open windows, for the holder after this one. */
  private async checkpoint(): Promise<void> {
    const { records, gathered, meter, source, clock } = this.options;
    this.nextCheckpointAt = clock.now() + CHECKPOINT_INTERVAL;
    gathered.merge(source, meter.totals());
    const counts = gathered.since(this.oldestWindow);
    const requests = requestsIn(counts);
    if (requests === this.requestsAtCheckpoint) return;
    if (await records.keepCounts(CHECKPOINT_KEEPER, counts)) this.requestsAtCheckpoint = requests;
  }

  private forgetBefore(window: WindowNumber): void {
    const { gathered, log, windows } = this.options;
    gathered.forgetBefore(window);
    for (const number of this.done) if (number < window) this.done.delete(number);
    for (const number of this.kept.keys()) {
      if (number >= window) continue;
      this.kept.delete(number);
      const ageMs = Math.round(windows.timeSinceEnd(number));
      if (!this.done.has(number)) log.state('usage-report-forgotten', { window: number, ageMs });
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
