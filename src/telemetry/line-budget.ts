/** Limits the log lines of one kind per second and counts those beyond the limit, by event. */
import { type Milliseconds, SECOND } from '../core/units.js';
import type { Clock } from '../serving/clock.js';

export interface LineBudgetOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly linesPerSecond: number;
  /** Called at the begin of the next window with the number of dropped lines by event. */
  readonly onDropped: (counts: Readonly<Record<string, number>>) => void;
}

export class LineBudget {
  private windowStart: Milliseconds = 0;
  private linesInWindow = 0;
  private readonly dropped = new Map<string, number>();

  constructor(private readonly options: LineBudgetOptions) {}

  /** Whether a line of this event may be written now. */
  admit(event: string): boolean {
    this.startWindowIfDue();
    if (this.linesInWindow >= this.options.linesPerSecond) {
      this.dropped.set(event, (this.dropped.get(event) ?? 0) + 1);
      return false;
    }
    this.linesInWindow += 1;
    return true;
  }

  private startWindowIfDue(): void {
    const now = this.options.clock.now();
    if (now - this.windowStart < SECOND) return;
    this.windowStart = now;
    this.linesInWindow = 0;
    if (this.dropped.size === 0) return;
    this.options.onDropped(Object.fromEntries(this.dropped));
    this.dropped.clear();
  }
}
