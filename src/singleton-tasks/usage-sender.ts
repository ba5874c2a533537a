/**
 * Sends this node's request counts to the holder of the singleton tasks. Messages carry totals, so
 * a lost or duplicate message has no effect on them; a new holder receives all retained counts.
 */
import type { NodeId } from '../core/identity.js';
import { type Milliseconds, type Revision, SECOND } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { UsageCounts, UsageSource, WindowCounts } from './usage-counts.js';
import type { UsageMeter } from './usage-meter.js';
import type { UsageRecords } from './usage-records.js';

const POLL_INTERVAL: Milliseconds = 250;

/** Bounds the counts that are lost if the node is killed. */
const MIN_SEND_INTERVAL: Milliseconds = SECOND;

/** Limit for all nodes together; in larger fleets each node sends less often. */
const MAX_MESSAGES_PER_SECOND = 100;

/** Ensures that the counts of a window arrive before it is reported. */
const MAX_SEND_INTERVAL: Milliseconds = 2_500;

/** The holder of the singleton tasks according to this node's cached state. */
export interface SingletonTaskHolder {
  readonly holder: NodeId | undefined;
  /** Changes with each holder. */
  readonly term: Revision;
}

export interface UsageSenderOptions {
  readonly meter: UsageMeter;
  /** Counts that this node received from others as the holder of the singleton tasks. */
  readonly gathered: UsageCounts;
  readonly records: UsageRecords;
  /** Incarnation of this node. */
  readonly source: UsageSource;
  readonly node: NodeId;
  readonly taskHolder: () => SingletonTaskHolder;
  readonly liveNodes: () => number;
  /** Sends counts to another node; resolves with whether that node accepted them. */
  readonly sendCounts: (
    holder: NodeId,
    source: UsageSource,
    counts: WindowCounts,
  ) => Promise<boolean>;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Sends counts from {@link start} to {@link finish}. */
export class UsageSender {
  private timer: NodeJS.Timeout | undefined;
  private nextAt: Milliseconds = 0;
  private isSending = false;
  /** Meter revision and holder's term of the last accepted message. */
  private lastSent = { revision: 0, term: -1 };

  constructor(private readonly options: UsageSenderOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.poll(), POLL_INTERVAL);
  }

  /**
   * Stops, and stores the counts that the holder has not received; if this node is the holder, also
   * those that it received.
   */
  async finish(): Promise<void> {
    clearInterval(this.timer);
    const { meter, gathered, records, source, node, taskHolder, log } = this.options;
    if (taskHolder().holder !== node) {
      if (this.lastSent.revision === meter.revision) return;
      if (await this.sendToHolder()) return;
    }
    gathered.merge(source, meter.totals());
    const isKept = await records.storeCounts(source, gathered.since(0));
    log.state('usage-counts-left', { isKept });
  }

  /** Sends new counts to the holder, at most once per send interval. */
  async poll(): Promise<void> {
    const { meter, clock, taskHolder } = this.options;
    const { holder, term } = taskHolder();
    const hasUnsentCounts =
      this.lastSent.revision !== meter.revision || this.lastSent.term !== term;
    if (holder === undefined || !hasUnsentCounts || this.isSending || clock.now() < this.nextAt)
      return;
    this.nextAt = clock.now() + this.sendInterval();
    await this.sendToHolder();
  }

  private async sendToHolder(): Promise<boolean> {
    const { meter, gathered, source, node, taskHolder, sendCounts } = this.options;
    const { holder, term } = taskHolder();
    const { revision } = meter;
    if (holder === undefined) return false;
    this.isSending = true;
    const counts = meter.totals();
    if (holder === node) gathered.merge(source, counts);
    const isAccepted =
      holder === node || counts.size === 0 || (await sendCounts(holder, source, counts));
    this.isSending = false;
    if (isAccepted) this.lastSent = { revision, term };
    return isAccepted;
  }

  private sendInterval(): Milliseconds {
    const shared = (this.options.liveNodes() * SECOND) / MAX_MESSAGES_PER_SECOND;
    return Math.min(MAX_SEND_INTERVAL, Math.max(MIN_SEND_INTERVAL, shared));
  }
}
