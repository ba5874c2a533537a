/** Starts one deployment as processes on loopback: platform stand-ins, engines and nodes. */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import type { MachineRecord } from '../../src/platform/worker.js';
import { TcpProxy } from '../faults/tcp-proxy.js';
import { requestJson } from '../load/json-client.js';
import { type DemoDeployment, NODES_PER_ZONE } from './deployments.js';
import { ACCOUNT_TOKENS, nodeSettingsText, PEER_TOKEN_VARIABLE } from './node-settings.js';
import {
  freePorts,
  type ProcessGroup,
  productScript,
  type StartedProcess,
} from './process-group.js';
import { RunningEngines } from './running-engines.js';

const PEER_TOKEN = 'demo-peer-token-of-all-nodes';
/** How late the machine list shows a change, in milliseconds. */
export const MACHINE_LIST_LAG = 1_000;
/** The weight store takes a second for one version. */
const WEIGHT_BYTES_PER_SECOND = 1_000_000_000;
const WEIGHT_VERSION_BYTES = 1_000_000_000;
const LAB_TIMEOUT_MILLISECONDS = 5_000;
const READY_LIMIT_MILLISECONDS = 20_000;
const READY_POLL_MILLISECONDS = 100;

/** One node of a running deployment. */
export interface DemoNode {
  readonly name: string;
  readonly zone: string;
  readonly settingsFile: string;
  /** Address for callers. */
  readonly address: string;
  /** Address by which other nodes reach it. */
  readonly advertised: string;
  process: StartedProcess;
}

/** How a deployment is started. */
export interface RunningDeploymentOptions {
  /** Puts a proxy with faults before each node, each engine and the key-value service. */
  readonly proxied?: boolean;
}

/** A deployment that runs. */
export class RunningDeployment {
  readonly nodes: DemoNode[] = [];
  readonly tokens = ACCOUNT_TOKENS;
  readonly engines: RunningEngines;
  /** Proxies before the nodes' peer ports, by node; empty without proxies. */
  readonly peerProxies = new Map<string, TcpProxy>();
  /** Proxies before the key-value service, one for each zone's nodes; empty without proxies. */
  readonly keyValueProxies = new Map<string, TcpProxy>();
  private readonly proxied: boolean;
  private readonly leavingWorkers = new Set<string>();
  private machineListAddress = '';
  private keyValueAddress = '';

  constructor(
    readonly deployment: DemoDeployment,
    private readonly group: ProcessGroup,
    private readonly folder: string,
    options: RunningDeploymentOptions = {},
  ) {
    this.proxied = options.proxied === true;
    this.engines = new RunningEngines(deployment, group, folder, this.proxied);
  }

  /** Starts everything and waits until all nodes are ready. */
  async start(): Promise<void> {
    const { name } = this.deployment;
    const [keyValue, machineList, weightStore] = await Promise.all([
      this.group.startEmulator(`${name}-key-value`, ['key-value']),
      this.group.startEmulator(`${name}-machine-list`, [
        'machine-list',
        '--lag',
        String(MACHINE_LIST_LAG),
      ]),
      this.group.startEmulator(`${name}-weight-store`, [
        'weight-store',
        '--bytes-per-second',
        String(WEIGHT_BYTES_PER_SECOND),
        '--version-bytes',
        String(WEIGHT_VERSION_BYTES),
      ]),
    ]);
    this.keyValueAddress = keyValue;
    this.machineListAddress = machineList;
    await this.engines.start(weightStore);
    await this.planNodes();
    await this.publishMachines();
    for (const node of this.nodes) node.process = this.startNode(node);
    await Promise.all(this.nodes.map((node) => this.untilReady(node)));
  }

  /** Kills a node's process without warning. */
  async killNode(node: DemoNode): Promise<void> {
    node.process.child.kill('SIGKILL');
    await node.process.exited;
  }

  /** Starts a node again, as another life without memory. */
  restartNode(node: DemoNode): void {
    node.process = this.startNode(node);
  }

  /** Freezes a node's process, or lets it go on. */
  signalNode(node: DemoNode, signal: 'SIGSTOP' | 'SIGCONT' | 'SIGTERM'): void {
    node.process.child.kill(signal);
  }

  /** Asks a node to stop in order; resolves with its exit code. */
  stopNode(node: DemoNode): Promise<number | null> {
    this.signalNode(node, 'SIGTERM');
    return node.process.exited;
  }

  /** Waits until a node says that it is ready. Throws where it takes too long. */
  async untilReady(node: DemoNode): Promise<void> {
    const end = performance.now() + READY_LIMIT_MILLISECONDS;
    let last = 'no answer';
    while (performance.now() < end) {
      const request = { method: 'GET', address: node.address, path: '/readyz' } as const;
      const answer = await requestJson({ ...request, timeout: 1_000 });
      if (answer?.status === 200) return;
      if (answer !== undefined) last = JSON.stringify(answer.document);
      const { exitCode } = node.process.child;
      if (exitCode !== null) throw new Error(`node ${node.name} ended with ${exitCode}`);
      await pause(READY_POLL_MILLISECONDS);
    }
    throw new Error(`node ${node.name} did not become ready: ${last}`);
  }

  /** Marks the machine of a worker as leaving in the machine list. */
  async markLeaving(worker: string): Promise<void> {
    this.leavingWorkers.add(worker);
    await this.publishMachines();
  }

  /** Marks the machine of a worker as live again. */
  async markLive(worker: string): Promise<void> {
    this.leavingWorkers.delete(worker);
    await this.publishMachines();
  }

  /** Sets faults of the key-value service; see its `/lab/faults`. */
  async setKeyValueFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.post(this.keyValueAddress, '/lab/faults', faults);
  }

  /** Addresses for callers. */
  addresses(): readonly string[] {
    return this.nodes.map((node) => node.address);
  }

  /** Ends the proxies, which run in this process. */
  async close(): Promise<void> {
    const groups = [this.peerProxies, this.engines.proxies, this.keyValueProxies];
    const proxies = groups.flatMap((group) => [...group.values()]);
    await Promise.all(proxies.map((proxy) => proxy.close()));
  }

  private async planNodes(): Promise<void> {
    const { zones, name } = this.deployment;
    const names = zones.flatMap((zone) =>
      Array.from({ length: NODES_PER_ZONE }, (_unused, index) => {
        return { zone, node: `${zone.split('-')[0]}-${index + 1}` };
      }),
    );
    const keyValueOf = await this.keyValueEndpoints();
    const ports = await freePorts(names.length * 2);
    for (const [index, { zone, node }] of names.entries()) {
      const address = `127.0.0.1:${ports[index * 2]}`;
      const peerAddress = `127.0.0.1:${ports[index * 2 + 1]}`;
      const advertised = await this.advertisedAddress(node, peerAddress);
      const settingsFile = path.join(this.folder, `${name}-${node}.toml`);
      const planned = { name: node, zone, address, peerAddress, advertised };
      const machineList = this.machineListAddress;
      const keyValue = keyValueOf.get(zone) ?? this.keyValueAddress;
      const text = nodeSettingsText(this.deployment, { ...planned, keyValue, machineList });
      writeFileSync(settingsFile, text);
      const process = undefined as unknown as StartedProcess;
      this.nodes.push({ name: node, zone, settingsFile, address, advertised, process });
    }
  }

  /** Where the nodes of each zone reach the key-value service; empty without proxies. */
  private async keyValueEndpoints(): Promise<ReadonlyMap<string, string>> {
    const endpoints = new Map<string, string>();
    if (!this.proxied) return endpoints;
    for (const zone of this.deployment.zones) {
      const proxy = new TcpProxy({ target: this.keyValueAddress });
      this.keyValueProxies.set(zone, proxy);
      endpoints.set(zone, await proxy.start());
    }
    return endpoints;
  }

  private async advertisedAddress(node: string, peerAddress: string): Promise<string> {
    if (!this.proxied) return peerAddress;
    const proxy = new TcpProxy({ target: peerAddress, senders: this.deployment.zones });
    this.peerProxies.set(node, proxy);
    return proxy.start();
  }

  private async publishMachines(): Promise<void> {
    const machines: MachineRecord[] = this.nodes.map((node) => ({
      machine: `machine-${node.name}`,
      zone: node.zone,
      state: 'live',
      nodeAddresses: [node.advertised],
      workers: [],
    }));
    for (const worker of this.engines.workers()) {
      const machine = `machine-${worker.worker}`;
      const state = this.leavingWorkers.has(worker.worker) ? 'leaving' : 'live';
      machines.push({ machine, zone: worker.zone, state, nodeAddresses: [], workers: [worker] });
    }
    await this.post(this.machineListAddress, '/lab/machines', machines);
  }

  private async post(address: string, route: string, body: unknown): Promise<void> {
    const request = { method: 'POST', address, path: route, body } as const;
    await requestJson({ ...request, timeout: LAB_TIMEOUT_MILLISECONDS });
  }

  private startNode(node: DemoNode): StartedProcess {
    return this.group.start(
      `${this.deployment.name}-${node.name}`,
      productScript(),
      ['node', '--settings', node.settingsFile],
      { [PEER_TOKEN_VARIABLE]: PEER_TOKEN },
    );
  }
}

/** Resolves after a while. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
