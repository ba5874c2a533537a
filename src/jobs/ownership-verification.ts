/**
 * Verifies that this node owns a job and that no other node has cancelled it: at the store, and at
 * the zone's journal as far as that records it.
 */
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { ABSENT } from '../shared-store/shared-store.js';
import type { JobHead } from './job-records.js';
import type { JobStore, VersionedHead } from './job-store.js';
import type { CloseReason } from './listing-state.js';
import { JOURNAL_DELAY, JOURNAL_RETRY_DELAY, type ListingWriter } from './listing-writer.js';
import type { OwnershipConfirmation } from './ownership-confirmation.js';

/** The ownership is verified again when its last confirmation is older than this. */
const VERIFY_INTERVAL: Milliseconds = 1_200;

/** Interval of reads after a failed one: some before items are held back, then fewer. */
const RETRY_INTERVAL: Milliseconds = 300;
const OUTAGE_RETRY_INTERVAL: Milliseconds = 900;

export interface OwnershipVerificationOptions {
  readonly job: string;
  readonly store: JobStore;
  readonly clock: Pick<Clock, 'now' | 'sleep'>;
  readonly confirmation: OwnershipConfirmation;
  readonly writer: Pick<
    ListingWriter,
    'head' | 'isPending' | 'hasUncertainPages' | 'isConfirmedByJournal'
  >;
  /** Whether the job has a journal. */
  readonly hasJournal: boolean;
  /** Whether a head names this owner under its term. */
  readonly isOwn: (head: JobHead) => boolean;
  /** Whether this node still runs the job. */
  readonly isOpen: () => boolean;
  /** Called when a read has confirmed that the job is not cancelled. */
  readonly onConfirmed: () => void;
  /** Called if this node no longer owns the job, or the job was cancelled. */
  readonly close: (reason: CloseReason) => void;
}

export class OwnershipVerification {
  private isReading = false;
  private nextReadAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private nextJournalCheckAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: OwnershipVerificationOptions) {}

  /**
   * Reads the head if its last confirmation is old. The read does not wait for changes, because a
   * commit may hang while reads are answered.
   */
  readIfDue(): void {
    const { clock, confirmation } = this.options;
    const age = confirmation.uncancelledAge();
    if (age < VERIFY_INTERVAL || this.isReading || clock.now() < this.nextReadAt) return;
    this.isReading = true;
    const isOutage = Number.isFinite(age) && age >= 2 * VERIFY_INTERVAL;
    this.nextReadAt = clock.now() + (isOutage ? OUTAGE_RETRY_INTERVAL : RETRY_INTERVAL);
    void this.readHead().finally(() => {
      this.isReading = false;
    });
  }

  /** Whether the journal should confirm the ownership, because the store has not for a while. */
  get isJournalCheckDue(): boolean {
    const { hasJournal, clock, confirmation } = this.options;
    const isDue = confirmation.ownershipAge() >= VERIFY_INTERVAL + JOURNAL_DELAY;
    return hasJournal && isDue && clock.now() >= this.nextJournalCheckAt;
  }

  /** Confirms at the journal that no other node owns the job. */
  async checkJournal(): Promise<void> {
    const { clock, confirmation, writer } = this.options;
    const sentAt = confirmation.now();
    this.nextJournalCheckAt = clock.now() + JOURNAL_RETRY_DELAY;
    if (await writer.isConfirmedByJournal()) confirmation.noteByJournal(sentAt);
  }

  /** Confirms the ownership at the store or, while that does not answer, at the journal. */
  async verify(): Promise<void> {
    const { clock, confirmation, writer, hasJournal, isOpen } = this.options;
    const startedAt = confirmation.now();
    const byStore = writer.isPending ? undefined : this.readHead();
    if (!hasJournal) return byStore;
    await Promise.race([byStore, clock.sleep(byStore === undefined ? 0 : JOURNAL_DELAY)]);
    const isConfirmed = confirmation.ownershipAge() <= confirmation.now() - startedAt;
    if (!isConfirmed && isOpen()) await this.checkJournal();
  }

  private async readHead(): Promise<void> {
    const { store, job, writer, confirmation, isOpen, close, onConfirmed } = this.options;
    const sentAt = confirmation.now();
    const known = writer.head;
    const read = await store.head(job);
    if (read.kind === 'unavailable' || !isOpen()) return;
    const isUnchanged = known !== undefined && writer.head === known && !writer.isPending;
    if (read.kind === 'found') this.handleHead(read.value, isUnchanged, sentAt);
    // A job that the store does not have yet is not cancelled there, unless its end was marked.
    else if (known === undefined) {
      const mark = await store.endMarks.read(job);
      if (mark?.revision === ABSENT) confirmation.noteUncancelled(sentAt);
    } else if (isUnchanged) close('superseded');
    if (confirmation.isConfirmedSince(sentAt)) onConfirmed();
  }

  /**
   * Handles a head as read. Unless this node's head `isUnchanged` since the read was sent and nothing
   * is to be written, the head may be that of a commit without an answer, such as the job's creation.
   */
  private handleHead(found: VersionedHead, isUnchanged: boolean, sentAt: Milliseconds): void {
    const { writer, confirmation, isOwn, close } = this.options;
    const { head, revision } = found;
    const hasKnownPages = head.pages === writer.head?.head.pages;
    if (!isOwn(head) || (isUnchanged && !hasKnownPages)) {
      close('superseded');
    } else if (head.ended) {
      const isComplete = hasKnownPages && !writer.hasUncertainPages;
      close(isComplete ? 'ended' : 'ended-elsewhere');
    } else if (isUnchanged && revision === writer.head?.revision) {
      confirmation.noteByStore(sentAt);
    } else confirmation.noteUncancelled(sentAt);
  }
}
