/**
 * Frees trainers whose journal replicas were all lost for good. No zone can fence such a group, so
 * the trainer's jobs are rejected until an operator states that its disks will not return.
 */
import { TRAINER_KEY_PREFIX } from '../journal/journal-entries.js';
import type { ReplicaLocation } from '../journal/replica-location.js';
import { parseReplicaLocation, REPLICA_PREFIX } from '../journal/replica-record.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore, StoreItem } from '../shared-store/shared-store.js';
import { decodeTrainerRecord, type TrainerRecord } from './trainer-record.js';

/** A trainer, and which of its journal replicas are registered in the store. */
export interface TrainerReplicas {
  readonly trainer: string;
  readonly record: TrainerRecord;
  readonly registered: readonly ReplicaLocation[];
}

export type AbandonOutcome =
  /** The trainer has no replicas any more; its next job gets a new group. */
  | { readonly kind: 'abandoned'; readonly replicas: readonly ReplicaLocation[] }
  /** Some of the disks are in use, so that the group can still be fenced. */
  | { readonly kind: 'in-use'; readonly replicas: readonly ReplicaLocation[] }
  | { readonly kind: 'unknown-trainer' }
  /** Another node changed the record first. */
  | { readonly kind: 'conflict' }
  /** The store did not answer; with `mayBeDone` the change may still take effect. */
  | { readonly kind: 'unavailable'; readonly mayBeDone: boolean };

type ReadOutcome<Value> =
  | { readonly kind: 'read'; readonly value: Value }
  | { readonly kind: 'unavailable' };

export class LostReplicas {
  constructor(
    private readonly store: Pick<SharedStore, 'range' | 'commit'>,
    private readonly clock: Pick<Clock, 'wallTime'>,
  ) {}

  /** All trainers; `undefined` if the store does not answer. */
  async trainers(): Promise<readonly TrainerReplicas[] | undefined> {
    const read = await this.read();
    if (read.kind === 'unavailable') return undefined;
    return read.value.map(({ item, ...replicas }) => replicas);
  }

  /**
   * Removes the replicas from a trainer's record, if none of their disks is registered. Accepted
   * jobs that only these disks hold are lost.
   */
  async abandon(trainer: string): Promise<AbandonOutcome> {
    const read = await this.read();
    if (read.kind === 'unavailable') return { kind: 'unavailable', mayBeDone: false };
    const found = read.value.find((candidate) => candidate.trainer === trainer);
    if (found === undefined) return { kind: 'unknown-trainer' };
    const { item, record, registered } = found;
    if (registered.length > 0) return { kind: 'in-use', replicas: registered };
    const changedAt = this.clock.wallTime();
    const changed: TrainerRecord = { ...record, term: record.term + 1, replicas: [], changedAt };
    const outcome = await this.store.commit({
      expected: [{ key: trainer, revision: item.revision }],
      put: [{ key: trainer, value: JSON.stringify(changed) }],
    });
    if (outcome.kind === 'committed') return { kind: 'abandoned', replicas: record.replicas };
    if (outcome.kind !== 'failed') return { kind: 'conflict' };
    return { kind: 'unavailable', mayBeDone: outcome.effect === 'unknown' };
  }

  private async read(): Promise<
    ReadOutcome<readonly (TrainerReplicas & { readonly item: StoreItem })[]>
  > {
    const [trainers, replicas] = await Promise.all([
      this.store.range(TRAINER_KEY_PREFIX),
      this.store.range(REPLICA_PREFIX),
    ]);
    if (trainers.kind === 'failed' || replicas.kind === 'failed') return { kind: 'unavailable' };
    const locations = replicas.items.map((item) => parseReplicaLocation(item.value));
    const disks = new Set(locations.map((location) => location?.disk));
    const value = trainers.items.flatMap((item) => {
      const record = decodeTrainerRecord(item.value);
      if (record === undefined) return [];
      const registered = record.replicas.filter(({ disk }) => disks.has(disk));
      return [{ item, trainer: item.key, record, registered }];
    });
    return { kind: 'read', value };
  }
}
