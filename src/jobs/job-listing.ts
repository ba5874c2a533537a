/**
 * Lists the results of an owned job in order, and records its cancellation. Changes are serialized.
 * Each durable change confirms the ownership; without changes it is verified periodically.
 */
import type { Milliseconds } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { ChangeQueue } from './change-queue.js';
import type { JobOwner, JobResult, JobSpecification, StoredProgress } from './job-records.js';
import type { HeadChange, JobStore, StillNeeded, VersionedHead } from './job-store.js';
import { ListingLog, NO_TERM } from './listing-log.js';
import type { CloseReason, JournalState } from './listing-state.js';
import { ListingWriter } from './listing-writer.js';
import { OwnershipConfirmation } from './ownership-confirmation.js';
import { OwnershipVerification } from './ownership-verification.js';
import { firstPageOf } from './value-limits.js';

/** Minimum interval between two pages of results while many items are open. */
const MIN_LISTING_INTERVAL: Milliseconds = 350;

/** Minimum interval once the job is closing, when the trainer waits for the last groups. */
const MIN_CLOSING_LISTING_INTERVAL: Milliseconds = 120;

/** A job counts as closing when a smaller share of its items than this is open. */
const CLOSING_SHARE = 0.25;

export interface JobListingOptions {
  readonly spec: JobSpecification;
  /** The stored head; `undefined` until the store has the job. */
  readonly head: VersionedHead | undefined;
  /** Results that the store already has. */
  readonly listed: readonly JobResult[];
  readonly journaled: JournalState;
  readonly self: JobOwner;
  readonly store: JobStore;
  readonly clock: Clock;
  /** Progress of unfinished items, limited to what the store accepts. */
  readonly progress: () => StoredProgress;
  /** Whether this node still runs the job. */
  readonly isOpen: () => boolean;
  /** Called when this node stops running the job. */
  readonly close: (reason: CloseReason) => void;
  /** Called after an attempt to list results. */
  readonly onListed: () => void;
}

/** Lists the results of one job. */
export class JobListing {
  /** When the ownership was last confirmed. */
  readonly confirmation: OwnershipConfirmation;
  private readonly listed: JobResult[] = [];
  private pending: JobResult[] = [];
  private readonly writer: ListingWriter;
  /** Number of listed pages. */
  private listedPages: number;
  private lastListingAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private readonly verification: OwnershipVerification;
  /** Whether a cancellation is being stored, and whether it is stored. */
  private isCancelling = false;
  private isCancellationStored = false;
  /** Whether the job is being released, so that a head without an owner is this node's own. */
  private isReleasing = false;
  /** Whether the zone's journal has recorded the job's acceptance. */
  private isAcceptedByJournal = false;
  private readonly changes: ChangeQueue;

  constructor(private readonly options: JobListingOptions) {
    const { spec, head, listed, journaled, store, clock, self } = options;
    const { journal, resumed = [], metrics = new FleetMetrics(), log } = journaled;
    const { ownedSince = suspendAwareTime(clock) } = journaled;
    this.changes = new ChangeQueue(clock);
    this.confirmation = new OwnershipConfirmation(clock, ownedSince);
    const term = journal?.term ?? NO_TERM;
    this.writer = new ListingWriter(
      {
        ...{ job: spec.id, store, clock, journal },
        log: new ListingLog({ job: spec.id, self, term, metrics, log }),
        progress: options.progress,
        isStillNeeded: () => options.isOpen() || this.isCancelling,
        keepsOwnership: (...change) => this.keepsOwnership(...change),
        onHeadChange: (change, sentAt) => this.handleHeadChange(change, sentAt),
      },
      head,
    );
    const pages = resumed.flatMap((change) => (change.kind === 'page' ? [change.results] : []));
    this.listed.push(...listed, ...pages.flat());
    this.listedPages = (head?.head.pages ?? 0) + pages.length;
    this.verification = new OwnershipVerification({
      ...{ job: spec.id, store, clock, writer: this.writer, confirmation: this.confirmation },
      ...{ hasJournal: journal !== undefined, close: options.close },
      isOpen: () => options.isOpen() && !this.isReleasing,
      isOwn: (stored) => this.isOwn(stored),
      onConfirmed: () => journaled.onConfirmed?.(),
    });
  }

  /** Writes an earlier owner's journaled changes to the store; they may include a cancellation. */
  resume(): void {
    const { spec, listed, close } = this.options;
    const { resumed = [] } = this.options.journaled;
    this.writer.resume(resumed, listed.length);
    if (resumed.some(({ kind }) => kind === 'ended')) close('ended');
    else if (this.listed.length >= spec.items.length) close('finished');
  }

  /** Results listed so far. */
  get results(): readonly JobResult[] {
    return this.listed;
  }

  /** Results that are not confirmed as listed. */
  get unlisted(): readonly JobResult[] {
    return this.pending;
  }

  /** Number of listed pages, including those that only the journal has so far. */
  get pages(): number {
    return this.listedPages;
  }

  /** This owner's term in the zone's journal; `undefined` if the job has none. */
  get term(): number | undefined {
    return this.options.journaled.journal?.term;
  }

  /** The head as this node last read or wrote it in the store. */
  get head(): VersionedHead | undefined {
    return this.writer.head;
  }

  /** Whether the store still lacks listed changes. */
  get hasUnstoredChanges(): boolean {
    return this.writer.isPending;
  }

  /** Whether a caller has asked to cancel the job, and that is neither done nor ruled out. */
  get isCancellationUnsettled(): boolean {
    return this.writer.isCancelling || this.confirmation.isCancellationUnsettled;
  }

  /** Queues a result for the next page. */
  add(result: JobResult): void {
    this.pending.push(result);
  }

  /**
   * Enables listing after the store has accepted the job, which may have been cancelled since. The
   * creation was sent at `sentAt`, by `suspendAwareTime`.
   */
  attach(head: VersionedHead, sentAt: Milliseconds): void {
    this.writer.setHead(head);
    if (head.head.ended) this.options.close('ended');
    else this.confirmation.noteByStore(sentAt);
  }

  /** Enables listing after the zone's journal has accepted the job, ahead of the store. */
  attachByJournal(): void {
    this.isAcceptedByJournal = true;
  }

  /** Lists pending results or verifies the ownership, whichever is due. */
  listOrVerify(): void {
    this.verification.readIfDue();
    if (!this.canList || this.changes.isBusy) return;
    const sinceListing = this.options.clock.now() - this.lastListingAt;
    if (this.pending.length > 0 && sinceListing >= this.listingInterval()) {
      void this.changes.run(() => this.list());
    } else if (this.verification.isJournalCheckDue) {
      void this.changes.run(() => this.verification.checkJournal());
    }
  }

  /**
   * Cancels the job; resolves with whether the cancellation is stored. It is queued behind a page
   * that is being written, and proceeds even if the caller stops waiting.
   */
  cancel(isStillNeeded: StillNeeded): Promise<boolean> {
    this.confirmation.noteCancellationRequested();
    const cancellation = this.changes.run(async () => {
      if (!this.canList) return false;
      if (this.isCancellationStored || this.isCancelledInStore) return true;
      this.isCancelling = true;
      this.isCancellationStored = await this.changes.whileNeeded(
        this.writer.cancel(),
        isStillNeeded,
      );
      this.isCancelling = false;
      if (this.isCancellationStored) this.options.close('ended');
      return this.isCancellationStored || this.isCancelledInStore;
    });
    return this.changes.whileNeeded(cancellation, isStillNeeded);
  }

  /** Releases the job for another node, after earlier changes; `isStillNeeded` limits the wait. */
  async release(isStillNeeded: StillNeeded): Promise<void> {
    const { store, spec, progress, isOpen, close } = this.options;
    const releasing = this.changes.run(async () => {
      if (!isOpen()) return;
      while (
        this.pending.length > 0 &&
        (await this.changes.whileNeeded(this.list(), isStillNeeded))
      );
      const { head } = this.writer;
      if (!isOpen() || head === undefined) return;
      this.isReleasing = true;
      if (!this.writer.isPending) {
        const sentAt = this.confirmation.now();
        const released = { owner: null };
        this.handleHeadChange(
          await store.replace(spec.id, head, released, isStillNeeded, progress()),
          sentAt,
        );
      }
      close('released');
    });
    await this.changes.whileNeeded(
      releasing.then(() => true),
      isStillNeeded,
    );
  }

  /** Verifies the ownership without waiting for the verification interval. */
  verifyNow(): Promise<void> {
    return this.changes.run(() => this.verification.verify());
  }

  /** Whether the job is durably stored, so that results may be listed. */
  private get canList(): boolean {
    return this.writer.head !== undefined || this.isAcceptedByJournal;
  }

  private get isCancelledInStore(): boolean {
    return this.writer.head?.head.ended ?? false;
  }

  /** Lists one page of pending results; returns whether it is stored. */
  private async list(): Promise<boolean> {
    const { clock, spec, isOpen, close, onListed } = this.options;
    // Items that finish during the write belong to the next page.
    const pendingCount = this.pending.length;
    const batch = firstPageOf(this.pending);
    if (batch.length === 0 || !isOpen() || !this.canList) return false;
    this.lastListingAt = clock.now();
    const sentAt = this.confirmation.now();
    const isListed = await this.writer.list(batch, this.listed.length);
    if (isListed) {
      this.pending = this.pending.filter((result) => !batch.includes(result));
      this.listed.push(...batch);
      this.listedPages += 1;
      this.confirmation.noteByJournal(sentAt);
      // The results that did not fit into the page are due immediately.
      if (batch.length < pendingCount) this.lastListingAt = Number.NEGATIVE_INFINITY;
      if (this.listed.length >= spec.items.length) close('finished');
    }
    onListed();
    return isListed;
  }

  /**
   * Closes the job if the outcome of a change shows that it was cancelled or superseded, and else
   * confirms what the store had when the change was sent.
   */
  private handleHeadChange(change: HeadChange, sentAt: Milliseconds): void {
    if (change.kind === 'changed') {
      // The store may accept a cancellation after its callers have stopped waiting.
      if (change.current.head.ended) this.options.close('ended');
      else this.confirmation.noteByStore(sentAt);
    }
    if (change.kind !== 'superseded') return;
    // A node that lacks listed results must not answer for the job, even a cancelled one.
    if (!this.keepsOwnership(change)) this.options.close('superseded');
    else if (change.current?.head.ended === true) {
      this.options.close(this.writer.hasUncertainPages ? 'ended-elsewhere' : 'ended');
    }
  }

  /**
   * Whether a head that was changed still names this owner, and the pages it knows and `addedPages`
   * more. Without a term, another instance of this owner may have added them.
   */
  private keepsOwnership(change: HeadChange, addedPages = 0): boolean {
    if (change.kind !== 'superseded' || change.current === undefined) return false;
    const { head } = change.current;
    const known = this.writer.head?.head.pages;
    if (known === undefined || (addedPages > 0 && head.term === undefined)) return false;
    return this.isOwn(head) && head.pages === known + addedPages;
  }

  /**
   * Whether a head names this owner under the same term. This node itself has another term if it has
   * taken the job over again.
   */
  isOwn({ owner, term }: VersionedHead['head']): boolean {
    const { self, journaled } = this.options;
    const known = this.writer.head;
    const ownTerm = known === undefined ? journaled.journal?.term : known.head.term;
    const isSelf = owner?.node === self.node && owner.incarnation === self.incarnation;
    return isSelf && term === ownTerm;
  }

  private listingInterval(): Milliseconds {
    const { length: total } = this.options.spec.items;
    const open = total - this.listed.length - this.pending.length;
    return open <= total * CLOSING_SHARE ? MIN_CLOSING_LISTING_INTERVAL : MIN_LISTING_INTERVAL;
  }
}
