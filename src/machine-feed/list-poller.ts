/**
 * When a node reads the platform's list by itself: a reader of its zone often, a node that knows
 * no list or no other node now and then, a node that its parents leave alone rarely, others never.
 */
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { MachineFeedEffectList, MachineFeedTiming } from './machine-feed-effects.js';

/** What a node is to the platform's list. */
export type PollerRole = 'seeking' | 'reader' | 'fallback' | 'fed';

const READ_SPREAD = 0.1;
const SEEK_SPREAD = 0.25;
const FALLBACK_SPREAD = 0.5;

/** Starts the reads of one node. */
export class ListPoller {
  private role: PollerRole = 'fed';
  private nextAt: Milliseconds = 0;
  /** When the read that is not answered yet was started. */
  private sentAt: Milliseconds | null = null;

  constructor(
    private readonly random: RandomSource,
    private readonly timing: MachineFeedTiming,
    private readonly effects: MachineFeedEffectList,
  ) {}

  /** Starts a read where one is due. */
  tick(role: PollerRole, now: Milliseconds): void {
    if (role !== this.role) {
      this.role = role;
      this.nextAt = now + this.firstDelay() * this.random.fraction();
    }
    if (role === 'fed' || now < this.nextAt) return;
    this.nextAt = now + this.interval();
    const isPending = this.sentAt !== null && now - this.sentAt < this.timing.readTimeout;
    if (!isPending) this.sentAt = now;
    this.effects.add({ kind: 'poll' });
  }

  /** The answer of a read arrived: the time as of which it surely holds. */
  answered(now: Milliseconds): Milliseconds {
    const asOf = this.sentAt ?? now;
    this.sentAt = null;
    return asOf;
  }

  private firstDelay(): Milliseconds {
    if (this.role === 'seeking') return this.timing.firstReadDelay;
    if (this.role === 'reader') return this.timing.readInterval;
    return this.timing.firstFallbackDelay;
  }

  private interval(): Milliseconds {
    const { readInterval, seekInterval, fallbackInterval } = this.timing;
    if (this.role === 'seeking') return jittered(this.random, seekInterval, SEEK_SPREAD);
    if (this.role === 'fallback') return jittered(this.random, fallbackInterval, FALLBACK_SPREAD);
    return jittered(this.random, readInterval / (1 + READ_SPREAD), READ_SPREAD);
  }
}
