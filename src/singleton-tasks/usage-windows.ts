/**
 * Numbers the usage windows by the time of day. The time of day may jump for a while, so it is derived
 * from the steady clock and an offset: small drifts are followed at once, jumps only after they have
 * persisted.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';

/** Number of whole windows since the Unix epoch. */
export type WindowNumber = number;

/** A larger change of the offset counts as a jump. */
const MAX_CLOCK_DRIFT: Milliseconds = 250;

/** A jump that persists this long counts as a correction of the clock. */
const JUMP_CONFIRMATION_TIME: Milliseconds = 60_000;

/** Maps times to window numbers. */
export class UsageWindows {
  /** Time of day minus steady time. */
  private offset: Milliseconds;
  private jumpedAt: Milliseconds | undefined;

  constructor(
    private readonly clock: Clock,
    readonly length: Milliseconds,
  ) {
    this.offset = clock.wallTime() - clock.now();
  }

  /** The window that contains a steady time. */
  windowAt(steadyTime: Milliseconds): WindowNumber {
    this.updateOffset();
    return Math.floor((steadyTime + this.offset) / this.length);
  }

  /** The open window. */
  get current(): WindowNumber {
    return this.windowAt(this.clock.now());
  }

  /** Time since a window ended; negative while it is open. */
  timeSinceEnd(window: WindowNumber): Milliseconds {
    this.updateOffset();
    return this.clock.now() + this.offset - (window + 1) * this.length;
  }

  private updateOffset(): void {
    const now = this.clock.now();
    const offset = this.clock.wallTime() - now;
    const isJump = Math.abs(offset - this.offset) > MAX_CLOCK_DRIFT;
    if (!isJump) this.jumpedAt = undefined;
    else this.jumpedAt ??= now;
    if (this.jumpedAt === undefined || now - this.jumpedAt >= JUMP_CONFIRMATION_TIME)
      this.offset = offset;
  }
}
