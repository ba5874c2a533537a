/** The newest group records a node knows, and the replicas it holds. */
import { type GroupRecord, groupKey } from '../config-feed/configuration.js';
import { identityKey } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Activations } from './activations.js';
import type { LedgerEnvironment } from './environment.js';
import { includesIdentity, keyOfRecord, majorityOf } from './group-record.js';
import { Replica } from './replica.js';
import type { GroupHealth } from './requests.js';

/** All groups and replicas of one ledger. */
export class GroupTable<Value> {
  readonly #environment: LedgerEnvironment<Value>;
  readonly #activations: Activations;
  readonly #records = new Map<string, GroupRecord>();
  readonly #replicas = new Map<string, Replica<Value>>();

  constructor(environment: LedgerEnvironment<Value>, activations: Activations) {
    this.#environment = environment;
    this.#activations = activations;
  }

  /** The newest record of a group. */
  group(domain: string, shard: number): GroupRecord | undefined {
    return this.#records.get(groupKey(domain, shard));
  }

  /** This node's replica of a shard, if it ever was a member. */
  replica(domain: string, shard: number): Replica<Value> | undefined {
    return this.#replicas.get(groupKey(domain, shard));
  }

  /** All replicas of this node. */
  replicas(): Iterable<Replica<Value>> {
    return this.#replicas.values();
  }

  /** Takes a record; false where it is not newer than the one known. */
  learn(record: GroupRecord, now: Milliseconds): boolean {
    const key = keyOfRecord(record);
    const known = this.#records.get(key);
    if (known !== undefined && known.epoch >= record.epoch) return false;
    this.#records.set(key, record);
    const replica = this.#replicas.get(key);
    if (replica !== undefined) replica.learn(record, now);
    else if (includesIdentity(record.members, this.#environment.selfKey)) {
      const created = new Replica(this.#environment, this.#activations, record, now);
      this.#replicas.set(key, created);
    }
    return true;
  }

  /** How all known groups stand. */
  health(): GroupHealth[] {
    return [...this.#records.values()].map((record) => this.#healthOf(record));
  }

  #healthOf(record: GroupRecord): GroupHealth {
    const { alive, settings } = this.#environment;
    const memberCount = record.members.length;
    const aliveCount = record.members.filter((member) => alive.has(identityKey(member))).length;
    return {
      domain: record.domain,
      shard: record.shard,
      epoch: record.epoch,
      memberCount,
      aliveCount,
      activeCount: this.#activations.count(record, 'active'),
      underStrength: aliveCount < settings.replicaCount,
      withoutMajority: aliveCount < majorityOf(memberCount),
    };
  }
}
