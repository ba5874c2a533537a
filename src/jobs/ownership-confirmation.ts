/**
 * When this node's ownership of a job was last confirmed. A confirmation counts only for what its
 * source records:
 * - The store records owners and cancellations.
 * - The zone's journal records which node has claimed the job. A cancellation that another node
 *   commits to the store leaves no trace in it.
 *
 * A confirmation dates from the moment at which its read or commit was sent.
 */
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';

/** The last confirmation of an ownership. */
export interface LastConfirmation {
  /** Which of the two confirmed last that no other node owned the job. */
  readonly ownedBy: 'store' | 'journal';
  /** Time since then. */
  readonly ownedMs: Milliseconds;
  /** Time since the store had the job uncancelled. */
  readonly uncancelledMs: Milliseconds;
}

export class OwnershipConfirmation {
  private ownedAt: Milliseconds;
  private uncancelledAt: Milliseconds;
  /** When a caller last asked to cancel the job. */
  private cancellationRequestedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** `confirmedAt` is when the commit that made this node the owner was sent. */
  constructor(
    private readonly clock: Pick<Clock, 'now' | 'suspendedTime'>,
    confirmedAt: Milliseconds,
  ) {
    this.ownedAt = confirmedAt;
    this.uncancelledAt = confirmedAt;
  }

  /** By {@link suspendAwareTime}, because other nodes may act while this machine is suspended. */
  now(): Milliseconds {
    return suspendAwareTime(this.clock);
  }

  /** Time since no other node owned the job, by the store or the journal. */
  ownershipAge(): Milliseconds {
    return this.now() - this.ownedAt;
  }

  /** Time since the store had the job with this owner and not cancelled. */
  uncancelledAge(): Milliseconds {
    return this.now() - this.uncancelledAt;
  }

  /** Whether the store had the job uncancelled at a time or later. */
  isConfirmedSince(at: Milliseconds): boolean {
    return this.uncancelledAt >= at;
  }

  last(): LastConfirmation {
    const ownedBy = this.ownedAt > this.uncancelledAt ? 'journal' : 'store';
    return { ownedBy, ownedMs: this.ownershipAge(), uncancelledMs: this.uncancelledAge() };
  }

  /** Whether a caller has asked to cancel the job, and the store has not had it uncancelled since. */
  get isCancellationUnsettled(): boolean {
    return this.cancellationRequestedAt > this.uncancelledAt;
  }

  /** A caller asked to cancel the job; another node may do so if this one does not. */
  noteCancellationRequested(): void {
    this.cancellationRequestedAt = this.now();
  }

  /** The store had the job with this owner and not cancelled at a time. */
  noteByStore(at: Milliseconds): void {
    this.noteByJournal(at);
    this.noteUncancelled(at);
  }

  /** The journal had no claim of another node at a time, or has stored a change since. */
  noteByJournal(at: Milliseconds): void {
    this.ownedAt = Math.max(this.ownedAt, at);
  }

  /** The store had the job as not cancelled, or did not have it yet, at a time. */
  noteUncancelled(at: Milliseconds): void {
    this.uncancelledAt = Math.max(this.uncancelledAt, at);
  }
}
