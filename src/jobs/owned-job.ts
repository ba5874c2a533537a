/**
 * A job that this node runs: its items, what is made of them, and the results that are listed.
 * Results are listed through the job's head, one commit at a time; losing that race to another
 * node ends the ownership.
 */
import { Subject } from 'rxjs';
import type { Milliseconds } from '../core/units.js';
import { ageingTime, type Clock } from '../serving/clock.js';
import { fitsVersions, type VersionRule } from './item-progress.js';
import type { JobOwner, JobResult, JobSpecification, KeptProgress } from './job-records.js';
import { isFinished } from './job-records.js';
import type { HeadChange, JobStore, VersionedHead } from './job-store.js';
import type { KeptWork } from './kept-items.js';
import { cancelWork, lacksText, newOwnedItem, type OwnedItem } from './owned-item.js';
import { firstPageOf, storableProgress } from './value-limits.js';

/** Least time between two commits of results, while many items are still open. */
const LISTING_INTERVAL: Milliseconds = 350;

/** The same once the groups that the trainer waits for are nearly whole. */
const CLOSING_LISTING_INTERVAL: Milliseconds = 120;

/** Share of the items still open below which a job counts as closing. */
const CLOSING_SHARE = 0.25;

/** Share of the items still open below which those under way are the longest of the job. */
const LONGEST_SHARE = 0.5;

/** A head that no commit confirmed for this long is read again. */
const VERIFY_INTERVAL: Milliseconds = 1_200;

/** Why a job is no longer run here. */
export type OwnershipEnd = 'finished' | 'ended' | 'superseded' | 'released';

/** One job that this node runs. */
export class OwnedJob {
  /** Mean of the guessed lengths of its items; at least 1. */
  readonly meanExpectedLength: number;
  readonly items = new Map<string, OwnedItem>();
  /** Fires when results were listed or the ownership ended. */
  readonly changed = new Subject<void>();
  private readonly listed: JobResult[] = [];
  private pending: JobResult[] = [];
  private endReason: OwnershipEnd | undefined;
  private queue: Promise<unknown> = Promise.resolve();
  private lastListingAt: Milliseconds = Number.NEGATIVE_INFINITY;
  private confirmedAt: Milliseconds;

  constructor(
    readonly spec: JobSpecification,
    private current: VersionedHead | undefined,
    listed: readonly JobResult[],
    rule: VersionRule,
    private readonly self: JobOwner,
    private readonly store: JobStore,
    private readonly clock: Clock,
    kept: ReadonlyMap<string, KeptWork> = new Map(),
  ) {
    this.listed.push(...listed);
    this.confirmedAt = ageingTime(clock);
    const done = new Set(listed.map((result) => result.id));
    this.meanExpectedLength = meanLengthOf(spec);
    for (const item of spec.items) {
      if (done.has(item.id)) continue;
      const entry = newOwnedItem(item, rule, this.spec);
      this.items.set(item.id, entry);
      this.takeOver(entry, kept.get(item.id), rule);
    }
  }

  /** Takes over what was made of an item before, if its weights fit. */
  private takeOver(entry: OwnedItem, kept: KeptWork | undefined, rule: VersionRule): void {
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

  /** Why it is no longer run here. */
  get ending(): OwnershipEnd | undefined {
    return this.endReason;
  }

  /** Results listed so far. */
  get results(): readonly JobResult[] {
    return this.listed;
  }

  /** All results, also those that are not listed yet. */
  finishedResults(): JobResult[] {
    return [...this.listed, ...this.pending];
  }

  /** Results that no commit is known to have listed. */
  unlistedResults(): readonly JobResult[] {
    return [...this.pending];
  }

  /** The head as this node last saw it; `undefined` while the store has not taken the job. */
  get head(): VersionedHead | undefined {
    return this.current;
  }

  /** The store has taken the job: results may be listed from now on. */
  attach(head: VersionedHead): void {
    this.current = head;
    this.confirmedAt = ageingTime(this.clock);
  }

  /** The job is not this node's after all. */
  abandon(): void {
    this.close('superseded');
  }

  /** Another node has ended the job in the store. */
  noteEnded(): void {
    this.close('ended');
  }

  /** Time since the store last confirmed that the head is the newest. */
  confirmationAge(): Milliseconds {
    return ageingTime(this.clock) - this.confirmedAt;
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
    this.pending.push(result);
  }

  /** Does what is due: lists results, or confirms the head. Called often; commits in turn. */
  advance(): void {
    if (!this.isOpen || this.isBusy || this.current === undefined) return;
    const now = this.clock.now();
    if (this.pending.length > 0 && now - this.lastListingAt >= this.listingInterval()) {
      void this.inTurn(() => this.list());
    } else if (now - this.confirmedAt >= VERIFY_INTERVAL) {
      void this.inTurn(() => this.verify());
    }
  }

  /** Ends the job for good; resolves with whether the store took it. */
  async end(wanted: () => boolean): Promise<boolean> {
    return this.inTurn(async () => {
      if (this.current === undefined) return false;
      if (this.current.head.ended) return true;
      const change = await this.store.replace(this.spec.id, this.current, { ended: true }, wanted);
      this.take(change);
      if (change.kind === 'changed') this.close('ended');
      return this.current.head.ended;
    });
  }

  /** Gives the job up for another node to take, with what was made of its items. */
  async release(wanted: () => boolean): Promise<void> {
    this.stopRuns();
    await this.inTurn(async () => {
      if (!this.isOpen) return;
      while (this.pending.length > 0 && (await this.list(wanted)));
      if (!this.isOpen || this.current === undefined) return;
      const fields = { owner: null };
      const kept = storableProgress(this.keptProgress());
      this.take(await this.store.replace(this.spec.id, this.current, fields, wanted, kept));
      this.close('released');
    });
  }

  /** Asks the store whether the head is still the newest. */
  verifyNow(): Promise<void> {
    return this.inTurn(() => this.verify());
  }

  private isBusy = false;

  private inTurn<Value>(work: () => Promise<Value>): Promise<Value> {
    const turn = this.queue.then(async () => {
      this.isBusy = true;
      try {
        return await work();
      } finally {
        this.isBusy = false;
      }
    });
    this.queue = turn.catch(() => undefined);
    return turn;
  }

  /** Lists what fits into one page; tells whether the store took it. */
  private async list(wanted: () => boolean = () => this.isOpen): Promise<boolean> {
    // A copy: items that finish while the commit is under way belong to the next one.
    const offered = this.pending.length;
    const batch = firstPageOf(this.pending);
    if (batch.length === 0 || !this.isOpen || this.current === undefined) return false;
    const startedAt = this.clock.now();
    this.lastListingAt = startedAt;
    const change = await this.store.append(
      this.spec.id,
      this.current,
      batch,
      storableProgress(this.keptProgress()),
      wanted,
    );
    if (change.kind === 'changed') {
      this.pending = this.pending.filter((result) => !batch.includes(result));
      this.listed.push(...batch);
      this.confirmedAt = startedAt;
      // What did not fit into the page is not made to wait.
      if (batch.length < offered) this.lastListingAt = Number.NEGATIVE_INFINITY;
    }
    this.take(change);
    if (this.current !== undefined && isFinished(this.current.head)) this.close('finished');
    this.changed.next();
    return change.kind === 'changed';
  }

  private async verify(): Promise<void> {
    const startedAt = this.clock.now();
    const read = await this.store.head(this.spec.id);
    if (read.kind === 'unavailable') return;
    if (read.kind === 'absent') return this.close('superseded');
    if (read.value.revision === this.current?.revision) this.confirmedAt = startedAt;
    else this.take({ kind: 'superseded', current: read.value });
  }

  /** Takes over what a change told of the head. */
  private take(change: HeadChange): void {
    if (change.kind === 'unavailable') return;
    if (change.current === undefined) {
      this.close('superseded');
      return;
    }
    const listedElsewhere = change.current.head.pages !== this.current?.head.pages;
    this.current = change.current;
    if (change.kind === 'changed') return;
    const { owner, ended } = change.current.head;
    const isOwn = owner?.node === this.self.node && owner.incarnation === this.self.incarnation;
    // Who does not hold all results must not answer for the job, even where it has ended.
    if (!isOwn || listedElsewhere) this.close('superseded');
    else if (ended) this.close('ended');
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
  keptProgress(): KeptProgress {
    const kept: KeptProgress = {};
    for (const [id, entry] of this.items) {
      const progress = entry.state === 'done' ? undefined : entry.progress.toKept();
      if (progress !== undefined) kept[id] = progress;
    }
    return kept;
  }

  private listingInterval(): Milliseconds {
    const open = this.spec.items.length - this.listed.length - this.pending.length;
    const isClosing = open <= this.spec.items.length * CLOSING_SHARE;
    return isClosing ? CLOSING_LISTING_INTERVAL : LISTING_INTERVAL;
  }
}

function meanLengthOf({ items }: JobSpecification): number {
  const sum = items.reduce((total, item) => total + item.expectedLength, 0);
  return Math.max(1, sum / Math.max(1, items.length));
}
