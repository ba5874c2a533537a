/** Starts one deployment as processes on loopback: platform stand-ins, engines and nodes. */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { contentDigest } from '../../src/core/hashing.js';
import type { MachineRecord, WorkerRecord } from '../../src/platform/worker.js';
import { requestJson } from '../load/json-client.js';
import { type DemoDeployment, NODES_PER_ZONE } from './deployments.js';
import {
  freePorts,
  type ProcessGroup,
  productScript,
  type StartedProcess,
} from './process-group.js';

/** Secret tokens of the demo; digests of them go into the settings. */
const TOKENS = { trainer: 'demo-trainer-token', caller: 'demo-caller-token' } as const;
const OPERATOR_TOKEN = 'demo-operator-token';
const PEER_TOKEN = 'demo-peer-token-of-all-nodes';
/** Slots of each emulated engine. */
const ENGINE_SLOTS = 12;
/** Engines decode this many times faster than the emulator's defaults. */
const TIME_SCALE = 2;
/** How late the machine list shows a change, in milliseconds. */
const MACHINE_LIST_LAG = 1_000;
const READY_LIMIT_MILLISECONDS = 20_000;
const READY_POLL_MILLISECONDS = 100;

/** One node of a running deployment. */
export interface DemoNode {
  readonly name: string;
  readonly zone: string;
  readonly settingsFile: string;
  /** Address for callers. */
  readonly address: string;
  readonly peerAddress: string;
  process: StartedProcess;
}

/** A deployment that runs. */
export class RunningDeployment {
  readonly nodes: DemoNode[] = [];
  readonly tokens = { ...TOKENS, operator: OPERATOR_TOKEN };
  private machineListAddress = '';
  private keyValueAddress = '';
  private workers: readonly WorkerRecord[] = [];

  constructor(
    readonly deployment: DemoDeployment,
    private readonly group: ProcessGroup,
    private readonly folder: string,
  ) {}

  /** Starts everything and waits until all nodes are ready. */
  async start(): Promise<void> {
    const { name } = this.deployment;
    const [keyValue, machineList] = await Promise.all([
      this.group.startEmulator(`${name}-key-value`, ['key-value']),
      this.group.startEmulator(`${name}-machine-list`, [
        'machine-list',
        '--lag',
        String(MACHINE_LIST_LAG),
      ]),
      this.group.startEmulator(`${name}-weight-store`, ['weight-store']),
    ]);
    this.keyValueAddress = keyValue;
    this.machineListAddress = machineList;
    this.workers = await this.startEngines();
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

  /** Asks a node to stop in order; resolves with its exit code. */
  stopNode(node: DemoNode): Promise<number | null> {
    node.process.child.kill('SIGTERM');
    return node.process.exited;
  }

  /** Addresses for callers. */
  addresses(): readonly string[] {
    return this.nodes.map((node) => node.address);
  }

  private async startEngines(): Promise<readonly WorkerRecord[]> {
    const { training, portal, zones } = this.deployment;
    const planned = [training, portal].flatMap(({ model, workers }) =>
      Array.from({ length: workers }, (_unused, index) => {
        const zone = zones[index % zones.length] ?? '';
        return { worker: `${model}-${index + 1}`, model, zone, slots: ENGINE_SLOTS };
      }),
    );
    return Promise.all(
      planned.map(async (worker) => ({
        ...worker,
        address: await this.group.startEmulator(worker.worker, [
          'engine',
          '--worker',
          worker.worker,
          '--slots',
          String(worker.slots),
          '--time-scale',
          String(TIME_SCALE),
        ]),
      })),
    );
  }

  private async planNodes(): Promise<void> {
    const { zones, region, name } = this.deployment;
    const names = zones.flatMap((zone) =>
      Array.from({ length: NODES_PER_ZONE }, (_unused, index) => {
        return { zone, node: `${zone.split('-')[0]}-${index + 1}` };
      }),
    );
    const ports = await freePorts(names.length * 2);
    for (const [index, { zone, node }] of names.entries()) {
      const address = `127.0.0.1:${ports[index * 2]}`;
      const peerAddress = `127.0.0.1:${ports[index * 2 + 1]}`;
      const settingsFile = path.join(this.folder, `${name}-${node}.toml`);
      const planned = { name: node, zone, settingsFile, address, peerAddress };
      writeFileSync(settingsFile, this.settingsText({ ...planned, region }));
      this.nodes.push({ ...planned, process: undefined as unknown as StartedProcess });
    }
  }

  private settingsText(node: {
    readonly name: string;
    readonly zone: string;
    readonly region: string;
    readonly address: string;
    readonly peerAddress: string;
  }): string {
    const { zones, trainer, caller } = this.deployment;
    const zoneList = zones.map((zone) => `{ name = "${zone}", region = "${node.region}" }`);
    const account = (name: string, role: string, token: string): string =>
      `[[accounts]]\nname = "${name}"\nrole = "${role}"\ntoken_digest = "${contentDigest(token)}"`;
    return [
      '[node]',
      `name = "${node.name}"`,
      `zone = "${node.zone}"`,
      `region = "${node.region}"`,
      `machine = "machine-${node.name}"`,
      `listen = "${node.address}"`,
      `peer_listen = "${node.peerAddress}"`,
      '[platform]',
      `key_value = ["${this.keyValueAddress}"]`,
      `machine_list = "${this.machineListAddress}"`,
      '[fleet]',
      `zones = [${zoneList.join(', ')}]`,
      'replicas = 5',
      '[peers]',
      'token_variable = "WARDWING_PEER_TOKEN"',
      account(trainer, 'trainer', this.tokens.trainer),
      account(caller, 'caller', this.tokens.caller),
      account('operator', 'operator', this.tokens.operator),
      '',
    ].join('\n');
  }

  private async publishMachines(): Promise<void> {
    const machines: MachineRecord[] = this.nodes.map((node) => ({
      machine: `machine-${node.name}`,
      zone: node.zone,
      state: 'live',
      nodeAddresses: [node.peerAddress],
      workers: [],
    }));
    for (const worker of this.workers) {
      const machine = `machine-${worker.worker}`;
      const zone = worker.zone;
      machines.push({ machine, zone, state: 'live', nodeAddresses: [], workers: [worker] });
    }
    await requestJson({
      method: 'POST',
      address: this.machineListAddress,
      path: '/lab/machines',
      body: machines,
      timeout: 5_000,
    });
  }

  private startNode(node: DemoNode): StartedProcess {
    return this.group.start(
      `${this.deployment.name}-${node.name}`,
      productScript(),
      ['node', '--settings', node.settingsFile],
      { WARDWING_PEER_TOKEN: PEER_TOKEN },
    );
  }

  private async untilReady(node: DemoNode): Promise<void> {
    const end = performance.now() + READY_LIMIT_MILLISECONDS;
    while (performance.now() < end) {
      const request = { method: 'GET', address: node.address, path: '/readyz', timeout: 1_000 };
      const answer = await requestJson({ ...request, method: 'GET' });
      if (answer?.status === 200) return;
      await pause(READY_POLL_MILLISECONDS);
    }
    throw new Error(`node ${node.name} did not become ready`);
  }
}

/** Resolves after a while. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
