/**
 * Tells the holder of the duties what workers began to run for this node. Totals are told, not
 * differences, so that a message that is lost or comes twice changes nothing; a new holder is told
 * everything that is not forgotten.
 */
import type { NodeId } from '../core/identity.js';
import { type Milliseconds, type Revision, SECOND } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { UsageCounts, UsageSource, WindowCounts } from './usage-counts.js';
import type { UsageMeter } from './usage-meter.js';
import type { UsageRecords } from './usage-records.js';

/** Time between two looks whether there is something to tell. */
const LOOK_INTERVAL: Milliseconds = 250;

/** Least time between two messages: what a node that is killed has not told yet is lost. */
const LEAST_PAUSE: Milliseconds = SECOND;

/**
 * Messages that the holder takes in a second from all nodes together: in large fleets every node waits
 * longer between two messages. Chosen, not measured: a fleet of 100 nodes still tells each second.
 */
const MESSAGES_PER_SECOND = 100;

/** Longest time between two messages, so that a window's counts are told before it is reported. */
const LONGEST_PAUSE: Milliseconds = 2_500;

/** Holder of the duties, as this node knows. */
export interface SingletonTaskHolder {
  readonly holder: NodeId | undefined;
  /** Changes with each holder. */
  readonly term: Revision;
}

/** Options of {@link UsageSender}. */
export interface UsageSenderOptions {
  readonly meter: UsageMeter;
  /** Counts that other nodes told this one, in case that it holds the duties. */
  readonly gathered: UsageCounts;
  readonly records: UsageRecords;
  /** Name of this life of the node. */
  readonly source: UsageSource;
  readonly node: NodeId;
  readonly taskHolder: () => SingletonTaskHolder;
  readonly liveNodes: () => number;
  /** Tells another node; whether it took it. */
  readonly tell: (holder: NodeId, source: UsageSource, counts: WindowCounts) => Promise<boolean>;
  readonly clock: Clock;
  readonly log: DecisionLog;
}

/** Tells counts until it is finished. */
export class UsageSender {
  private timer: NodeJS.Timeout | undefined;
  private nextAt: Milliseconds = 0;
  private isTelling = false;
  /** What the last message held, and to whom it went. */
  private told = { revision: 0, term: -1 };

  constructor(private readonly options: UsageSenderOptions) {}

  /** Begins to tell. */
  start(): void {
    this.timer = setInterval(() => void this.look(), LOOK_INTERVAL);
  }

  /**
   * Ends: what the holder has not been told is kept in the shared store, and if this node is the
   * holder, what it was told itself.
   */
  async finish(): Promise<void> {
    clearInterval(this.timer);
    const { meter, gathered, records, source, node, taskHolder: duties, log } = this.options;
    if (duties().holder !== node) {
      if (this.told.revision === meter.revision) return;
      if (await this.tellHolder()) return;
    }
    gathered.merge(source, meter.totals());
    const isKept = await records.keepCounts(source, gathered.since(0));
    log.state('usage-counts-left', { isKept });
  }

  /** Tells the holder what is new, if there is something and it is time. */
  async look(): Promise<void> {
    const { meter, clock, taskHolder: duties } = this.options;
    const { holder, term } = duties();
    const isNew = this.told.revision !== meter.revision || this.told.term !== term;
    if (holder === undefined || !isNew || this.isTelling || clock.now() < this.nextAt) return;
    this.nextAt = clock.now() + this.pause();
    await this.tellHolder();
  }

  private async tellHolder(): Promise<boolean> {
    const { meter, gathered, source, node, taskHolder: duties, tell } = this.options;
    const { holder, term } = duties();
    const { revision } = meter;
    if (holder === undefined) return false;
    this.isTelling = true;
    const counts = meter.totals();
    if (holder === node) gathered.merge(source, counts);
    const isTaken = holder === node || counts.size === 0 || (await tell(holder, source, counts));
    this.isTelling = false;
    if (isTaken) this.told = { revision, term };
    return isTaken;
  }

  private pause(): Milliseconds {
    const shared = (this.options.liveNodes() * SECOND) / MESSAGES_PER_SECOND;
    return Math.min(LONGEST_PAUSE, Math.max(LEAST_PAUSE, shared));
  }
}
