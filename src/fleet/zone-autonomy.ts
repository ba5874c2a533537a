/** What a gateway has for its zone to go on by itself: the replicas, the journals, and who writes them. */
import type { NodeId, ZoneName } from '../core/identity.js';
import type { JobOwner } from '../jobs/job-records.js';
import { ReplicaDirectory } from '../journal/replica-directory.js';
import { ZoneJournals } from '../journal/zone-journals.js';
import type { PeerPort } from '../peers/peer-messages.js';
import type { Clock } from '../serving/clock.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { FleetRegistry } from './fleet-registry.js';

/** Options of {@link ZoneAutonomy}. */
export interface ZoneAutonomyOptions {
  /** Whether zones serve their own callers; else there are no journals. */
  readonly isEnabled: boolean;
  /** Replicas that keep a job. */
  readonly groupSize: number;
  readonly self: JobOwner;
  readonly zone: ZoneName;
  readonly fleet: FleetRegistry;
  readonly port: PeerPort;
  readonly clock: Clock;
  readonly metrics: FleetMetrics;
}

/** The journals of the zones, as far as there are any. */
export class ZoneAutonomy {
  /** `undefined` where zones don't serve their own callers. */
  readonly journals: ZoneJournals | undefined;
  private readonly directory: ReplicaDirectory;

  constructor(private readonly options: ZoneAutonomyOptions) {
    const { isEnabled: isOn, self, fleet } = options;
    this.directory = new ReplicaDirectory(options);
    fleet.otherChanges.subscribe((change) => this.directory.applyChange(change));
    fleet.listed.subscribe(() => this.directory.noteListed());
    const shared = { ...options, directory: this.directory };
    this.journals = isOn ? new ZoneJournals({ ...shared, writer: writerOf(self) }) : undefined;
  }

  /** Whether this zone takes jobs in while the store is out of reach. */
  get acceptsJobsWithoutStore(): boolean {
    return this.journals?.isUsable ?? false;
  }

  /** Whether a life of a node that wrote to a journal is live. */
  isWriterLive(writer: string): boolean {
    return this.options.fleet.liveIncarnations().some((owner) => writerOf(owner) === writer);
  }

  /** Whether a machine with a disk holds nothing that the store lacks. */
  async isStorageEmpty(node: NodeId): Promise<boolean> {
    return this.journals === undefined || !(await this.journals.holdsEntries(node));
  }

  /** A machine with a disk is to be emptied: it gets no new jobs. */
  noteDraining(node: NodeId): void {
    this.directory.noteDraining(node);
  }
}

/** The name under which a life of a node writes to journals. */
function writerOf({ node, incarnation }: JobOwner): string {
  return `${node}/${incarnation}`;
}
