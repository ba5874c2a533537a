/** Real gateways as processes of their own, each behind a proxy on its way to the store. */

import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { freePorts, isRunning, ProcessGroup, type StartedProcess } from '../demo/process-group.js';
import { TcpProxy } from '../faults/tcp-proxy.js';
import type { BuildRotation } from './build-rotation.js';
import { COLD } from './cold-request-counter.js';
import { gatewayHost, linkHost } from './gateway-hosts.js';
import { TRANSFER_DELAY } from './order-turns.js';
import { RegionLink } from './region-link.js';
import { SENDER_HOST, SENDER_NAME } from './request-sender.js';
import { EVACUATION_BOUND } from './soak-evacuations.js';
import type { StoreDoor } from './store-door.js';

/** One gateway; its process may be down. */
export interface SoakGateway {
  name: string;
  readonly zone: string;
  address: string;
  readonly storeLink: TcpProxy;
  /** The way to it from gateways of other regions. */
  regionLink: RegionLink;
  readonly storeAddress: string;
  /** Its own entrance to the store, which may turn it away. */
  readonly storeDoor: StoreDoor;
  settingsFile: string;
  process: StartedProcess;
}

/** What a gateway gets anew when another machine takes its place. */
type GatewayPlace = Pick<SoakGateway, 'name' | 'address' | 'settingsFile' | 'regionLink'>;

/** The zones; gateways are in them in turn. */
export const ZONES = ['zone-a', 'zone-b'];

/** The region of each zone. */
export const ZONE_REGIONS: ReadonlyMap<string, string> = new Map([
  ['zone-a', 'region-a'],
  ['zone-b', 'region-b'],
]);

/** Time to the forced end of a gateway that is asked to stop, in seconds. */
const GRACE_SECONDS = 6;

/** What each gateway loads ahead of its program; this build's for the programs of all builds. */
const PRELOAD = new URL('gateway-preload.js', import.meta.url).href;

/** Memory of a gateway's machine, in megabytes. */
export const MEMORY_MEGABYTES = 350;

/** Signals of the faults; a reload ends a process that has not set its handler yet. */
const SENT_SIGNALS: ReadonlySet<string> = new Set(['SIGKILL', 'SIGTERM', 'SIGHUP']);

/** A process that ended although nobody ended it, or that had more memory than its machine. */
export interface ProcessFault {
  readonly name: string;
  readonly detail: string;
}

/** Starts, signals and restarts gateways. */
export class GatewayGroup {
  readonly gateways: SoakGateway[] = [];
  private readonly readers: SoakGateway[] = [];
  private readonly processes: ProcessGroup;
  private added = 0;
  private readonly ownEnds: ProcessFault[] = [];

  constructor(
    private readonly folder: string,
    private readonly openStore: () => Promise<StoreDoor>,
    private readonly builds: BuildRotation,
  ) {
    mkdirSync(folder, { recursive: true });
    this.processes = new ProcessGroup(path.join(folder, 'logs'));
  }

  /** Starts so many gateways before a store. */
  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      this.gateways.push(await this.create(ZONES[this.added % ZONES.length] ?? ''));
    }
  }

  /** Kills all gateways at the same moment. */
  killAll(): Promise<void> {
    return this.processes.killAll();
  }

  /** Starts all gateways again, each after its delay. */
  async restartAll(delays: readonly number[]): Promise<void> {
    await Promise.all(
      this.gateways.map(async (gateway, index) => {
        await sleep(delays[index] ?? 0);
        this.launch(gateway);
      }),
    );
  }

  /** Starts one more gateway in each zone, which callers are not told of. */
  async startReaders(): Promise<readonly SoakGateway[]> {
    for (const zone of ZONES) this.readers.push(await this.create(zone));
    return this.readers;
  }

  /** A machine is gone for good; another one takes its place under another name and address. */
  async replace(gateway: SoakGateway, pause: number): Promise<void> {
    gateway.process.child.kill('SIGKILL');
    await gateway.process.exited;
    await sleep(pause);
    const place = await this.settle(gateway.storeAddress, gateway.zone);
    // A restart that overlaps may have started the machine that is gone.
    while (isRunning(gateway.process)) {
      gateway.process.child.kill('SIGKILL');
      await gateway.process.exited;
    }
    gateway.regionLink.close();
    Object.assign(gateway, place);
    this.launch(gateway);
  }

  /** Kills a gateway as a crash does, and starts it again after a while. */
  async killAndRestart(gateway: SoakGateway, pause: number): Promise<void> {
    gateway.process.child.kill('SIGKILL');
    await gateway.process.exited;
    await sleep(pause);
    this.launch(gateway);
  }

  /** Asks a gateway to stop, and starts it again when it has. */
  async stopAndRestart(gateway: SoakGateway): Promise<void> {
    gateway.process.child.kill('SIGTERM');
    const forced = setTimeout(() => gateway.process.child.kill('SIGKILL'), 1_000 * GRACE_SECONDS);
    await gateway.process.exited;
    clearTimeout(forced);
    this.launch(gateway);
  }

  /** Lets a gateway stand still for a while. */
  async pause(gateway: SoakGateway, duration: number): Promise<void> {
    const { child } = gateway.process;
    child.kill('SIGSTOP');
    await sleep(duration);
    child.kill('SIGCONT');
  }

  /** Reloads, pauses and stops a gateway in quick turns; it starts again after it has ended. */
  async signalInSeries(gateway: SoakGateway, count: number, pause: number): Promise<void> {
    const { child } = gateway.process;
    for (let sent = 0; sent < count; sent += 1) {
      child.kill('SIGHUP');
      child.kill('SIGSTOP');
      await sleep(pause);
      child.kill('SIGCONT');
    }
    await this.stopAndRestart(gateway);
  }

  /** Ends all gateways and their links. */
  async stop(): Promise<void> {
    await this.processes.stopAll();
    for (const { storeLink, regionLink } of [...this.gateways, ...this.readers]) {
      regionLink.close();
      await storeLink.close();
    }
  }

  /** Gateways that ended by themselves so far, and those that had more memory than their machine. */
  processFaults(): readonly ProcessFault[] {
    const running = this.gateways.filter(({ process }) => isRunning(process));
    const tooLarge = running.flatMap(({ name, process }) => {
      const peak = peakMegabytes(process.child.pid);
      const detail = `had ${peak} MB of ${MEMORY_MEGABYTES}`;
      return peak > MEMORY_MEGABYTES ? [{ name, detail }] : [];
    });
    return [...this.ownEnds.splice(0), ...tooLarge];
  }

  /** The gateway that has a name now. */
  named(name: string | undefined): SoakGateway | undefined {
    return [...this.gateways, ...this.readers].find((gateway) => gateway.name === name);
  }

  private async create(zone: string): Promise<SoakGateway> {
    const storeDoor = await this.openStore();
    const storeLink = new TcpProxy({ target: storeDoor.address });
    const storeAddress = await storeLink.start();
    const place = await this.settle(storeAddress, zone);
    const process = this.process(place);
    return { ...place, zone, storeLink, storeAddress, storeDoor, process };
  }

  /** A name, an address and a settings file that no gateway had before. */
  private async settle(storeAddress: string, zone: string): Promise<GatewayPlace> {
    const index = this.added;
    this.added += 1;
    const [front = 0, peer = 0] = await freePorts(2);
    const name = `gateway-${index + 1}`;
    const host = gatewayHost(ZONES.indexOf(zone), index);
    const regionLink = new RegionLink(host, peer);
    await regionLink.listen(linkHost(host), peer);
    const settingsFile = path.join(this.folder, `${name}.conf`);
    const lines = [
      `node_name=${name}`,
      `zone=${zone}`,
      'machine_class=front',
      `ip=${host}`,
      `internal_ports=${peer},${peer}`,
      `listen.front=${host}:${front}`,
      `platform.address=${storeAddress}`,
      `bounds.lease_ms=${TRANSFER_DELAY}`,
      'bounds.require_fence=false',
      `bounds.grace_s=${GRACE_SECONDS}`,
      `bounds.evacuation_ms=${EVACUATION_BOUND}`,
      `bounds.cold_overrun=${COLD.factor}`,
      `bounds.cold_slack=${COLD.requests}`,
      ...[...ZONE_REGIONS].map(([name, region]) => `zones.${name}=${region}`),
      `limits.memory_mb=${MEMORY_MEGABYTES}`,
      'fault_tolerance.zones=1',
      'fault_tolerance.machines=2',
    ];
    writeFileSync(settingsFile, `${lines.join('\n')}\n`);
    return { name, address: `${host}:${front}`, settingsFile, regionLink };
  }

  /** Starts a gateway, unless a fault that overlaps has started it already. */
  private launch(gateway: SoakGateway): void {
    if (!isRunning(gateway.process)) gateway.process = this.process(gateway);
  }

  private process({ name, address, settingsFile }: GatewayPlace): StartedProcess {
    const program = this.isSuspendable(name) ? 'suspendableNode' : 'node';
    const script = this.builds.scriptFor(name, program);
    const [host = ''] = address.split(':');
    const started = this.processes.start(name, script, [], {
      WARDWING_CONFIG: settingsFile,
      NODE_OPTIONS: `${process.env.NODE_OPTIONS ?? ''} --import=${PRELOAD}`,
      [SENDER_NAME]: name,
      [SENDER_HOST]: host,
    });
    started.child.once('exit', (code, signal) => {
      const isAsked = code === 0 || (signal !== null && SENT_SIGNALS.has(signal));
      if (!isAsked) this.ownEnds.push({ name, detail: `ended with ${signal ?? code}` });
    });
    return started;
  }

  /** A pause of every second gateway is a suspension; of the others, a machine that stands still. */
  private isSuspendable(name: string): boolean {
    return Number(name.split('-').at(-1)) % 2 === 0;
  }
}

/** Most memory that a process has had resident, in megabytes; 0 if it has just ended. */
function peakMegabytes(pid: number | undefined): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Math.round(Number(/VmHWM:\s*(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024);
  } catch {
    return 0;
  }
}
