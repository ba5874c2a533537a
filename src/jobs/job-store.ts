/**
 * Stores batch jobs in the shared store. Each change of a job is one commit conditional on the
 * revision of its head, so of two nodes that both act as owner only one can list results.
 *
 * A commit whose response is lost is retried unchanged. Its condition lets it take effect at most
 * once, and the change id in the head shows whether it did.
 */
import { randomUUID } from 'node:crypto';
import type { Milliseconds, Revision } from '../core/units.js';
import { TRAINER_KEY_PREFIX } from '../journal/journal-entries.js';
import type { Clock } from '../serving/clock.js';
import {
  ABSENT,
  type SharedStore,
  type StoreCondition,
  type StorePut,
} from '../shared-store/shared-store.js';
import { cancelsJobsOf, conditionOn, EndMarks, NO_MARK } from './end-marks.js';
import {
  decodeHead,
  decodePage,
  decodeProgress,
  decodeSpecification,
  JOB_KEYS,
  type JobHead,
  type JobResult,
  type JobSpecification,
  type StoredProgress,
} from './job-records.js';
import {
  decodeTrainerRecord,
  type TrainerChange,
  type TrainerKey,
  type TrainerRecord,
  type VersionedTrainerRecord,
} from './trainer-record.js';

/** A head and its revision in the store. */
export interface VersionedHead {
  readonly head: JobHead;
  readonly revision: Revision;
}

/** Outcome of a conditional change of a head. */
export type HeadChange =
  | { readonly kind: 'changed'; readonly current: VersionedHead }
  /** Another node changed the head first; `current` is undefined if the job was removed. */
  | { readonly kind: 'superseded'; readonly current: VersionedHead | undefined }
  /** The store did not answer in time; with `mayBeDone` the change may still take effect. */
  | { readonly kind: 'unavailable'; readonly mayBeDone: boolean };

/** Outcome of the creation of a job. */
export type CreationOutcome =
  | {
      readonly kind: 'changed';
      readonly current: VersionedHead;
      /** Revision of the trainer's record; `undefined` if it is not known. */
      readonly trainerRevision?: Revision | undefined;
    }
  | Exclude<HeadChange, { kind: 'changed' }>
  /** The job does not exist, and another node changed the trainer's record first. */
  | { readonly kind: 'trainer-changed' };

/** Pages, and possibly a cancellation, that one commit adds to a job. */
export interface JobExtension {
  readonly pages: readonly (readonly JobResult[])[];
  readonly ended: boolean;
}

/** Outcome of a read. */
export type Read<Value> =
  | { readonly kind: 'found'; readonly value: Value }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable' };

/** Whether the operation was not cancelled; checked before each retry. */
export type StillNeeded = () => boolean;

/** Bounds of the exponential backoff between retries of a commit. */
const MIN_RETRY_DELAY: Milliseconds = 60;
const MAX_RETRY_DELAY: Milliseconds = 500;

/** Characters of a specification in one key; base64 expands them to less than 1 MiB. */
const PART_LENGTH = 600_000;

/** Fields of a head that callers set. */
export type HeadFields = Omit<JobHead, 'changeId' | 'specificationParts'>;

/** Reads and changes jobs in the shared store. */
export class JobStore {
  /** Cancellations that came before their jobs. */
  readonly endMarks: EndMarks;

  constructor(
    private readonly store: SharedStore,
    private readonly clock: Pick<Clock, 'sleep'>,
  ) {
    this.endMarks = new EndMarks(store);
  }

  /**
   * Creates a job, and changes its trainer's record in the same commit; `superseded` means that the
   * job already exists. A job that was cancelled before is created as cancelled.
   */
  create(spec: JobSpecification, head: HeadFields, isStillNeeded: StillNeeded): Promise<HeadChange>;
  create(
    spec: JobSpecification,
    head: HeadFields,
    isStillNeeded: StillNeeded,
    trainer: TrainerChange | undefined,
  ): Promise<CreationOutcome>;
  async create(
    spec: JobSpecification,
    head: HeadFields,
    isStillNeeded: StillNeeded,
    trainer?: TrainerChange,
  ): Promise<CreationOutcome> {
    const text = JSON.stringify(spec);
    const puts: StorePut[] = [];
    for (let part = 0; part * PART_LENGTH < text.length; part += 1) {
      const value = text.slice(part * PART_LENGTH, (part + 1) * PART_LENGTH);
      puts.push({ key: JOB_KEYS.specification(spec.id, part), value });
    }
    const completeHead = { ...head, specificationParts: puts.length };
    const expected: StoreCondition[] = [];
    if (trainer !== undefined) {
      const { key, base, record } = trainer;
      expected.push({ key, revision: base });
      puts.push({ key, value: JSON.stringify(record) });
    }
    for (let mark = NO_MARK; ; ) {
      let committedAt: Revision | undefined;
      const ended = head.ended || cancelsJobsOf(mark, spec.tenant);
      const fields = { ...completeHead, ended };
      const change = await this.change(spec.id, ABSENT, fields, puts, isStillNeeded, {
        changeId: creationIdOf(head),
        expected: [...expected, conditionOn(spec.id, mark)],
        onCommitted: (revision) => {
          committedAt = revision;
        },
      });
      if (change.kind === 'changed') return { ...change, trainerRevision: committedAt };
      if (change.kind !== 'superseded' || change.current !== undefined) return change;
      // The job does not exist: the mark or the trainer's record has changed.
      const current = await this.endMarks.read(spec.id);
      if (current === undefined && !isStillNeeded()) {
        return { kind: 'unavailable', mayBeDone: true };
      }
      if (current === undefined) await this.clock.sleep(MAX_RETRY_DELAY);
      else if (current.revision !== mark.revision) mark = current;
      else return trainer === undefined ? change : { kind: 'trainer-changed' };
    }
  }

  /** Reads the record of a trainer. */
  async trainerRecord(key: TrainerKey): Promise<Read<VersionedTrainerRecord>> {
    const outcome = await this.store.get(key);
    if (outcome.kind === 'failed') return { kind: 'unavailable' };
    if (outcome.item === undefined) return { kind: 'absent' };
    const record = decodeTrainerRecord(outcome.item.value);
    if (record === undefined) return { kind: 'unavailable' };
    return { kind: 'found', value: { record, revision: outcome.item.revision } };
  }

  /** Reads the records of all trainers. */
  async trainerRecords(): Promise<Read<readonly TrainerRecord[]>> {
    const outcome = await this.store.range(TRAINER_KEY_PREFIX);
    if (outcome.kind === 'failed') return { kind: 'unavailable' };
    const records = outcome.items.map((item) => decodeTrainerRecord(item.value));
    const readable = records.filter((record) => record !== undefined);
    if (readable.length < records.length) return { kind: 'unavailable' };
    return { kind: 'found', value: readable };
  }

  /** Lists one page of results after those of `base`. */
  append(
    job: string,
    base: VersionedHead,
    results: readonly JobResult[],
    progress: StoredProgress | undefined,
    isStillNeeded: StillNeeded,
  ): Promise<HeadChange> {
    return this.extend(job, base, { pages: [results], ended: false }, progress, isStillNeeded);
  }

  /** Lists pages of results after those of `base`, and cancels the job if requested. */
  extend(
    job: string,
    base: VersionedHead,
    extension: JobExtension,
    progress: StoredProgress | undefined,
    isStillNeeded: StillNeeded,
  ): Promise<HeadChange> {
    const puts: StorePut[] = [];
    let { listed, pages } = base.head;
    for (const results of extension.pages) {
      const page = { first: listed, results };
      puts.push({ key: JOB_KEYS.page(job, pages), value: JSON.stringify(page) });
      listed += results.length;
      pages += 1;
    }
    if (progress !== undefined) puts.push(progressPut(job, progress));
    const ended = base.head.ended || extension.ended;
    return this.change(
      job,
      base.revision,
      { ...base.head, listed, pages, ended },
      puts,
      isStillNeeded,
    );
  }

  /** Replaces fields of a job's head and, if given, the progress of unfinished items. */
  replace(
    job: string,
    base: VersionedHead,
    fields: Partial<HeadFields>,
    isStillNeeded: StillNeeded,
    progress?: StoredProgress,
  ): Promise<HeadChange> {
    const puts = progress === undefined ? [] : [progressPut(job, progress)];
    return this.change(job, base.revision, { ...base.head, ...fields }, puts, isStillNeeded);
  }

  /** Reads the head of a job. */
  async head(job: string): Promise<Read<VersionedHead>> {
    const outcome = await this.store.get(JOB_KEYS.head(job));
    if (outcome.kind === 'failed') return { kind: 'unavailable' };
    if (outcome.item === undefined) return { kind: 'absent' };
    const head = decodeHead(outcome.item.value);
    if (head === undefined) return { kind: 'unavailable' };
    return { kind: 'found', value: { head, revision: outcome.item.revision } };
  }

  /** Reads the heads of all jobs, by job id. */
  async heads(): Promise<Read<ReadonlyMap<string, VersionedHead>>> {
    const outcome = await this.store.range(JOB_KEYS.heads);
    if (outcome.kind === 'failed') return { kind: 'unavailable' };
    const heads = new Map<string, VersionedHead>();
    for (const item of outcome.items) {
      const head = decodeHead(item.value);
      if (head === undefined) continue;
      heads.set(JOB_KEYS.jobOfHead(item.key), { head, revision: item.revision });
    }
    return { kind: 'found', value: heads };
  }

  /** Reads the specification of a job. */
  async specification(job: string): Promise<Read<JobSpecification>> {
    const outcome = await this.store.range(JOB_KEYS.specificationParts(job));
    if (outcome.kind === 'failed') return { kind: 'unavailable' };
    if (outcome.items.length === 0) return { kind: 'absent' };
    const spec = decodeSpecification(outcome.items.map((item) => item.value).join(''));
    return spec === undefined ? { kind: 'unavailable' } : { kind: 'found', value: spec };
  }

  /** Reads the result pages from number `fromPage` on, in order. */
  async results(job: string, fromPage: number): Promise<Read<readonly (readonly JobResult[])[]>> {
    const after = fromPage === 0 ? undefined : JOB_KEYS.page(job, fromPage - 1);
    const outcome = await this.store.range(JOB_KEYS.pages(job), after);
    if (outcome.kind === 'failed') return { kind: 'unavailable' };
    const pages = outcome.items.map((item) => decodePage(item.value)?.results);
    const readable = pages.filter((page) => page !== undefined);
    if (readable.length < pages.length) return { kind: 'unavailable' };
    return { kind: 'found', value: readable };
  }

  /** Reads the stored progress of unfinished items. */
  async progress(job: string): Promise<Read<StoredProgress>> {
    const outcome = await this.store.get(JOB_KEYS.progress(job));
    if (outcome.kind === 'failed') return { kind: 'unavailable' };
    const progress = outcome.item === undefined ? undefined : decodeProgress(outcome.item.value);
    return progress === undefined ? { kind: 'absent' } : { kind: 'found', value: progress };
  }

  /** Removes all records of a job; the head last, so that an interrupted removal can be resumed. */
  async remove(job: string, base: VersionedHead): Promise<void> {
    const parts = base.head.specificationParts;
    const pages = Array.from({ length: base.head.pages }, (_, page) => JOB_KEYS.page(job, page));
    const specs = Array.from({ length: parts }, (_, part) => JOB_KEYS.specification(job, part));
    const keys = [...pages, ...specs, JOB_KEYS.progress(job)];
    for (let start = 0; start < keys.length; start += MAX_REMOVALS_PER_COMMIT) {
      const remove = keys.slice(start, start + MAX_REMOVALS_PER_COMMIT);
      await this.store.commit({ expected: [], remove });
    }
    const expected = [{ key: JOB_KEYS.head(job), revision: base.revision }];
    await this.store.commit({ expected, remove: [JOB_KEYS.head(job)] });
  }

  private async change(
    job: string,
    base: Revision,
    fields: Omit<JobHead, 'changeId'>,
    puts: readonly StorePut[],
    isStillNeeded: StillNeeded,
    {
      changeId = randomUUID(),
      expected: conditions = [],
      onCommitted = () => {},
    }: CommitExtras = {},
  ): Promise<HeadChange> {
    const head: JobHead = { ...fields, changeId };
    const key = JOB_KEYS.head(job);
    const put = [{ key, value: JSON.stringify(head) }, ...puts];
    const expected = [{ key, revision: base }, ...conditions];
    let mayBeDone = false;
    for (let delay = MIN_RETRY_DELAY; ; delay = Math.min(2 * delay, MAX_RETRY_DELAY)) {
      const outcome = await this.store.commit({ expected, put });
      if (outcome.kind === 'committed') {
        onCommitted(outcome.revision);
        return { kind: 'changed', current: { head, revision: outcome.revision } };
      }
      if (outcome.kind === 'conflict') {
        const resolved = await this.resolveConflict(job, head);
        if (resolved !== undefined) return resolved;
      }
      if (outcome.kind === 'failed' && outcome.effect === 'unknown') mayBeDone = true;
      if (!isStillNeeded()) return { kind: 'unavailable', mayBeDone };
      await this.clock.sleep(delay);
    }
  }

  /** After a conflict: whether an earlier attempt of the same change took effect. */
  private async resolveConflict(job: string, written: JobHead): Promise<HeadChange | undefined> {
    const read = await this.head(job);
    if (read.kind === 'unavailable') return undefined;
    if (read.kind === 'absent') return { kind: 'superseded', current: undefined };
    const isOwnChange = read.value.head.changeId === written.changeId;
    return { kind: isOwnChange ? 'changed' : 'superseded', current: read.value };
  }
}

/** Further parts of a commit that changes a head. */
interface CommitExtras {
  /** @default a random id */
  readonly changeId?: string;
  /** Conditions beside that on the head. */
  readonly expected?: readonly StoreCondition[];
  /** Called with the revision if the store confirms the commit itself. */
  readonly onCommitted?: (revision: Revision) => void;
}

/** Maximum number of keys that one commit removes. */
const MAX_REMOVALS_PER_COMMIT = 30;

/**
 * Change id of a creation, the same for all attempts of an owner under a term. An attempt that the
 * store carried out earlier is recognized by it, unless the head was changed since.
 */
function creationIdOf({ owner, term }: HeadFields): string {
  return owner === null ? randomUUID() : `created/${owner.node}/${owner.incarnation}/${term ?? 0}`;
}

function progressPut(job: string, progress: StoredProgress): StorePut {
  return { key: JOB_KEYS.progress(job), value: JSON.stringify(progress) };
}
