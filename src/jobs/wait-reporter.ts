/**
 * Reports which accepted work is at no worker: how many items wait for what, as a gauge, and one log
 * line for each item that has waited for long.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { OwnedItem } from './owned-item.js';
import type { OwnedJob } from './owned-job.js';
import type { SendingPermission } from './sending-permission.js';

const REPORT_INTERVAL: Milliseconds = 1_000;

/** Waits of this length have a log line. */
const MIN_LOGGED_WAIT: Milliseconds = 1_000;

/** The same for items that wait only because all workers are busy, as in any backlog. */
const MIN_LOGGED_BACKLOG_WAIT: Milliseconds = 5_000;

/** Interval between two lines about one item whose reason stays the same. */
const REPEAT_INTERVAL: Milliseconds = 10_000;

/** Lines in one report, longest waits first; the gauge counts all items. */
const MAX_LINES_PER_REPORT = 5;

/** What an item waits for: a run that makes its text, or its score. */
type AwaitedWork = 'run' | 'score';

/** An item at no worker. */
interface WaitingItem {
  readonly job: OwnedJob;
  readonly entry: OwnedItem;
  readonly work: AwaitedWork;
}

export interface WaitReporterOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  readonly permission: SendingPermission;
}

export class WaitReporter {
  private nextReportAt: Milliseconds = 0;
  private counts: Readonly<Record<string, number>> = {};

  constructor(private readonly options: WaitReporterOptions) {}

  /** Items that waited at the last report, by awaited work and reason, joined by a dot. */
  get waitingCounts(): Readonly<Record<string, number>> {
    return this.counts;
  }

  /** Reports the waits of all open jobs once a second. */
  tick(jobs: Iterable<OwnedJob>): void {
    const now = this.options.clock.now();
    if (now < this.nextReportAt) return;
    this.nextReportAt = now + REPORT_INTERVAL;
    const waiting = [...jobs].flatMap((job) => this.waitingItemsOf(job, now));
    this.count(waiting);
    this.logLongest(waiting, now);
  }

  private waitingItemsOf(job: OwnedJob, now: Milliseconds): WaitingItem[] {
    if (!job.isOpen) return [];
    const isHeldBack = !this.options.permission.maySend(job);
    const waiting: WaitingItem[] = [];
    for (const entry of job.items.values()) {
      const work = awaitedWorkOf(entry);
      if (work === undefined) continue;
      if (isHeldBack) entry.wait.note(now, { reason: 'sending-held-back', inputs: {} });
      waiting.push({ job, entry, work });
    }
    return waiting;
  }

  private count(waiting: readonly WaitingItem[]): void {
    const counts: Record<string, number> = {};
    for (const { entry, work } of waiting) {
      const key = `${work}.${entry.wait.reason}`;
      counts[key] = (counts[key] ?? 0) + 1;
    }
    this.counts = counts;
    const values = Object.entries(counts).map(([key, value]) => {
      const [work = '', reason = ''] = key.split('.');
      return { labels: { work, reason }, value };
    });
    this.options.metrics.setAll('waiting_items', values);
  }

  private logLongest(waiting: readonly WaitingItem[], now: Milliseconds): void {
    const due = waiting
      .filter(({ entry: { wait } }) => wait.idleTime(now) >= loggedWaitOf(wait.reason))
      .filter(({ entry: { wait } }) => wait.isReportDue(now, REPEAT_INTERVAL))
      .sort((left, right) => right.entry.wait.idleTime(now) - left.entry.wait.idleTime(now));
    for (const { job, entry, work } of due.slice(0, MAX_LINES_PER_REPORT)) {
      const details = { item: entry.item.id, job: job.spec.id, work };
      this.options.log.decision('item-waiting', { ...details, ...entry.wait.report(now) });
    }
  }
}

/** The work that an item awaits; `undefined` if it is done or at a worker. */
function awaitedWorkOf({ state, scoring }: OwnedItem): AwaitedWork | undefined {
  if (state === 'waiting') return 'run';
  const isUncalled = state === 'unscored' && (scoring?.callCount ?? 0) === 0;
  return isUncalled ? 'score' : undefined;
}

function loggedWaitOf(reason: OwnedItem['wait']['reason']): Milliseconds {
  return reason === 'workers-full' ? MIN_LOGGED_BACKLOG_WAIT : MIN_LOGGED_WAIT;
}
