/** Journal replicas in temporary folders, behind a peer port that can simulate partitions. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type t from 'tap';
import type { JournalEntry } from '../../src/journal/journal-entries.js';
import { JournalReplica } from '../../src/journal/journal-replica.js';
import { ReplicaDirectory } from '../../src/journal/replica-directory.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import { REPLICA_PREFIX } from '../../src/journal/replica-record.js';
import { ZoneJournals } from '../../src/journal/zone-journals.js';
import type { PeerOutcome, PeerPort, PeerRequest } from '../../src/peers/peer-messages.js';
import type { Clock } from '../../src/serving/clock.js';
import { FleetMetrics } from '../../src/telemetry/fleet-metrics.js';
import { ManualClock, result, specification } from '../jobs/job-fixtures.js';
import { recordingLog } from '../serving/serving-fixtures.js';

type Test = Pick<typeof t, 'teardown'>;

export const ZONE = 'zone-1';

/** A folder that is removed after its test. */
export function temporaryFolder(test: Test): string {
  const folder = mkdtempSync(path.join(tmpdir(), 'journal-'));
  test.teardown(() => rmSync(folder, { recursive: true, force: true }));
  return folder;
}

export function openReplica(folder: string): Promise<JournalReplica> {
  const { log } = recordingLog();
  return JournalReplica.open(folder, { clock: new ManualClock(), log, retention: () => 120_000 });
}

/** Replicas of one zone, three by default, as a peer port. */
export class JournalZone implements PeerPort {
  /** Replicas by address; a missing one does not answer. */
  readonly replicas = new Map<string, JournalReplica>();
  /** Addresses of partitioned replicas. */
  readonly unreachable = new Set<string>();
  /** Replicas of other zones that answer and hold no entries, by address. */
  readonly emptyReplicas = new Map<string, ReplicaLocation>();
  readonly folders = new Map<string, string>();
  readonly locations: ReplicaLocation[] = [];
  readonly requests: PeerRequest[] = [];

  private constructor(
    private readonly test: Test,
    /** Name of the zone. */
    readonly name: string,
  ) {}

  static async open(test: Test, count = 3, name = ZONE, network = '10.0.0'): Promise<JournalZone> {
    const zone = new JournalZone(test, name);
    for (let index = 0; index < count; index += 1) await zone.add(`${network}.${index}:1`);
    return zone;
  }

  get addresses(): string[] {
    return [...this.folders.keys()];
  }

  private async add(address: string): Promise<void> {
    const folder = temporaryFolder(this.test);
    const replica = await openReplica(folder);
    this.replicas.set(address, replica);
    this.folders.set(address, folder);
    this.locations.push(this.locationOf(address, replica));
    this.test.teardown(() => replica.stop());
  }

  private locationOf(address: string, { disk }: JournalReplica): ReplicaLocation {
    return { node: `disk-${address}`, zone: this.name, address, disk };
  }

  /** Registers the disk that a replica has now, in place of an earlier one. */
  register(address: string): void {
    const replica = this.replicas.get(address);
    const index = this.locations.findIndex((location) => location.address === address);
    if (replica !== undefined) this.locations[index] = this.locationOf(address, replica);
  }

  /** Simulates a power failure and a restart, with the same disk or an empty one. */
  async restart(address: string, disk: 'kept' | 'empty' = 'kept'): Promise<void> {
    await this.replicas.get(address)?.stop();
    const before = this.folders.get(address) ?? '';
    const folder = disk === 'kept' ? before : temporaryFolder(this.test);
    this.folders.set(address, folder);
    const replica = await openReplica(folder);
    this.replicas.set(address, replica);
    this.test.teardown(() => replica.stop());
  }

  async request<Kind extends PeerRequest['kind']>(
    address: string,
    request: PeerRequest,
  ): Promise<PeerOutcome<Kind>> {
    this.requests.push(request);
    const emptyReplica = this.emptyReplicas.get(address);
    if (emptyReplica !== undefined) {
      const answer = { disk: emptyReplica.disk, holdsEntries: false };
      return { kind: 'answered', answer } as unknown as PeerOutcome<Kind>;
    }
    const replica = this.replicas.get(address);
    if (replica === undefined || this.unreachable.has(address)) return { kind: 'silent' };
    const answer = await replica.answer(request);
    return { kind: 'answered', answer } as PeerOutcome<Kind>;
  }

  /** The journals as used by a node of a zone that knows the replicas of all zones. */
  journals(
    writer: string,
    zone = ZONE,
    clock = new ManualClock(),
    otherReplicas: readonly ReplicaLocation[] = [],
  ): ZoneJournals {
    const locations = [...this.locations, ...otherReplicas];
    return openJournals({ port: this, locations, zone, writer, clock }).journals;
  }
}

/** What one node knows of the replicas, and the journals that it opens on them. */
export interface NodeJournals {
  readonly directory: ReplicaDirectory;
  readonly journals: ZoneJournals;
}

/** Opens the journals of a node whose directory lists replicas. */
export function openJournals(node: {
  readonly port: PeerPort;
  readonly locations: readonly ReplicaLocation[];
  readonly zone: string;
  readonly writer: string;
  readonly clock: Clock;
}): NodeJournals {
  const { port, locations, zone, writer, clock } = node;
  const directory = new ReplicaDirectory({ clock, groupSize: 3 });
  for (const location of locations) listReplica(directory, location);
  directory.noteListed();
  const options = { port, metrics: new FleetMetrics(), directory, zone, writer };
  return { directory, journals: new ZoneJournals(options) };
}

/** Has a directory list a replica, or the new disk of one that it lists. */
export function listReplica(directory: ReplicaDirectory, location: ReplicaLocation): void {
  const key = `${REPLICA_PREFIX}${location.node}`;
  directory.applyChange({ key, value: JSON.stringify(location), revision: 1 });
}

export const CREATED_ENTRY: JournalEntry = {
  kind: 'created',
  spec: specification('job', 2),
  replicas: [],
};

export function page(number: number): JournalEntry {
  return { kind: 'page', number, results: [result(number)] };
}
