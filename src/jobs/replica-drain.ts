/**
 * Empties the journal replica of a machine that is to be removed. Trainers' records that name the
 * replica are moved to other replicas first, since no zone could replace the right to accept a
 * trainer's jobs once all replicas of its group were removed.
 */
import type { NodeId } from '../core/identity.js';
import { TRAINER_KEY_PREFIX } from '../journal/journal-entries.js';
import type { ZoneJournals } from '../journal/zone-journals.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore, StoreItem } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import { decodeTrainerRecord, type TrainerRecord, withJournaledJobs } from './trainer-record.js';

export interface ReplicaDrainOptions {
  readonly store: Pick<SharedStore, 'range' | 'commit'>;
  readonly journals: ZoneJournals;
  readonly clock: Pick<Clock, 'wallTime'>;
  readonly log: DecisionLog;
}

export class ReplicaDrain {
  constructor(private readonly options: ReplicaDrainOptions) {}

  /** Whether no record names the machine's replica and the store has all entries of it. */
  async isEmpty(node: NodeId): Promise<boolean> {
    const { journals } = this.options;
    if (!journals.areReplicasListed) return false;
    return (await this.moveRecords(node)) && journals.drainReplica(node);
  }

  /** Moves the records that name the replica; returns whether none is left. */
  private async moveRecords(node: NodeId): Promise<boolean> {
    const outcome = await this.options.store.range(TRAINER_KEY_PREFIX);
    if (outcome.kind === 'failed') return false;
    const areMoved = await Promise.all(
      outcome.items.map(async (item) => {
        const record = decodeTrainerRecord(item.value);
        if (record === undefined) return false;
        const isNamed = record.replicas.some((replica) => replica.node === node);
        return !isNamed || this.moveRecord(item, record, node);
      }),
    );
    return areMoved.every((isMoved) => isMoved);
  }

  /** Fences the present replicas and replaces them in the record, unless that has changed since. */
  private async moveRecord(
    { key, revision }: StoreItem,
    record: TrainerRecord,
    drained: NodeId,
  ): Promise<boolean> {
    const { store, journals, clock, log } = this.options;
    const fence = await journals.trainerFence.fence(key, record.replicas, record.term + 1);
    const details = { trainer: key, zone: record.zone, previousTerm: record.term, drained };
    if (fence.kind === 'unsure') {
      log.state('trainer-not-moved', { ...details, reason: 'not-fenced' });
      return false;
    }
    const changedAt = clock.wallTime();
    const moved: TrainerRecord = {
      ...record,
      // This zone has used the fenced term itself, under its own name.
      term: fence.term + 1,
      replicas: [...(journals.groupFor(key, record.zone) ?? [])],
      heldJobs: withJournaledJobs(record, fence.jobs, changedAt),
      changedAt,
    };
    const outcome = await store.commit({
      expected: [{ key, revision }],
      put: [{ key, value: JSON.stringify(moved) }],
    });
    if (outcome.kind !== 'committed') {
      log.state('trainer-not-moved', { ...details, reason: outcome.kind });
      return false;
    }
    const replicas = moved.replicas.map((replica) => replica.node).join(',');
    log.state('trainer-moved', { ...details, term: moved.term, replicas });
    return true;
  }
}
