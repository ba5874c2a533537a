/**
 * A job that this node runs: its items, what is made of them, and the results that are listed.
 * Losing the job's head to another node ends the ownership.
 */
import { Subject } from 'rxjs';
import type { Milliseconds } from '../core/units.js';
import type { Clock } from '../serving/clock.js';
import { fitsVersions, type VersionRule } from './item-progress.js';
import type { ItemWork } from './item-work-cache.js';
import { JobListing, type JournaledWork, type OwnershipEnd } from './job-listing.js';
import type { JobOwner, JobResult, JobSpecification, StoredProgress } from './job-records.js';
import type { JobStore, StillWanted, VersionedHead } from './job-store.js';
import { cancelWork, lacksText, newOwnedItem, type OwnedItem } from './owned-item.js';
import { storableProgress } from './value-limits.js';

/** Share of the items still open below which those under way are the longest of the job. */
const LONGEST_SHARE = 0.5;

/**
 * Age of the last confirmation beyond which nothing is sent: an ended job's items may reach workers for
 * 3 s, and a confirmation is due each 1.2 s. A node with an eighth of a core once fell 3.2 s behind.
 */
const MOST_UNCONFIRMED: Milliseconds = 2_000;

/** One job that this node runs. */
export class OwnedJob {
  /** Mean of the guessed lengths of its items; at least 1. */
  readonly meanExpectedLength: number;
  readonly items = new Map<string, OwnedItem>();
  /** Fires when results were listed or the ownership ended. */
  readonly changed = new Subject<void>();
  private readonly listing: JobListing;
  private endReason: OwnershipEnd | undefined;

  constructor(
    readonly spec: JobSpecification,
    head: VersionedHead | undefined,
    listed: readonly JobResult[],
    rule: VersionRule,
    self: JobOwner,
    store: JobStore,
    clock: Clock,
    kept: ReadonlyMap<string, ItemWork> = new Map(),
    journaled: JournaledWork = {},
  ) {
    this.listing = new JobListing({
      ...{ spec, head, listed, journaled, self, store, clock },
      progress: () => storableProgress(this.keptProgress()),
      isOpen: () => this.isOpen,
      close: (reason) => this.close(reason),
      noteChanged: () => this.changed.next(),
    });
    const done = new Set(this.results.map((result) => result.id));
    this.meanExpectedLength = meanLengthOf(spec);
    for (const item of spec.items) {
      if (done.has(item.id)) continue;
      const entry = newOwnedItem(item, rule, this.spec);
      this.items.set(item.id, entry);
      this.takeOver(entry, kept.get(item.id), rule);
    }
    this.listing.resume();
  }

  /** Takes over what was made of an item before, if its weights fit. */
  private takeOver(entry: OwnedItem, kept: ItemWork | undefined, rule: VersionRule): void {
    if (kept?.kind === 'unfinished' && entry.progress.restore(kept.progress)) {
      if (entry.progress.isWhole) this.completeText(entry);
    }
    if (kept?.kind !== 'finished' || !fitsVersions(kept.result.versions, rule)) return;
    this.finish(entry, kept.result);
  }

  /** Whether items of it may be sent to workers. */
  get isOpen(): boolean {
    return this.endReason === undefined;
  }

  /** Whether items are run, or the store still lacks something of it that was told. */
  get isActive(): boolean {
    return this.isOpen || this.listing.isUnsettled;
  }

  /** Why it is no longer run here. */
  get ending(): OwnershipEnd | undefined {
    return this.endReason;
  }

  /** Results listed so far. */
  get results(): readonly JobResult[] {
    return this.listing.results;
  }

  /** All results, also those that are not listed yet. */
  finishedResults(): JobResult[] {
    return [...this.listing.results, ...this.listing.unlisted];
  }

  /** Results that no commit is known to have listed. */
  unlistedResults(): readonly JobResult[] {
    return [...this.listing.unlisted];
  }

  /** The head as this node last saw it; `undefined` while the store has not taken the job. */
  get head(): VersionedHead | undefined {
    return this.listing.head;
  }

  /** Pages of all listed results, as the store has them or will have. */
  get pages(): number {
    return this.listing.pages;
  }

  /** The store has taken the job: results may be listed from now on. */
  attach(head: VersionedHead): void {
    this.listing.attach(head);
  }

  /** The zone's journal has taken the job, and the store not yet: results may be listed. */
  attachByJournal(): void {
    this.listing.attachByJournal();
  }

  /** The job is not this node's after all. */
  abandon(): void {
    this.close('superseded');
  }

  /** Another node has ended the job, which this one could not do. */
  noteEnded(): void {
    this.close('ended-elsewhere');
  }

  /** Whether the job has ended, so that nobody runs it any more. */
  get hasEnded(): boolean {
    return this.endReason === 'ended' || this.endReason === 'ended-elsewhere';
  }

  /** Whether what this node listed is all that was listed, as far as it knows. */
  get mayAnswer(): boolean {
    return this.isOpen || this.endReason === 'finished' || this.endReason === 'ended';
  }

  /** Time since it was last confirmed that the job is this node's. */
  confirmationAge(): Milliseconds {
    return this.listing.confirmationAge();
  }

  /**
   * Whether another node may have ended the job, or taken it over, without this one having heard:
   * nothing more of it is sent then until the head is confirmed.
   */
  get isDoubtful(): boolean {
    return this.confirmationAge() > MOST_UNCONFIRMED;
  }

  /** Items that wait to be sent. */
  waiting(now: Milliseconds): OwnedItem[] {
    return [...this.items.values()].filter(
      (entry) => entry.state === 'waiting' && entry.notBefore <= now,
    );
  }

  /** Whether most items are done and all others are under way. */
  get isClosing(): boolean {
    const open = [...this.items.values()].filter(lacksText);
    const isMostDone = open.length <= this.spec.items.length * LONGEST_SHARE;
    return isMostDone && open.every((entry) => entry.state === 'running');
  }

  /** The text of an item is whole: its result is known, or only its score is missing. */
  completeText(entry: OwnedItem): void {
    entry.progress.markWhole();
    const text = entry.progress.toResult(entry.item.id);
    if (entry.item.scoreRequest === undefined) {
      this.finish(entry, text);
      return;
    }
    entry.state = 'unscored';
    entry.run = undefined;
    entry.text = text;
  }

  /** Takes the result of an item; it is listed with the next commit. */
  finish(entry: OwnedItem, result: JobResult): void {
    if (entry.state === 'done') return;
    entry.state = 'done';
    entry.run = undefined;
    entry.text = undefined;
    entry.scoring = undefined;
    this.listing.add(result);
  }

  /** Does what is due: lists results, or confirms the head. Called often; changes in turn. */
  advance(): void {
    if (this.isOpen) this.listing.advance();
  }

  /** Ends the job for good; resolves with whether that is kept. */
  end(wanted: StillWanted): Promise<boolean> {
    return this.listing.end(wanted);
  }

  /** Whether its end is for this node to keep: it runs the job, or has listed all of it. */
  get mayBeEnded(): boolean {
    return this.isOpen || this.endReason === 'finished';
  }

  /** Gives the job up for another node to take, with what was made of its items. */
  release(wanted: StillWanted): Promise<void> {
    this.stopRuns();
    return this.listing.release(wanted);
  }

  /** Makes sure now that the job is still run here. */
  verifyNow(): Promise<void> {
    return this.listing.verifyNow();
  }

  private close(reason: OwnershipEnd): void {
    if (this.endReason !== undefined) return;
    this.endReason = reason;
    this.stopRuns();
    this.changed.next();
  }

  private stopRuns(): void {
    for (const entry of this.items.values()) cancelWork(entry);
  }

  /** Items whose texts are whole and lack their scores. */
  unscored(): OwnedItem[] {
    return [...this.items.values()].filter((entry) => entry.state === 'unscored');
  }

  /** What was made of unfinished items, so that another node can go on from there. */
  keptProgress(): StoredProgress {
    const kept: StoredProgress = {};
    for (const [id, entry] of this.items) {
      const progress = entry.state === 'done' ? undefined : entry.progress.toKept();
      if (progress !== undefined) kept[id] = progress;
    }
    return kept;
  }
}

function meanLengthOf({ items }: JobSpecification): number {
  const sum = items.reduce((total, item) => total + item.expectedLength, 0);
  return Math.max(1, sum / Math.max(1, items.length));
}
