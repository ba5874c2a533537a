/**
 * Changes of a trainer's record for jobs that a journal holds. They keep the record's zone, which need
 * not be the zone of the journal any more.
 */
import type { Milliseconds } from '../core/units.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { Clock } from '../serving/clock.js';
import type { JobSpecification } from './job-records.js';
import type { JobStore } from './job-store.js';
import {
  type TrainerChange,
  trainerKeyOf,
  type VersionedTrainerRecord,
  withAcceptedJob,
  zoneHolding,
} from './trainer-record.js';

export interface TrainerChangesOptions {
  readonly store: JobStore;
  readonly journals: ZoneJournals;
  readonly clock: Clock;
}

/**
 * Outcome of a decision about a job found in a journal. `not-accepted`: its zone had lost the right to
 * accept the job, and the zone that fenced it did not find the job.
 */
export type RecoveredChange = TrainerChange | undefined | 'not-accepted' | 'unavailable';

const READ_RETRY_DELAY: Milliseconds = 200;

/**
 * The change for a job that this zone's journal has accepted; `undefined` if the store has no record
 * of the trainer. Resolves when the store answers.
 */
export async function changeOfJournaled(
  { store, clock }: TrainerChangesOptions,
  spec: JobSpecification,
): Promise<TrainerChange | undefined> {
  for (;;) {
    const read = await store.trainerRecord(trainerKeyOf(spec));
    if (read.kind === 'absent') return undefined;
    if (read.kind === 'found') return changeOf(read.value, spec, clock);
    await clock.sleep(READ_RETRY_DELAY);
  }
}

/**
 * The change for a job found in this zone's journal under a term of its right, if the zone accepted
 * the job or still may: the right has not been fenced since, or the zone that fenced it found the job.
 * `undefined` if the store has no record of the trainer.
 */
export async function changeOfRecovered(
  { store, journals, clock }: TrainerChangesOptions,
  spec: JobSpecification,
  /** `undefined` in entries of builds without trainer records. */
  term: number | undefined,
): Promise<RecoveredChange> {
  const read = await store.trainerRecord(trainerKeyOf(spec));
  if (read.kind === 'unavailable') return read.kind;
  if (read.kind === 'absent') return undefined;
  const { record } = read.value;
  const holder = zoneHolding(record, spec.id);
  const isSameTerm = record.zone === journals.zone && record.term === term;
  const isFree = holder === undefined && (isSameTerm || term === undefined);
  if (!isFree && holder !== journals.zone) return 'not-accepted';
  return changeOf(read.value, spec, clock);
}

function changeOf(
  { record, revision }: VersionedTrainerRecord,
  spec: JobSpecification,
  clock: Pick<Clock, 'wallTime'>,
): TrainerChange {
  const key = trainerKeyOf(spec);
  return { key, base: revision, record: withAcceptedJob(record, spec, clock.wallTime()) };
}
