/**
 * Removes the records of trainers that have submitted nothing for a long time. A removed record is
 * fenced first, so that no gateway can accept jobs by a right that it cached under the record.
 */
import { DAY, MINUTE, type Milliseconds } from '../core/units.js';
import { TRAINER_KEY_PREFIX } from '../journal/journal-entries.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore, StoreItem } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { decodeTrainerRecord, type TrainerRecord } from './trainer-record.js';

/** Time after the last change of a record, by the wall clock, after which its trainer has ended. */
export const TRAINER_RETENTION: Milliseconds = 7 * DAY;

const SCAN_INTERVAL: Milliseconds = 10 * MINUTE;

export interface TrainerRetentionOptions {
  readonly store: Pick<SharedStore, 'range' | 'commit'>;
  readonly journals: ZoneJournals;
  readonly clock: Pick<Clock, 'now' | 'wallTime'>;
  readonly log: DecisionLog;
}

export class TrainerRetention {
  private nextScanAt: Milliseconds = SCAN_INTERVAL;

  constructor(private readonly options: TrainerRetentionOptions) {}

  /** Removes the records of ended trainers if a scan is due. */
  async removeExpired(): Promise<void> {
    const { store, clock } = this.options;
    if (clock.now() < this.nextScanAt) return;
    this.nextScanAt = clock.now() + SCAN_INTERVAL;
    const outcome = await store.range(TRAINER_KEY_PREFIX);
    if (outcome.kind === 'failed') return;
    for (const item of outcome.items) {
      const record = decodeTrainerRecord(item.value);
      const age = clock.wallTime() - (record?.changedAt ?? Number.POSITIVE_INFINITY);
      if (record !== undefined && age >= TRAINER_RETENTION) await this.remove(item, record, age);
    }
  }

  private async remove(
    { key, revision }: StoreItem,
    { replicas, term, zone }: TrainerRecord,
    age: Milliseconds,
  ): Promise<void> {
    const { store, journals, log } = this.options;
    const fence = await journals.trainerFence.fence(key, replicas, term + 1);
    // Entries may be jobs of this trainer that the store lacks, and that need the record.
    if (fence.kind === 'unsure' || fence.jobs.length > 0) return;
    const outcome = await store.commit({ expected: [{ key, revision }], remove: [key] });
    const details = { trainer: key, zone, term, ageMs: Math.round(age) };
    log.state('trainer-removed', { ...details, outcome: outcome.kind });
  }
}
