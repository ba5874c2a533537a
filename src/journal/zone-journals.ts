/**
 * The journals of all zones, as one gateway uses them: it opens the journals of jobs that it runs,
 * and asks what the journals of other zones hold before it says that something is not there.
 *
 * A zone that is cut off from the shared store goes on taking jobs in and listing results by its
 * journal. Meanwhile a node outside knows only what the store holds, and must not answer as if that
 * were all.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { PeerPort } from '../peers/peer-messages.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import { JobJournal } from './job-journal.js';
import type { JournalHolder } from './journal-entries.js';
import type { ReplicaDirectory } from './replica-directory.js';
import type { ReplicaLocation } from './replica-location.js';

/** Time for a replica of any zone to answer what it holds. */
const LOOK_LIMIT: Milliseconds = 300;

/**
 * Replicas of a zone that have to deny a job whose own replicas are not known: one of them may have
 * come after the job.
 */
const DENIALS = 2;

/** The first term of a job; each further owner writes under the next. */
export const FIRST_TERM = 1;

/** Options of {@link ZoneJournals}. */
export interface ZoneJournalsOptions {
  readonly port: PeerPort;
  readonly metrics: FleetMetrics;
  readonly directory: ReplicaDirectory;
  readonly zone: ZoneName;
  /** Names this life of this node. */
  readonly writer: string;
}

/** What replicas told of a job: `held` by one at least, `not-held` surely, or nothing sure. */
export type EntryStatus = 'held' | 'not-held' | 'unsure';

/** Opens journals of jobs, and looks into those of others. */
export class ZoneJournals {
  constructor(private readonly options: ZoneJournalsOptions) {}

  /** The zone of this node. */
  get zone(): ZoneName {
    return this.options.zone;
  }

  /** Whether this zone has the replicas to take jobs in by itself. */
  get isUsable(): boolean {
    return this.options.directory.groupFor('', this.options.zone) !== undefined;
  }

  /** The journal of a job that is handed in here; `undefined` where the zone has too few replicas. */
  openNew(job: string): JobJournal | undefined {
    const { directory, zone } = this.options;
    const replicas = directory.groupFor(job, zone);
    return replicas === undefined ? undefined : this.open(job, replicas, FIRST_TERM);
  }

  /** The journal of a job that has one, under a term. */
  open(job: string, replicas: readonly ReplicaLocation[], term: number): JobJournal {
    const { port, metrics, writer } = this.options;
    return new JobJournal({ port, metrics, replicas, holder: { job, term, writer } });
  }

  /** Whether the replicas of a job hold entries of it that the store may lack. */
  async entryStatus(job: string, replicas: readonly ReplicaLocation[]): Promise<EntryStatus> {
    const answers = await Promise.all(replicas.map((replica) => this.look(job, replica)));
    if (answers.includes('held')) return 'held';
    return answers.includes('not-held') ? 'not-held' : 'unsure';
  }

  /**
   * Whether the journal of any zone holds entries of a job that the store does not know. Surely not
   * only where replicas of each zone that has any say so.
   */
  entryStatusInAllZones(job: string): Promise<EntryStatus> {
    return this.sightIn([...this.options.directory.byZone().values()], job);
  }

  /** The same without this zone, whose journal this node has claimed. */
  entryStatusInOtherZones(job: string): Promise<EntryStatus> {
    const zones = new Map(this.options.directory.byZone());
    zones.delete(this.options.zone);
    return this.sightIn([...zones.values()], job);
  }

  private async sightIn(
    zones: readonly (readonly ReplicaLocation[])[],
    job: string,
  ): Promise<EntryStatus> {
    if (!this.options.directory.isListed) return 'unsure';
    const sights = await Promise.all(
      zones.map((replicas) => Promise.all(replicas.map((replica) => this.look(job, replica)))),
    );
    if (sights.flat().includes('held')) return 'held';
    const isSure = sights.every((told) => {
      const denials = told.filter((sight) => sight === 'not-held').length;
      return told.length > 0 && denials >= Math.min(DENIALS, told.length);
    });
    return isSure ? 'not-held' : 'unsure';
  }

  /** Holders of jobs in this zone's journal that the store may not know, with their replicas. */
  async unsyncedHolders(): Promise<readonly JournalHolder[]> {
    const replicas = this.options.directory.byZone().get(this.options.zone) ?? [];
    const answers = await Promise.all(
      replicas.map(({ address }) =>
        this.options.port.request<'journal-list'>(address, { kind: 'journal-list' }, LOOK_LIMIT),
      ),
    );
    const holders = new Map<string, JournalHolder>();
    for (const outcome of answers) {
      if (outcome.kind !== 'answered') continue;
      for (const holder of outcome.answer.jobs) {
        const known = holders.get(holder.job);
        if (known === undefined || known.term < holder.term) holders.set(holder.job, holder);
      }
    }
    return [...holders.values()];
  }

  /** Whether the replica on a machine holds entries, or may: one that does not answer may. */
  async holdsEntries(node: NodeId): Promise<boolean> {
    const replica = this.options.directory.replicaOn(node);
    if (replica === undefined) return false;
    const request = { kind: 'journal-list' } as const;
    const outcome = await this.options.port.request<'journal-list'>(
      replica.address,
      request,
      LOOK_LIMIT,
    );
    return outcome.kind !== 'answered' || outcome.answer.jobs.length > 0;
  }

  /** The replicas of this zone, for jobs whose own are not known. */
  replicasInOwnZone(): readonly ReplicaLocation[] {
    return this.options.directory.byZone().get(this.options.zone) ?? [];
  }

  private async look(job: string, { address, disk }: ReplicaLocation): Promise<EntryStatus> {
    const request = { kind: 'journal-look', job } as const;
    const outcome = await this.options.port.request<'journal-look'>(address, request, LOOK_LIMIT);
    if (outcome.kind !== 'answered') return 'unsure';
    if (outcome.answer.holdsEntries) return 'held';
    return outcome.answer.disk === disk ? 'not-held' : 'unsure';
  }
}
