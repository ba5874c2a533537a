/**
 * One node's copy of the machine list and the time as of which it held. The time only orders
 * contents: of two that differ the one that was read later counts.
 */
import type { Milliseconds } from '../core/units.js';
import type { MachineContent } from './machine-content.js';
import type { MachineFeedEffectList } from './machine-feed-effects.js';

/** The copy. */
export class MachineCopy {
  private current: MachineContent | null = null;
  private freshAsOf: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly effects: MachineFeedEffectList) {}

  /** The content; `null` before any was known. */
  get content(): MachineContent | null {
    return this.current;
  }

  /** Time as of which the content surely held, by this node's clock. */
  get asOf(): Milliseconds {
    return this.freshAsOf;
  }

  /** Age of the content; `null` where there is none. */
  age(now: Milliseconds): Milliseconds | null {
    return this.current === null ? null : now - this.freshAsOf;
  }

  /** Whether content that held as of a time would be taken over. */
  isOlderThan(asOf: Milliseconds): boolean {
    return asOf > this.freshAsOf;
  }

  /** Takes over content that held as of a time, unless the copy is newer. */
  take(content: MachineContent, asOf: Milliseconds): void {
    if (!this.isOlderThan(asOf)) return;
    this.freshAsOf = asOf;
    if (content.hash === this.current?.hash) return;
    this.current = content;
    this.effects.add({ kind: 'machines', machines: content.machines });
  }

  /** Notes that the content still held as of a time. */
  noteFresh(asOf: Milliseconds): void {
    this.freshAsOf = Math.max(this.freshAsOf, asOf);
  }
}
