/**
 * Journals of all zones, as one gateway uses them. A zone that is partitioned from the shared store
 * still accepts jobs and lists results in its journal, so a gateway queries the other zones' journals
 * before it answers that a job does not exist.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { PeerOutcome, PeerPort } from '../peers/peer-messages.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { JobJournal } from './job-journal.js';
import type { JournalHolder } from './journal-entries.js';
import type { ReplicaDirectory } from './replica-directory.js';
import type { ReplicaLocation } from './replica-location.js';
import { TrainerFence } from './trainer-fence.js';

const REPLICA_QUERY_TIMEOUT: Milliseconds = 300;

/**
 * Replicas of a zone that have to report no entries of a job whose own replicas are not known: one
 * of them may be newer than the job.
 */
const REQUIRED_DENIALS = 2;

/** The first term of a trainer's right; each later holder has a higher one. */
export const FIRST_TERM = 1;

export interface ZoneJournalsOptions {
  readonly port: PeerPort;
  readonly metrics: FleetMetrics;
  readonly directory: ReplicaDirectory;
  readonly zone: ZoneName;
  /** Incarnation of this node. */
  readonly writer: string;
}

/** `held`: at least one replica holds entries of the job; `not-held`: surely none does. */
export type EntryStatus = 'held' | 'not-held' | 'unsure';

/** Answer of one replica; `other-disk`: it no longer has the disk that may hold entries. */
type ReplicaStatus = EntryStatus | 'other-disk';

/** Opens the journals of owned jobs and queries those of other jobs. */
export class ZoneJournals {
  /** The rights of zones to accept the jobs of trainers. */
  readonly trainerFence: TrainerFence;

  constructor(private readonly options: ZoneJournalsOptions) {
    this.trainerFence = new TrainerFence(options);
  }

  /** The zone of this node. */
  get zone(): ZoneName {
    return this.options.zone;
  }

  /** The incarnation of this node, as it writes to journals. */
  get writer(): string {
    return this.options.writer;
  }

  /** Whether this zone has enough replicas to accept jobs without the shared store. */
  get isUsable(): boolean {
    return this.options.directory.groupFor('', this.options.zone) !== undefined;
  }

  /** Whether this node knows the replicas of all zones. */
  get areReplicasListed(): boolean {
    return this.options.directory.isListed;
  }

  /** The replicas for the jobs of a trainer of a zone; `undefined` if there are too few. */
  groupFor(trainer: string, zone = this.options.zone): readonly ReplicaLocation[] | undefined {
    return this.options.directory.groupFor(trainer, zone);
  }

  /** Whether all replicas of a group are registered and accept new jobs. */
  isGroupUsable(replicas: readonly ReplicaLocation[]): boolean {
    return replicas.every((replica) => this.options.directory.isUsable(replica));
  }

  /**
   * The journal of a new job, on the replicas of its trainer and under the term of its zone's right
   * to accept it; `undefined` without replicas.
   */
  openNew(
    job: string,
    replicas = this.groupFor(job),
    trainerTerm = FIRST_TERM,
  ): JobJournal | undefined {
    return replicas === undefined ? undefined : this.open(job, replicas, trainerTerm);
  }

  /** The journal of a job on the replicas that it already has, for an owner of the given term. */
  open(job: string, replicas: readonly ReplicaLocation[], term: number): JobJournal {
    const { port, metrics, directory, writer } = this.options;
    const isDraining = ({ node }: ReplicaLocation): boolean => directory.isDraining(node);
    return new JobJournal({ port, metrics, replicas, holder: { job, term, writer }, isDraining });
  }

  /** Whether the replicas of a job hold entries that the shared store may lack. */
  async entryStatus(job: string, replicas: readonly ReplicaLocation[]): Promise<EntryStatus> {
    return statusOfGroup(
      await Promise.all(replicas.map((replica) => this.queryReplica(job, replica))),
    );
  }

  /**
   * Whether the journal of any zone holds entries of a job that the shared store lacks. `not-held`
   * takes enough answers from every zone that has a journal, and from each group of replicas that
   * may hold the job.
   */
  async entryStatusInAllZones(
    job: string,
    groups: readonly (readonly ReplicaLocation[])[] = [],
  ): Promise<EntryStatus> {
    const query = this.queriesOf(job);
    const statuses = await Promise.all([
      this.entryStatusIn([...this.options.directory.byZone().values()], query),
      ...groups.map(async (group) => statusOfGroup(await Promise.all(group.map(query)))),
    ]);
    if (statuses.includes('held')) return 'held';
    return statuses.includes('unsure') ? 'unsure' : 'not-held';
  }

  /** Like {@link entryStatusInAllZones}, without this zone, whose journal this node has claimed. */
  entryStatusInOtherZones(job: string): Promise<EntryStatus> {
    const zones = new Map(this.options.directory.byZone());
    zones.delete(this.options.zone);
    return this.entryStatusIn([...zones.values()], this.queriesOf(job));
  }

  /** Queries each disk about a job once, however many groups it is in. */
  private queriesOf(job: string): (replica: ReplicaLocation) => Promise<ReplicaStatus> {
    const queries = new Map<string, Promise<ReplicaStatus>>();
    return (replica) => {
      const key = `${replica.address} ${replica.disk}`;
      const query = queries.get(key) ?? this.queryReplica(job, replica);
      queries.set(key, query);
      return query;
    };
  }

  private async entryStatusIn(
    zones: readonly (readonly ReplicaLocation[])[],
    query: (replica: ReplicaLocation) => Promise<ReplicaStatus>,
  ): Promise<EntryStatus> {
    if (!this.options.directory.isListed) return 'unsure';
    const statusesByZone = await Promise.all(
      zones.map((replicas) => Promise.all(replicas.map(query))),
    );
    if (statusesByZone.flat().includes('held')) return 'held';
    const areAllZonesSure = statusesByZone.every((statuses) => {
      const denials = statuses.filter((status) => status === 'not-held').length;
      return statuses.length > 0 && denials >= Math.min(REQUIRED_DENIALS, statuses.length);
    });
    return areAllZonesSure ? 'not-held' : 'unsure';
  }

  /** Latest holders of the jobs in this zone's journal whose entries the shared store may lack. */
  async unsyncedHolders(): Promise<readonly JournalHolder[]> {
    const replicas = this.options.directory.byZone().get(this.options.zone) ?? [];
    const answers = await Promise.all(
      replicas.map(({ address }) =>
        this.options.port.request<'journal-list'>(
          address,
          { kind: 'journal-list' },
          REPLICA_QUERY_TIMEOUT,
        ),
      ),
    );
    const holders = new Map<string, JournalHolder>();
    for (const outcome of answers) {
      if (outcome.kind !== 'answered') continue;
      for (const holder of outcome.answer.jobs) {
        const latestHolder = holders.get(holder.job);
        if (latestHolder === undefined || latestHolder.term < holder.term)
          holders.set(holder.job, holder);
      }
    }
    return [...holders.values()];
  }

  /**
   * Stops the replica on a machine from storing entries, unless it runs an older build; returns
   * whether it holds none. A replica that does not answer may hold some.
   */
  async drainReplica(node: NodeId): Promise<boolean> {
    const { directory, port } = this.options;
    const address = directory.replicaOn(node)?.address;
    if (address === undefined) return true;
    const drain = { kind: 'journal-drain' } as const;
    let outcome: PeerOutcome<'journal-drain' | 'journal-list'> =
      await port.request<'journal-drain'>(address, drain, REPLICA_QUERY_TIMEOUT);
    if (outcome.kind === 'unsupported') {
      const list = { kind: 'journal-list' } as const;
      outcome = await port.request<'journal-list'>(address, list, REPLICA_QUERY_TIMEOUT);
    }
    return outcome.kind === 'answered' && outcome.answer.jobs.length === 0;
  }

  /** The replicas of this zone, for jobs whose own replicas are not known. */
  replicasInOwnZone(): readonly ReplicaLocation[] {
    return this.options.directory.byZone().get(this.options.zone) ?? [];
  }

  private async queryReplica(
    job: string,
    { address, disk }: ReplicaLocation,
  ): Promise<ReplicaStatus> {
    const request = { kind: 'journal-look', job } as const;
    const outcome = await this.options.port.request<'journal-look'>(
      address,
      request,
      REPLICA_QUERY_TIMEOUT,
    );
    if (outcome.kind !== 'answered') return 'unsure';
    if (outcome.answer.holdsEntries) return 'held';
    return outcome.answer.disk === disk ? 'not-held' : 'other-disk';
  }
}

/** Status of a group whose replicas all have to store an entry before it counts. */
function statusOfGroup(statuses: readonly ReplicaStatus[]): EntryStatus {
  if (statuses.includes('held')) return 'held';
  const areDisksGone = statuses.every((status) => status === 'other-disk');
  return statuses.includes('not-held') || areDisksGone ? 'not-held' : 'unsure';
}
