/**
 * Acquires the right of this zone to accept the jobs of a trainer, and caches it. The zone that the
 * trainer's record names accepts them by the store or by its journal. Another zone fences that zone's
 * journal first; the commit that creates its job then replaces the zone in the record.
 *
 * While the zone stays the same, the right costs no call to the store: the creation of a job checks it.
 */
import type { Milliseconds, Revision } from '../core/units.js';
import type { AppendOutcome } from '../journal/job-journal.js';
import { RIGHT_RETENTION } from '../journal/journal-entries.js';
import { FIRST_TERM, type ZoneJournals } from '../journal/zone-journals.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import { ABSENT } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobSpecification } from './job-records.js';
import type { CreationOutcome, JobStore, StillNeeded, VersionedHead } from './job-store.js';
import { changeOfJournaled } from './trainer-changes.js';
import {
  NO_STEP,
  type TrainerChange,
  type TrainerKey,
  type TrainerRecord,
  trainerKeyOf,
  type VersionedTrainerRecord,
  withAcceptedJob,
  withJournaledJobs,
  withOutsideJob,
  zoneHolding,
} from './trainer-record.js';

/**
 * Time for the store and the fenced replicas to answer. Long enough for journal replicas to start
 * after a full restart; a zone partition is not waited out.
 */
const ACQUISITION_TIMEOUT: Milliseconds = 3_000;
const ACQUISITION_RETRY_DELAY: Milliseconds = 200;

/**
 * Age of the last confirmation up to which a right is used without reading the record again. Replicas
 * retain a fence for longer, so that a right which was lost meanwhile is not confirmed.
 */
const MAX_CONFIRMATION_AGE: Milliseconds = RIGHT_RETENTION / 2;

/** The same while replicas of older builds may run, which retain a fence as long as a job. */
const MAX_CONFIRMATION_AGE_BESIDE_OLDER_BUILDS: Milliseconds = 45_000;

export interface TrainerHomesOptions {
  readonly store: JobStore;
  readonly journals: ZoneJournals;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
  /** Whether no build without trainer records may be running. @default none is */
  readonly areTrainerRecordsUsedByAll?: () => boolean;
}

/** The right of this zone to accept a trainer's jobs. */
export interface AcceptanceRight {
  readonly kind: 'held';
  readonly key: TrainerKey;
  readonly record: TrainerRecord;
  /** Revision of the record in the store that a creation replaces. */
  readonly revision: Revision;
  /** Whether the store's record names this zone already; otherwise the next creation makes it. */
  readonly isStored: boolean;
}

export type Acquisition =
  | AcceptanceRight
  /** The store has the job. */
  | { readonly kind: 'exists'; readonly head: VersionedHead }
  /** A journal may hold the job; only its owner or a recovery may store it. */
  | { readonly kind: 'journaled' }
  /** The store or the present zone's replicas did not answer. */
  | { readonly kind: 'unavailable' };

interface CachedHome extends VersionedTrainerRecord {
  /** When the record was last read or changed, by {@link suspendAwareTime}. */
  confirmedAt: Milliseconds;
}

/** Rights of this zone, by trainer. */
export class TrainerHomes {
  private readonly homes = new Map<TrainerKey, CachedHome>();
  /** Terms of this zone that another zone has fenced without replacing the record. */
  private readonly fencedTerms = new Map<TrainerKey, number>();

  constructor(private readonly options: TrainerHomesOptions) {}

  /** Discards all cached rights; they are read again from the store. */
  clear(): void {
    this.homes.clear();
  }

  /** Acquires the right to accept a job, from the cache or from the present zone. */
  async acquire(spec: JobSpecification, isStillNeeded: StillNeeded): Promise<Acquisition> {
    const { clock } = this.options;
    const key = trainerKeyOf(spec);
    const cached = this.cachedRight(key, spec);
    if (cached !== undefined && !this.hasToMove(key)) return cached;
    const limit = clock.now() + ACQUISITION_TIMEOUT;
    for (;;) {
      const acquisition = await this.acquireFromStore(key, spec);
      if (acquisition.kind !== 'unavailable') return acquisition;
      // Replicas whose records expired may still answer, and decide whether the right holds.
      if (cached !== undefined) return cached;
      if (!isStillNeeded() || clock.now() >= limit) return acquisition;
      await clock.sleep(ACQUISITION_RETRY_DELAY);
    }
  }

  /** Whether a job may be accepted by the journal alone, once its replicas confirm the right. */
  mayAcceptByJournal({ key, record, isStored }: AcceptanceRight, spec: JobSpecification): boolean {
    if (!isStored || record.replicas.length === 0 || this.isFenced(key, record)) return false;
    if (!this.areRecordsUsedByAll || record.isComplete !== true) return false;
    return spec.step > record.lastStep;
  }

  /** Whether the replicas confirm that no other zone has fenced the right. */
  async confirm({ key, record }: AcceptanceRight): Promise<AppendOutcome> {
    const { journals, clock } = this.options;
    const startedAt = suspendAwareTime(clock);
    const outcome = await journals.trainerFence.confirm(key, record.replicas, record.term);
    const cached = this.homes.get(key);
    if (outcome === 'kept' && cached?.record.term === record.term) {
      cached.confirmedAt = startedAt;
    }
    if (outcome === 'lost') this.noteFenced(key, record);
    return outcome;
  }

  /** Discards a right if the store's record has changed, and returns whether it has. */
  async discardIfReplaced({ key, revision }: AcceptanceRight): Promise<boolean> {
    const read = await this.options.store.trainerRecord(key);
    if (read.kind !== 'found' || read.value.revision === revision) return false;
    this.homes.delete(key);
    return true;
  }

  /** The change of the trainer's record that is committed with the creation of a job. */
  changeFor(
    { key, record, revision }: AcceptanceRight,
    spec: JobSpecification,
    isFromOutside: boolean,
  ): TrainerChange {
    const change = isFromOutside ? withOutsideJob : withAcceptedJob;
    const changed = change(record, spec, this.options.clock.wallTime());
    return { key, base: revision, record: { ...changed, isComplete: this.areRecordsUsedByAll } };
  }

  /** Like {@link changeOfJournaled}, for a job that this zone's journal has accepted. */
  changeForJournaled(spec: JobSpecification): Promise<TrainerChange | undefined> {
    this.homes.delete(trainerKeyOf(spec));
    return changeOfJournaled(this.options, spec);
  }

  /** Updates the cache after the store settled the creation of a job. */
  noteCreation(change: TrainerChange, outcome: CreationOutcome): void {
    const { key, record } = change;
    const isCurrentBase = this.homes.get(key)?.revision === change.base;
    if (outcome.kind === 'trainer-changed' && isCurrentBase) this.homes.delete(key);
    if (outcome.kind !== 'changed') return;
    const { journals, log, metrics } = this.options;
    const { trainerRevision: revision } = outcome;
    const cached = this.homes.get(key);
    const previous = cached?.record;
    if (revision === undefined || record.zone !== journals.zone) this.homes.delete(key);
    else this.cache(key, { record, revision });
    this.check(key);
    if (previous?.term === record.term || record.zone !== journals.zone) return;
    this.fencedTerms.delete(key);
    const { term, lastStep, heldJobs } = record;
    const replicas = record.replicas.map(({ node }) => node).join(',');
    log.state('trainer-home', {
      trainer: key,
      term,
      replicas,
      lastStep,
      held: heldJobs.length,
    });
    metrics.count('trainer_homes', { outcome: 'acquired' });
  }

  private cache(key: TrainerKey, { record, revision }: VersionedTrainerRecord): void {
    const confirmedAt = suspendAwareTime(this.options.clock);
    this.homes.set(key, { record, revision, confirmedAt });
  }

  /**
   * Checks a cached right at the replicas, as another zone may have fenced it without replacing the
   * record. A lost right is acquired again with the next job, and only while the store answers.
   */
  private check(key: TrainerKey): void {
    const cached = this.homes.get(key);
    if (cached === undefined || cached.record.replicas.length === 0) return;
    void this.confirm(this.rightOf(key, cached, true));
  }

  private rightOf(
    key: TrainerKey,
    { record, revision }: VersionedTrainerRecord,
    isStored: boolean,
  ): AcceptanceRight {
    return { kind: 'held', key, record, revision, isStored };
  }

  private async acquireFromStore(key: TrainerKey, spec: JobSpecification): Promise<Acquisition> {
    const { store, journals } = this.options;
    const read = await store.trainerRecord(key);
    if (read.kind === 'unavailable') return read;
    if (read.kind === 'absent') {
      const record = this.firstRecord(key);
      return this.rightOf(key, { record, revision: ABSENT }, false);
    }
    const { record, revision } = read.value;
    if (zoneHolding(record, spec.id) !== undefined) return { kind: 'journaled' };
    if (record.zone === journals.zone && this.keepsTerm(key, record)) {
      this.cache(key, { record, revision });
      return this.rightOf(key, { record, revision }, true);
    }
    return this.acquireByFence(key, spec, read.value);
  }

  /** Fences the record's zone and term; the right is this zone's once a creation is stored. */
  private async acquireByFence(
    key: TrainerKey,
    spec: JobSpecification,
    { record, revision }: VersionedTrainerRecord,
  ): Promise<Acquisition> {
    const { store, journals, clock, log, metrics } = this.options;
    const head = await store.head(spec.id);
    if (head.kind === 'found') return { kind: 'exists', head: head.value };
    if (head.kind === 'unavailable') return head;
    const { replicas } = record;
    // A journaled job needs no fence, which would also stop its zone from accepting further steps.
    const hasReplicas = replicas.length > 0;
    if (hasReplicas && (await journals.entryStatus(spec.id, replicas)) === 'held') {
      return { kind: 'journaled' };
    }
    const fence = await journals.trainerFence.fence(key, replicas, record.term + 1);
    metrics.count('trainer_homes', { outcome: fence.kind });
    const previous = { zone: record.zone, term: record.term };
    if (fence.kind === 'unsure') {
      log.state('trainer-not-fenced', { trainer: key, job: spec.id, ...previous });
      return { kind: 'unavailable' };
    }
    log.state('trainer-fenced', {
      ...{ trainer: key, job: spec.id, previousZone: record.zone, previousTerm: record.term },
      ...{ term: fence.term, journaled: fence.jobs.length },
    });
    if (fence.jobs.includes(spec.id)) return { kind: 'journaled' };
    const wallTime = clock.wallTime();
    const heldJobs = withJournaledJobs(record, fence.jobs, wallTime);
    const own = { ...record, ...this.firstRecord(key), term: fence.term };
    const candidate = { ...own, lastStep: record.lastStep, heldJobs };
    return this.rightOf(key, { record: candidate, revision }, false);
  }

  private firstRecord(key: TrainerKey): TrainerRecord {
    const { journals, clock } = this.options;
    return {
      ...{ zone: journals.zone, term: FIRST_TERM, replicas: [...(journals.groupFor(key) ?? [])] },
      ...{ lastStep: NO_STEP, heldJobs: [], changedAt: clock.wallTime() },
    };
  }

  /** The cached right to accept a job; `undefined` if there is none or it is too old. */
  private cachedRight(key: TrainerKey, spec: JobSpecification): Acquisition | undefined {
    const cached = this.homes.get(key);
    if (cached === undefined) return undefined;
    const { clock } = this.options;
    const maxAge = this.areRecordsUsedByAll
      ? MAX_CONFIRMATION_AGE
      : MAX_CONFIRMATION_AGE_BESIDE_OLDER_BUILDS;
    if (suspendAwareTime(clock) - cached.confirmedAt >= maxAge) return undefined;
    if (zoneHolding(cached.record, spec.id) !== undefined) return { kind: 'journaled' };
    return this.rightOf(key, cached, true);
  }

  private hasToMove(key: TrainerKey): boolean {
    const cached = this.homes.get(key);
    return cached !== undefined && this.needsOtherReplicas(cached.record);
  }

  private get areRecordsUsedByAll(): boolean {
    return this.options.areTrainerRecordsUsedByAll?.() ?? true;
  }

  /** Whether a record of this zone can be used as it is. */
  private keepsTerm(key: TrainerKey, record: TrainerRecord): boolean {
    return !this.isFenced(key, record) && !this.needsOtherReplicas(record);
  }

  private isFenced(key: TrainerKey, { term }: TrainerRecord): boolean {
    return term <= (this.fencedTerms.get(key) ?? Number.NEGATIVE_INFINITY);
  }

  /** Whether some replicas of a record are not usable any more and the zone has others. */
  private needsOtherReplicas({ replicas, zone }: TrainerRecord): boolean {
    const { journals } = this.options;
    if (zone !== journals.zone) return false;
    const isUsable = replicas.length > 0 && journals.isGroupUsable(replicas);
    return !isUsable && journals.groupFor('') !== undefined;
  }

  private noteFenced(key: TrainerKey, { term }: TrainerRecord): void {
    if ((this.homes.get(key)?.record.term ?? term) === term) this.homes.delete(key);
    if (term <= (this.fencedTerms.get(key) ?? Number.NEGATIVE_INFINITY)) return;
    this.fencedTerms.set(key, term);
    this.options.log.state('trainer-right-lost', { trainer: key, term });
    this.options.metrics.count('trainer_homes', { outcome: 'lost' });
  }
}
