/** Replicas of the zones' journals as processes of their own, each with a folder that is its disk. */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { PeerClient } from '../../src/peers/peer-client.js';
import { freePorts, ProcessGroup, type StartedProcess } from '../demo/process-group.js';
import type { BuildRotation } from './build-rotation.js';
import { DiskLosses, disksToLose, TOLERATED_DISK_LOSSES } from './disk-losses.js';

/** One replica; its process may be down. */
interface SoakReplica {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly settingsFile: string;
  readonly disk: string;
  process: StartedProcess;
}

/** How the replicas go on after a loss of all power. */
export interface ReplicaRestart {
  /** The zone that loses disks. */
  readonly zone: string;
  /** Order in which its disks are chosen, as indices. */
  readonly diskOrder: readonly number[];
  /** Time after which each replica starts again. */
  readonly delays: readonly Milliseconds[];
}

/** Replicas of each zone: two disks may be lost at once. */
export const REPLICAS_A_ZONE = TOLERATED_DISK_LOSSES + 1;

/** First address of replicas on loopback. */
const FIRST_HOST = 101;

/** Interval at which replicas are asked for what the store lacks, and the limit for an answer. */
const SYNC_CHECK_INTERVAL: Milliseconds = 300;
const SYNC_CHECK_LIMIT: Milliseconds = 500;

/** Starts, kills and wipes replicas. */
export class JournalGroup {
  private readonly replicas: SoakReplica[] = [];
  private readonly processes: ProcessGroup;
  private readonly losses = new DiskLosses();
  private readonly peers = new PeerClient();
  private isStopped = false;
  private syncChecks: Promise<void> = Promise.resolve();

  constructor(
    private readonly folder: string,
    private readonly builds: BuildRotation,
  ) {
    mkdirSync(folder, { recursive: true });
    this.processes = new ProcessGroup(path.join(folder, 'logs'));
  }

  /** Starts the replicas of some zones; each registers itself at the store's address. */
  async start(zones: readonly string[], openStore: () => Promise<string>): Promise<void> {
    for (const zone of zones) {
      for (let index = 0; index < REPLICAS_A_ZONE; index += 1) {
        await this.add(`disk-${zone}-${index + 1}`, zone, await openStore());
      }
    }
    this.syncChecks = this.checkSynced(zones);
  }

  /**
   * Kills a replica, and starts it again with its disk or an empty one. The disk is kept where its
   * zone may not lose another one yet.
   */
  async killAndRestart(target: number, disk: 'kept' | 'empty', pause: number): Promise<void> {
    const replica = this.replicas[target % this.replicas.length];
    if (replica === undefined) return;
    replica.process.child.kill('SIGKILL');
    await replica.process.exited;
    if (disk === 'empty' && this.losses.mayLose(replica.zone, replica.name)) this.empty(replica);
    await sleep(pause);
    replica.process = this.launch(replica.name, replica.settingsFile);
  }

  /** Kills all replicas at the same moment. */
  killAll(): Promise<void> {
    return this.processes.killAll();
  }

  /** Empties disks of one zone and starts all replicas again; returns those whose disk is empty. */
  async restartAll({ zone, diskOrder, delays }: ReplicaRestart): Promise<readonly string[]> {
    const inZone = this.replicas.filter((replica) => replica.zone === zone);
    const preferred = diskOrder.flatMap((index) => inZone[index]?.name ?? []);
    const lost = disksToLose(preferred, this.losses.lostIn(zone));
    for (const replica of inZone) if (lost.includes(replica.name)) this.empty(replica);
    await Promise.all(
      this.replicas.map(async (replica, index) => {
        await sleep(delays[index] ?? 0);
        replica.process = this.launch(replica.name, replica.settingsFile);
      }),
    );
    return lost;
  }

  /** How many jobs have entries that replicas hold and the store may lack. */
  async countUnsyncedJobs(): Promise<number> {
    const held = await Promise.all(this.replicas.map((replica) => this.jobsHeldBy(replica)));
    return new Set(held.flatMap((jobs) => jobs ?? [])).size;
  }

  /** Ends all replicas. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.syncChecks;
    await this.processes.stopAll();
  }

  private empty(replica: SoakReplica): void {
    this.losses.noteLost(replica.zone, replica.name);
    rmSync(replica.disk, { recursive: true, force: true });
  }

  /** A kept change is on all disks of its group, so those that are left tell what the store lacks. */
  private async checkSynced(zones: readonly string[]): Promise<void> {
    while (!this.isStopped) {
      await sleep(SYNC_CHECK_INTERVAL);
      for (const zone of zones) {
        const lost = this.losses.lostIn(zone);
        if (lost.length === 0) continue;
        const others = this.replicas.filter(
          (replica) => replica.zone === zone && !lost.includes(replica.name),
        );
        const areSynced = await Promise.all(others.map((replica) => this.holdsNothing(replica)));
        const isSameLoss = this.losses.lostIn(zone).length === lost.length;
        if (isSameLoss && areSynced.every((isSynced) => isSynced)) this.losses.noteSynced(zone);
      }
    }
  }

  private async holdsNothing(replica: SoakReplica): Promise<boolean> {
    return (await this.jobsHeldBy(replica))?.length === 0;
  }

  /** Jobs of which a replica holds entries that the store may lack; `undefined` without an answer. */
  private async jobsHeldBy({ address }: SoakReplica): Promise<readonly string[] | undefined> {
    const request = { kind: 'journal-list' } as const;
    const outcome = await this.peers.request<'journal-list'>(address, request, SYNC_CHECK_LIMIT);
    return outcome.kind === 'answered' ? outcome.answer.jobs.map(({ job }) => job) : undefined;
  }

  private async add(name: string, zone: string, storeAddress: string): Promise<void> {
    const [port = 0] = await freePorts(1);
    const host = `127.0.0.${FIRST_HOST + this.replicas.length}`;
    const settingsFile = path.join(this.folder, `${name}.conf`);
    const disk = path.join(this.folder, `${name}-disk`);
    const lines = [
      `node_name=${name}`,
      `zone=${zone}`,
      'machine_class=storage',
      `ip=${host}`,
      `internal_ports=${port},${port}`,
      `platform.address=${storeAddress}`,
      `data_dir=${disk}`,
      'fault_tolerance.zones=1',
      `fault_tolerance.machines=${TOLERATED_DISK_LOSSES}`,
    ];
    writeFileSync(settingsFile, `${lines.join('\n')}\n`);
    const process = this.launch(name, settingsFile);
    const address = `${host}:${port}`;
    this.replicas.push({ name, zone, address, settingsFile, disk, process });
  }

  private launch(name: string, settingsFile: string): StartedProcess {
    const script = this.builds.scriptFor(name, 'node');
    return this.processes.start(name, script, [], { WARDWING_CONFIG: settingsFile });
  }
}
