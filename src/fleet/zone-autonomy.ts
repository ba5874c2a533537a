/**
 * Lets a zone accept jobs without the store: joins the zones' journals, the directory of their
 * replicas, and the liveness of journal writers.
 */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { JobOwner } from '../jobs/job-records.js';
import { ReplicaDrain } from '../jobs/replica-drain.js';
import { ReplicaDirectory } from '../journal/replica-directory.js';
import { ZoneJournals } from '../journal/zone-journals.js';
import type { PeerPort } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { SharedStore } from '../shared-store/shared-store.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { FleetRegistry } from './fleet-registry.js';

export interface ZoneAutonomyOptions {
  /** Whether zones serve their own callers; otherwise there are no journals. */
  readonly isEnabled: boolean;
  /** Number of replicas that store a job. */
  readonly groupSize: number;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly fleet: FleetRegistry;
  readonly port: PeerPort;
  readonly store: SharedStore;
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: FleetMetrics;
}

export class ZoneAutonomy {
  /** `undefined` where zones don't serve their own callers. */
  readonly journals: ZoneJournals | undefined;
  private readonly directory: ReplicaDirectory;
  private readonly drain: ReplicaDrain | undefined;

  constructor(private readonly options: ZoneAutonomyOptions) {
    const { isEnabled, self, fleet } = options;
    this.directory = new ReplicaDirectory(options);
    fleet.otherChanges.subscribe((change) => this.directory.applyChange(change));
    fleet.listed.subscribe(() => this.directory.noteListed());
    const shared = { ...options, directory: this.directory };
    this.journals = isEnabled ? new ZoneJournals({ ...shared, writer: writerOf(self) }) : undefined;
    const { journals } = this;
    this.drain = journals && new ReplicaDrain({ ...options, journals });
  }

  /** Whether this zone accepts jobs while the store is unreachable. */
  get acceptsJobsWithoutStore(): boolean {
    return this.journals?.isUsable ?? false;
  }

  /** Whether the node incarnation that wrote to a journal is live. */
  isWriterLive(writer: string): boolean {
    return this.options.fleet.liveIncarnations().some((owner) => writerOf(owner) === writer);
  }

  /**
   * Whether a storage node that is being drained can be removed: it holds no data that the store
   * lacks, and no trainer's jobs are accepted by it. Moves the trainers that still use it.
   */
  async isStorageEmpty(node: NodeId): Promise<boolean> {
    return this.drain === undefined || this.drain.isEmpty(node);
  }

  /** Excludes a storage node that is being drained from new jobs. */
  noteDraining(node: NodeId): void {
    this.directory.noteDraining(node);
  }
}

/** The name under which a node incarnation writes to journals. */
function writerOf({ node, incarnation }: JobOwner): string {
  return `${node}/${incarnation}`;
}
