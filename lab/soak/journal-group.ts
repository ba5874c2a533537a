/** Replicas of the zones' journals as processes of their own, each with a folder that is its disk. */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { freePorts, ProcessGroup, type StartedProcess } from '../demo/process-group.js';
import type { BuildRotation } from './build-rotation.js';

/** One replica; its process may be down. */
interface SoakReplica {
  readonly name: string;
  readonly settingsFile: string;
  readonly disk: string;
  process: StartedProcess;
}

/** Replicas of each zone: two disks may be lost at once. */
const REPLICAS_A_ZONE = 3;

/** First address of replicas on loopback. */
const FIRST_HOST = 101;

/** Starts, kills and wipes replicas. */
export class JournalGroup {
  private readonly replicas: SoakReplica[] = [];
  private readonly processes: ProcessGroup;

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
  }

  /** Kills a replica, and starts it again with its disk or an empty one. */
  async killAndRestart(target: number, disk: 'kept' | 'empty', pause: number): Promise<void> {
    const replica = this.replicas[target % this.replicas.length];
    if (replica === undefined) return;
    replica.process.child.kill('SIGKILL');
    await replica.process.exited;
    if (disk === 'empty') rmSync(replica.disk, { recursive: true, force: true });
    await sleep(pause);
    replica.process = this.launch(replica.name, replica.settingsFile);
  }

  /** Ends all replicas. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
  }

  private async add(name: string, zone: string, storeAddress: string): Promise<void> {
    const [port = 0] = await freePorts(1);
    const settingsFile = path.join(this.folder, `${name}.conf`);
    const disk = path.join(this.folder, `${name}-disk`);
    const lines = [
      `node_name=${name}`,
      `zone=${zone}`,
      'machine_class=storage',
      `ip=127.0.0.${FIRST_HOST + this.replicas.length}`,
      `internal_ports=${port},${port}`,
      `platform.address=${storeAddress}`,
      `data_dir=${disk}`,
      'fault_tolerance.zones=1',
      `fault_tolerance.machines=${REPLICAS_A_ZONE - 1}`,
    ];
    writeFileSync(settingsFile, `${lines.join('\n')}\n`);
    const process = this.launch(name, settingsFile);
    this.replicas.push({ name, settingsFile, disk, process });
  }

  private launch(name: string, settingsFile: string): StartedProcess {
    const script = this.builds.scriptFor(name, 'node');
    return this.processes.start(name, script, [], { WARDWING_CONFIG: settingsFile });
  }
}
