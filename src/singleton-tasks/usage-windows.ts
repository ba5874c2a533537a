/**
 * Numbers the windows of usage by true time. Clocks of machines may jump by seconds for a while, so
 * the time of day is anchored to the steady clock: a small difference is followed, a jump only once
 * it has lasted.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';

/** Number of a window since 1970. */
export type WindowNumber = number;

/** A difference beyond this since the last look is a jump; clocks of machines differ by less. */
const LARGEST_DRIFT: Milliseconds = 250;

/** A jump that has lasted this long is taken for the correction of a clock that was wrong. */
const JUMP_TRUST_TIME: Milliseconds = 60_000;

/** Finds the window of a moment. */
export class UsageWindows {
  /** Time of day less steady time. */
  private offset: Milliseconds;
  private jumpedAt: Milliseconds | undefined;

  constructor(
    private readonly clock: Clock,
    /** Length of a window. */
    readonly length: Milliseconds,
  ) {
    this.offset = clock.wallTime() - clock.now();
  }

  /** The window that a steady time lies in. */
  windowAt(steadyTime: Milliseconds): WindowNumber {
    this.follow();
    return Math.floor((steadyTime + this.offset) / this.length);
  }

  /** The window that is open now. */
  get current(): WindowNumber {
    return this.windowAt(this.clock.now());
  }

  /** Time since a window ended; negative while it is open. */
  timeSinceEnd(window: WindowNumber): Milliseconds {
    this.follow();
    return this.clock.now() + this.offset - (window + 1) * this.length;
  }

  private follow(): void {
    const now = this.clock.now();
    const offset = this.clock.wallTime() - now;
    const isJump = Math.abs(offset - this.offset) > LARGEST_DRIFT;
    if (!isJump) this.jumpedAt = undefined;
    else this.jumpedAt ??= now;
    if (this.jumpedAt === undefined || now - this.jumpedAt >= JUMP_TRUST_TIME) this.offset = offset;
  }
}
