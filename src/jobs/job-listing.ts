/**
 * The results of a job that this node runs, in the order in which they are told, and the job's end.
 * Changes are made one at a time. Each that is kept shows that the job is still this node's; where
 * nothing changes, that is asked for.
 */
import type { Milliseconds } from '../core/units.js';
import type { JobJournal } from '../journal/job-journal.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobOwner, JobResult, JobSpecification, StoredProgress } from './job-records.js';
import type { HeadChange, JobStore, StillWanted, VersionedHead } from './job-store.js';
import { JOURNAL_DELAY, type ListingChange, ListingWriter } from './listing-writer.js';
import { firstPageOf } from './value-limits.js';

/** Least time between two pages of results, while many items are still open. */
const LISTING_INTERVAL: Milliseconds = 350;

/** The same once the groups that the trainer waits for are nearly whole. */
const CLOSING_LISTING_INTERVAL: Milliseconds = 120;

/** Share of the items still open below which a job counts as closing. */
const CLOSING_SHARE = 0.25;

/** A job that nothing confirmed for this long is asked for. */
const VERIFY_INTERVAL: Milliseconds = 1_200;

/** Time for which an end or a release is waited for at least, in steps. */
const LEAST_PATIENCE_STEPS = 10;
const PATIENCE_STEP: Milliseconds = 50;

/**
 * Why a job is no longer run here. `ended-elsewhere`: another node was told to end it, as this one did
 * not reach the store; somebody else may have listed more of it meanwhile.
 */
export type OwnershipEnd = 'finished' | 'ended' | 'ended-elsewhere' | 'superseded' | 'released';

/** What a job has in its zone's journal. */
export interface JournaledWork {
  /** The journal as this owner writes it; `undefined` where the job has none. */
  readonly journal?: JobJournal | undefined;
  /** Changes that the journal kept for an earlier owner and the store lacks. */
  readonly resumed?: readonly ListingChange[];
  readonly metrics?: FleetMetrics;
}

/** Options of {@link JobListing}. */
export interface JobListingOptions {
  readonly spec: JobSpecification;
  /** The head in the store; `undefined` while the store has not taken the job. */
  readonly head: VersionedHead | undefined;
  /** Results that the store has. */
  readonly listed: readonly JobResult[];
  readonly journaled: JournaledWork;
  readonly self: JobOwner;
  readonly store: JobStore;
  readonly clock: Clock;
  /** What was made of unfinished items, as much as the store holds. */
  readonly progress: () => StoredProgress;
  /** Whether the job is still run here. */
  readonly isOpen: () => boolean;
  /** The job is no longer run here, for this reason. */
  readonly close: (reason: OwnershipEnd) => void;
  /** Results were listed, or could not be. */
  readonly noteChanged: () => void;
}

/** Lists the results of one job. */
export class JobListing {
  private readonly listed: JobResult[] = [];
  private pending: JobResult[] = [];
  private readonly writer: ListingWriter;
  /** Pages whose results are all listed. */
  private listedPages: number;
  private lastListingAt: Milliseconds = Number.NEGATIVE_INFINITY;
  /** By {@link suspendAwareTime}, as others may act while this machine is suspended. */
  private confirmedAt: Milliseconds;
  /** Whether an end is on its way, and whether one is kept. */
  private isEnding = false;
  private isEndKept = false;
  /** Whether the zone's journal keeps that the job was taken in. */
  private isKeptByJournal = false;
  private queue: Promise<unknown> = Promise.resolve();
  private isInTurn = false;

  constructor(private readonly options: JobListingOptions) {
    const { spec, head, listed, journaled, store, clock } = options;
    const { journal, resumed = [], metrics = new FleetMetrics() } = journaled;
    this.writer = new ListingWriter(
      {
        ...{ job: spec.id, store, clock, journal, metrics },
        progress: options.progress,
        isWanted: () => options.isOpen() || this.isEnding,
        isOwnChange: (change) => this.isOwnChange(change),
        noteHead: (change) => this.noteHead(change),
      },
      head,
    );
    const pages = resumed.flatMap((change) => (change.kind === 'page' ? [change.results] : []));
    this.listed.push(...listed, ...pages.flat());
    this.listedPages = (head?.head.pages ?? 0) + pages.length;
    this.confirmedAt = suspendAwareTime(clock);
  }

  /** Sends on what the journal kept for an earlier owner; that may have ended the job. */
  resume(): void {
    const { resumed = [] } = this.options.journaled;
    this.writer.resume(resumed);
    if (resumed.some(({ kind }) => kind === 'ended')) this.options.close('ended');
  }

  /** Results listed so far. */
  get results(): readonly JobResult[] {
    return this.listed;
  }

  /** Results that are not known to be listed. */
  get unlisted(): readonly JobResult[] {
    return this.pending;
  }

  /** Pages of all listed results, as the store has them or will have. */
  get pages(): number {
    return this.listedPages;
  }

  /** The head as this node last saw it in the store. */
  get head(): VersionedHead | undefined {
    return this.writer.head;
  }

  /** Whether the store still lacks something that was told. */
  get isUnsettled(): boolean {
    return this.writer.isBusy;
  }

  /** Time since it was last confirmed that the job is this node's. */
  confirmationAge(): Milliseconds {
    return suspendAwareTime(this.options.clock) - this.confirmedAt;
  }

  /** Takes a result; it is listed with the next page. */
  add(result: JobResult): void {
    this.pending.push(result);
  }

  /** The store has taken the job: results may be listed from now on. */
  attach(head: VersionedHead): void {
    this.writer.take(head);
    this.confirmedAt = suspendAwareTime(this.options.clock);
  }

  /** The zone's journal has taken the job, and the store not yet: results may be listed. */
  attachByJournal(): void {
    this.isKeptByJournal = true;
    this.confirmedAt = suspendAwareTime(this.options.clock);
  }

  /** Does what is due: lists results, or confirms the job. Called often. */
  advance(): void {
    if (this.isInTurn || !this.mayList) return;
    const sinceListing = this.options.clock.now() - this.lastListingAt;
    if (this.pending.length > 0 && sinceListing >= this.listingInterval()) {
      void this.inTurn(() => this.list());
    } else if (this.confirmationAge() >= VERIFY_INTERVAL) {
      void this.inTurn(() => this.verify());
    }
  }

  /**
   * Ends the job for good; resolves with whether that is kept. A page that the store does not take
   * may hold the turn: the end is then made after it, whoever waits.
   */
  end(wanted: StillWanted): Promise<boolean> {
    const ending = this.inTurn(async () => {
      if (!this.mayList) return false;
      if (this.isEndKept || this.isEndedInStore) return true;
      this.isEnding = true;
      this.isEndKept = await this.whileWanted(this.writer.end(), wanted);
      this.isEnding = false;
      if (this.isEndKept) this.options.close('ended');
      return this.isEndKept || this.isEndedInStore;
    });
    return this.whileWanted(ending, wanted);
  }

  /** Gives the job up for another node to take, if its turn comes in time. */
  async release(wanted: StillWanted): Promise<void> {
    const { store, spec, progress, isOpen, close } = this.options;
    const releasing = this.inTurn(async () => {
      if (!isOpen()) return;
      while (this.pending.length > 0 && (await this.whileWanted(this.list(), wanted)));
      const { head } = this.writer;
      if (!isOpen() || head === undefined) return;
      if (!this.writer.isBusy) {
        this.noteHead(await store.replace(spec.id, head, { owner: null }, wanted, progress()));
      }
      close('released');
    });
    await this.whileWanted(
      releasing.then(() => true),
      wanted,
    );
  }

  /** Makes sure now that the job is still run here. */
  verifyNow(): Promise<void> {
    return this.inTurn(() => this.verify());
  }

  /** Whether the job is kept, so that its results may be told. */
  private get mayList(): boolean {
    return this.writer.head !== undefined || this.isKeptByJournal;
  }

  private get isEndedInStore(): boolean {
    return this.writer.head?.head.ended ?? false;
  }

  private inTurn<Value>(work: () => Promise<Value>): Promise<Value> {
    const turn = this.queue.then(async () => {
      this.isInTurn = true;
      try {
        return await work();
      } finally {
        this.isInTurn = false;
      }
    });
    // A failed turn is told to who asked for it; the next one is not its concern.
    this.queue = turn.catch(() => undefined);
    return turn;
  }

  /** Waits for a change while it is wanted, and a moment at least; false where it has not held then. */
  private async whileWanted(change: Promise<boolean>, wanted: StillWanted): Promise<boolean> {
    let holds: boolean | undefined;
    void change.then((value) => {
      holds = value;
    });
    for (let step = 0; step < LEAST_PATIENCE_STEPS || wanted(); step += 1) {
      await Promise.race([change, this.options.clock.sleep(PATIENCE_STEP)]);
      if (holds !== undefined) return holds;
    }
    return false;
  }

  /** Lists what fits into one page; tells whether that is kept. */
  private async list(): Promise<boolean> {
    const { clock, spec, isOpen, close, noteChanged } = this.options;
    // A copy: items that finish while the change is under way belong to the next one.
    const offered = this.pending.length;
    const batch = firstPageOf(this.pending);
    if (batch.length === 0 || !isOpen() || !this.mayList) return false;
    this.lastListingAt = clock.now();
    const startedAt = suspendAwareTime(clock);
    const isListed = await this.writer.list(batch);
    if (isListed) {
      this.pending = this.pending.filter((result) => !batch.includes(result));
      this.listed.push(...batch);
      this.listedPages += 1;
      this.confirmedAt = startedAt;
      // What did not fit into the page is not made to wait.
      if (batch.length < offered) this.lastListingAt = Number.NEGATIVE_INFINITY;
      if (this.listed.length >= spec.items.length) close('finished');
    }
    noteChanged();
    return isListed;
  }

  /** Makes sure, by the store or while that is silent by the journal, that the job is still run here. */
  private async verify(): Promise<void> {
    const { clock, journaled, isOpen } = this.options;
    const startedAt = suspendAwareTime(clock);
    const byStore = this.writer.isBusy ? undefined : this.verifyAtStore(startedAt);
    if (journaled.journal === undefined) return byStore;
    await Promise.race([byStore, clock.sleep(byStore === undefined ? 0 : JOURNAL_DELAY)]);
    if (this.confirmedAt >= startedAt || !isOpen()) return;
    if (await this.writer.isConfirmedByJournal()) this.confirmedAt = startedAt;
  }

  private async verifyAtStore(startedAt: Milliseconds): Promise<void> {
    const { store, spec, close } = this.options;
    const known = this.writer.head;
    const read = await store.head(spec.id);
    if (read.kind === 'unavailable' || this.writer.head !== known || this.writer.isBusy) return;
    if (read.kind === 'absent') {
      if (known !== undefined) close('superseded');
      return;
    }
    if (read.value.revision === known?.revision) this.confirmedAt = startedAt;
    else this.noteHead({ kind: 'superseded', current: read.value });
  }

  /** Acts on what a change told of the head. */
  private noteHead(change: HeadChange): void {
    // The store may take an end after all who waited for it have left.
    if (change.kind === 'changed' && change.current.head.ended) this.options.close('ended');
    if (change.kind !== 'superseded') return;
    // Who does not hold all results must not answer for the job, even where it has ended.
    if (!this.isOwnChange(change)) this.options.close('superseded');
    else if (change.current?.head.ended === true) this.options.close('ended');
  }

  /** Whether a head that another node changed still names this one, with the pages that it knows. */
  private isOwnChange(change: HeadChange): boolean {
    if (change.kind !== 'superseded' || change.current === undefined) return false;
    const { self } = this.options;
    const { owner, pages } = change.current.head;
    const isOwn = owner?.node === self.node && owner.incarnation === self.incarnation;
    return isOwn && pages === this.writer.head?.head.pages;
  }

  private listingInterval(): Milliseconds {
    const { length: total } = this.options.spec.items;
    const open = total - this.listed.length - this.pending.length;
    return open <= total * CLOSING_SHARE ? CLOSING_LISTING_INTERVAL : LISTING_INTERVAL;
  }
}
