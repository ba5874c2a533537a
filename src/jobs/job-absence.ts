/** Decides whether a job that the shared store lacks is certain not to exist. */
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { JobStore } from './job-store.js';
import { type TrainerRecord, zoneHolding } from './trainer-record.js';

/** The journals as far as the decision needs them. */
export type QueriedJournals = Pick<ZoneJournals, 'entryStatus' | 'entryStatusInAllZones'>;

export class JobAbsence {
  constructor(
    private readonly store: JobStore,
    /** The zones' journals, if zones accept jobs without the store. */
    private readonly journals: QueriedJournals | undefined,
  ) {}

  /**
   * Whether neither the store nor any journal has the job. Journals are asked at the replicas that
   * the trainers' records name, since a replica that is newer than a job knows nothing of it.
   */
  async isCertain(job: string): Promise<boolean> {
    const { journals, store } = this;
    if (journals === undefined) return true;
    const records = await store.trainerRecords();
    if (records.kind !== 'found') return false;
    if (records.value.some((record) => zoneHolding(record, job) !== undefined)) return false;
    const groups = distinctGroups(records.value);
    if ((await journals.entryStatusInAllZones(job, groups)) !== 'not-held') return false;
    // Entries released from a journal meanwhile are already in the store.
    return (await store.head(job)).kind === 'absent';
  }
}

/** The groups of replicas that zones accept jobs by. */
function distinctGroups(records: readonly TrainerRecord[]): TrainerRecord['replicas'][] {
  const groups = new Map<string, TrainerRecord['replicas']>();
  for (const { replicas } of records) {
    const disks = replicas.map(({ disk }) => disk).sort();
    if (disks.length > 0) groups.set(disks.join(), replicas);
  }
  return [...groups.values()];
}
