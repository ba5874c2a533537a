/**
 * A job that this node owns: its items, their progress and the listed results. The ownership ends
 * when another node changes the owner in the job's head.
 */
import { Subject } from 'rxjs';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { fitsVersions, type VersionRule } from './item-progress.js';
import type { ItemWork } from './item-work-cache.js';
import { JobListing } from './job-listing.js';
import type {
  JobHead,
  JobOwner,
  JobResult,
  JobSpecification,
  StoredProgress,
} from './job-records.js';
import type { JobStore, StillNeeded, VersionedHead } from './job-store.js';
import type { CloseReason, JournalState } from './listing-state.js';
import { cancelWork, isTextIncomplete, newOwnedItem, type OwnedItem } from './owned-item.js';
import type { LastConfirmation } from './ownership-confirmation.js';
import { storableProgress } from './value-limits.js';

/** Share of incomplete items below which the remaining runs count as the job's longest. */
const REMAINING_SHARE = 0.5;

/**
 * No items are sent when the store last had the job as not cancelled longer ago than this. Items may
 * reach workers for at most 3 s after the job's cancellation, and the head is read every 1.2 s.
 */
const MAX_CONFIRMATION_AGE: Milliseconds = 2_000;

/** A job that this node owns. */
export class OwnedJob {
  /** Mean expected length of the items in tokens; at least 1. */
  readonly meanExpectedLength: number;
  readonly items = new Map<string, OwnedItem>();
  /** Emits after results are listed and when the job closes. */
  readonly changed = new Subject<void>();
  private readonly listing: JobListing;
  private recordedReason: CloseReason | undefined;

  constructor(
    readonly spec: JobSpecification,
    head: VersionedHead | undefined,
    listed: readonly JobResult[],
    rule: VersionRule,
    self: JobOwner,
    store: JobStore,
    clock: Clock,
    earlierWork: ReadonlyMap<string, ItemWork> = new Map(),
    journaled: JournalState = {},
  ) {
    this.listing = new JobListing({
      ...{ spec, head, listed, journaled, self, store, clock },
      progress: () => storableProgress(this.unfinishedProgress()),
      isOpen: () => this.isOpen,
      close: (reason) => this.close(reason),
      onListed: () => this.changed.next(),
    });
    const listedIds = new Set(this.results.map((result) => result.id));
    this.meanExpectedLength = meanLengthOf(spec);
    for (const item of spec.items) {
      if (listedIds.has(item.id)) continue;
      const entry = newOwnedItem(item, rule, this.spec, clock.now());
      this.items.set(item.id, entry);
      this.restoreWork(entry, earlierWork.get(item.id), rule);
    }
    this.listing.resume();
  }

  /** Restores earlier work on an item if its weight versions fit. */
  private restoreWork(entry: OwnedItem, earlier: ItemWork | undefined, rule: VersionRule): void {
    if (earlier?.kind === 'unfinished' && entry.progress.restore(earlier.progress)) {
      if (entry.progress.isComplete) this.completeText(entry);
    }
    if (earlier?.kind !== 'finished' || !fitsVersions(earlier.result.versions, rule)) return;
    this.finish(entry, earlier.result);
  }

  /** Whether this node runs the job's items. */
  get isOpen(): boolean {
    return this.recordedReason === undefined;
  }

  /** Whether this node runs items or still has listed changes to store. */
  get isActive(): boolean {
    return this.isOpen || this.listing.hasUnstoredChanges;
  }

  /** Why this node no longer runs the job; `undefined` while it does. */
  get closeReason(): CloseReason | undefined {
    return this.recordedReason;
  }

  /** Results listed so far. */
  get results(): readonly JobResult[] {
    return this.listing.results;
  }

  /** All results, including unlisted ones. */
  finishedResults(): JobResult[] {
    return [...this.listing.results, ...this.listing.unlisted];
  }

  /** Results that are not confirmed as listed. */
  unlistedResults(): readonly JobResult[] {
    return [...this.listing.unlisted];
  }

  /** The last known head; `undefined` until the store has the job. */
  get head(): VersionedHead | undefined {
    return this.listing.head;
  }

  /** Number of listed pages, including those that only the journal has so far. */
  get pages(): number {
    return this.listing.pages;
  }

  /** This owner's term in the zone's journal; `undefined` if the job has none. */
  get term(): number | undefined {
    return this.listing.term;
  }

  /** Whether a head names this owner under the term of this job. */
  isOwn(head: JobHead): boolean {
    return this.listing.isOwn(head);
  }

  /** Enables listing after the store has accepted the job, whose creation was sent at `sentAt`. */
  attach(head: VersionedHead, sentAt: Milliseconds): void {
    this.listing.attach(head, sentAt);
  }

  /** Enables listing after the zone's journal has accepted the job, ahead of the store. */
  attachByJournal(): void {
    this.listing.attachByJournal();
  }

  /** Closes a job that this node does not own, or no longer owns. */
  abandon(): void {
    this.close('superseded');
  }

  /** Closes the job after another node has cancelled it for this one. */
  noteCancelledElsewhere(): void {
    this.close('ended-elsewhere');
  }

  get isCancelled(): boolean {
    return this.recordedReason === 'ended' || this.recordedReason === 'ended-elsewhere';
  }

  /** Whether this node has all listed results, as far as it knows. */
  get canAnswer(): boolean {
    return this.isOpen || this.recordedReason === 'finished' || this.recordedReason === 'ended';
  }

  /** Time since it was last confirmed that no other node owned the job. */
  ownershipAge(): Milliseconds {
    return this.listing.confirmation.ownershipAge();
  }

  lastConfirmation(): LastConfirmation {
    return this.listing.confirmation.last();
  }

  /**
   * Whether another node may have cancelled the job unnoticed. No items are sent until the store
   * confirms that none has.
   */
  get isUnconfirmed(): boolean {
    return this.listing.confirmation.uncancelledAge() > MAX_CONFIRMATION_AGE;
  }

  /**
   * Whether a caller has asked to cancel the job and its outcome is not known. No items are sent then,
   * even while the store is unreachable, because this node or another may yet store the cancellation.
   */
  get isCancellationUnsettled(): boolean {
    return this.listing.isCancellationUnsettled;
  }

  /** Called if this node does not carry out a cancellation that a caller asked for. */
  noteCancellationRequested(): void {
    this.listing.confirmation.noteCancellationRequested();
  }

  /** Items that may be sent now. */
  waiting(now: Milliseconds): OwnedItem[] {
    return [...this.items.values()].filter(
      (entry) => entry.state === 'waiting' && entry.notBefore <= now,
    );
  }

  /** Whether most texts are complete and all others are running. */
  get isClosing(): boolean {
    const incomplete = [...this.items.values()].filter(isTextIncomplete);
    const areMostComplete = incomplete.length <= this.spec.items.length * REMAINING_SHARE;
    return areMostComplete && incomplete.every((entry) => entry.state === 'running');
  }

  /** Finishes an item whose text is complete, or marks it as unscored. */
  completeText(entry: OwnedItem): void {
    entry.progress.markComplete();
    const unscoredResult = entry.progress.toResult(entry.item.id);
    if (entry.item.scoreRequest === undefined) {
      this.finish(entry, unscoredResult);
      return;
    }
    entry.state = 'unscored';
    entry.run = undefined;
    entry.text = unscoredResult;
  }

  /** Sets the result of an item and queues it for listing. */
  finish(entry: OwnedItem, result: JobResult): void {
    if (entry.state === 'done') return;
    entry.state = 'done';
    entry.run = undefined;
    entry.text = undefined;
    entry.scoring = undefined;
    this.listing.add(result);
  }

  /** Lists pending results or verifies the ownership, whichever is due. */
  listOrVerify(): void {
    if (this.isOpen) this.listing.listOrVerify();
  }

  /** Cancels the job; resolves with whether the cancellation is stored. */
  cancel(isStillNeeded: StillNeeded): Promise<boolean> {
    return this.listing.cancel(isStillNeeded);
  }

  /** Whether this node can cancel the job: it runs the job, or has listed all results. */
  get canCancel(): boolean {
    return this.isOpen || this.recordedReason === 'finished';
  }

  /** Stops all runs and releases the job, with the progress of its items, for another node. */
  release(isStillNeeded: StillNeeded): Promise<void> {
    this.stopRuns();
    return this.listing.release(isStillNeeded);
  }

  /** Verifies the ownership without waiting for the verification interval. */
  verifyNow(): Promise<void> {
    return this.listing.verifyNow();
  }

  private close(reason: CloseReason): void {
    if (this.recordedReason !== undefined) return;
    this.recordedReason = reason;
    this.stopRuns();
    this.changed.next();
  }

  private stopRuns(): void {
    for (const entry of this.items.values()) cancelWork(entry);
  }

  /** Items whose texts are complete and lack their scores. */
  unscored(): OwnedItem[] {
    return [...this.items.values()].filter((entry) => entry.state === 'unscored');
  }

  /** Progress of unfinished items, from which another node can continue. */
  unfinishedProgress(): StoredProgress {
    const unfinished: StoredProgress = {};
    for (const [id, entry] of this.items) {
      const progress = entry.state === 'done' ? undefined : entry.progress.toStored();
      if (progress !== undefined) unfinished[id] = progress;
    }
    return unfinished;
  }
}

function meanLengthOf({ items }: JobSpecification): number {
  const sum = items.reduce((total, item) => total + item.expectedLength, 0);
  return Math.max(1, sum / Math.max(1, items.length));
}
