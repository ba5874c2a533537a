/**
 * Record of a trainer in the shared store: which zone accepts the trainer's jobs, and under which
 * fencing term. Each job is created together with a change of this record, so of two nodes that
 * accept the same job in different zones only one can store it.
 */
import * as z from 'zod';
import { contentDigest } from '../core/hashing.js';
import { looseRecord } from '../core/open-record.js';
import { HOUR, type Milliseconds, type Revision } from '../core/units.js';
import { TRAINER_KEY_PREFIX } from '../journal/journal-entries.js';
import { REPLICA_LOCATION } from '../journal/replica-location.js';
import type { JobSpecification } from './job-records.js';

const HELD_JOB = looseRecord({
  job: z.string(),
  /** The zone that may store the job; no other zone may create it. */
  zone: z.string(),
  /** Wall-clock time at which the entry expires, in milliseconds since the Unix epoch. */
  until: z.number(),
});

const TRAINER_RECORD = looseRecord({
  /** The zone that accepts the trainer's jobs, by the store or by its journal. */
  zone: z.string(),
  /** Fencing token of the zone; each change of the zone or of its replicas has a higher one. */
  term: z.number(),
  /** The replicas that every journaled acceptance is written to; empty without a journal. */
  replicas: z.array(REPLICA_LOCATION),
  /** Highest step that the store has accepted; -1 before the first. */
  lastStep: z.number(),
  /**
   * Jobs that may be accepted although their step is higher: those that the journal of an earlier
   * zone or term held and the store lacked, and those submitted outside their allowed regions.
   */
  heldJobs: z.array(HELD_JOB),
  /**
   * Whether no build without these records was running at the last job, so that `lastStep` covers all
   * jobs that the store has accepted.
   */
  isComplete: z.boolean().optional(),
  /** Wall-clock time of the last change, in milliseconds since the Unix epoch. */
  changedAt: z.number(),
});

/** Which zone accepts a trainer's jobs. */
export type TrainerRecord = z.infer<typeof TRAINER_RECORD>;

/** A record and its revision in the store. */
export interface VersionedTrainerRecord {
  readonly record: TrainerRecord;
  readonly revision: Revision;
}

/** Step of a trainer before its first job. */
export const NO_STEP = -1;

/** Time for a partitioned zone to store the jobs that its journal holds. */
const JOURNALED_JOB_RETENTION: Milliseconds = 2 * HOUR;

/** Time after which callers no longer repeat a submission. */
const OUTSIDE_JOB_RETENTION: Milliseconds = 180_000;

/** Fields that identify the trainer of a job. */
export type TrainerFields = Pick<JobSpecification, 'host' | 'model' | 'tenant'>;

/** Identifies a trainer in keys of the store and of journals. */
export type TrainerKey = string;

export function trainerKeyOf({ host, model, tenant }: TrainerFields): TrainerKey {
  return `${TRAINER_KEY_PREFIX}${contentDigest(JSON.stringify([host, model, tenant ?? null]))}`;
}

/** The change of a trainer's record that is committed together with the creation of a job. */
export interface TrainerChange {
  readonly key: TrainerKey;
  /** Revision of the record that the change replaces. */
  readonly base: Revision;
  readonly record: TrainerRecord;
}

/** Decodes a record; `undefined` if the text is invalid. */
export function decodeTrainerRecord(text: string): TrainerRecord | undefined {
  try {
    return TRAINER_RECORD.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

/** The record after the store has accepted a job of the trainer. */
export function withAcceptedJob(
  record: TrainerRecord,
  { id, step }: Pick<JobSpecification, 'id' | 'step'>,
  wallTime: Milliseconds,
): TrainerRecord {
  const heldJobs = unexpired(record, wallTime).filter(({ job }) => job !== id);
  const lastStep = Math.max(record.lastStep, step);
  return { ...record, lastStep, heldJobs, changedAt: wallTime };
}

/**
 * The record after the store has accepted a job that was submitted outside its allowed regions. Its
 * trainer may count other steps than one of this zone with the same host, model and tenant.
 */
export function withOutsideJob(
  record: TrainerRecord,
  { id }: Pick<JobSpecification, 'id'>,
  wallTime: Milliseconds,
): TrainerRecord {
  const until = wallTime + OUTSIDE_JOB_RETENTION;
  const heldJobs = [...unexpired(record, wallTime), { job: id, zone: record.zone, until }];
  return { ...record, heldJobs, changedAt: wallTime };
}

/** The held jobs of a record and those that the journal of its zone holds. */
export function withJournaledJobs(
  record: TrainerRecord,
  jobs: readonly string[],
  wallTime: Milliseconds,
): TrainerRecord['heldJobs'] {
  const known = unexpired(record, wallTime);
  const added = jobs.filter((job) => !known.some((held) => held.job === job));
  const until = wallTime + JOURNALED_JOB_RETENTION;
  return [...known, ...added.map((job) => ({ job, zone: record.zone, until }))];
}

/** The zone that may store a held job; `undefined` if the record does not hold the job. */
export function zoneHolding(record: TrainerRecord, job: string): string | undefined {
  return record.heldJobs.find((held) => held.job === job)?.zone;
}

function unexpired({ heldJobs }: TrainerRecord, wallTime: Milliseconds): TrainerRecord['heldJobs'] {
  return heldJobs.filter(({ until }) => wallTime < until);
}
