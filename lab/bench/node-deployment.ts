/**
 * The least deployment that one node needs: key-value service, machine list, engines faster than
 * any node, and the node itself, each as a process on loopback.
 */
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { contentDigest } from '../../src/core/hashing.js';
import type { MachineRecord, WorkerRecord } from '../../src/platform/worker.js';
import {
  freePorts,
  type ProcessGroup,
  productScript,
  type StartedProcess,
} from '../demo/process-group.js';
import { pause } from '../demo/running-deployment.js';
import { requestJson } from '../load/json-client.js';
import { OperatorClient } from '../load/operator-client.js';

/** Model that the bench asks for. */
export const BENCH_MODEL = 'bench-model';
/** Token of the bench's caller. */
export const CALLER_TOKEN = 'bench-caller-token';
const OPERATOR_TOKEN = 'bench-operator-token';
const PEER_TOKEN = 'bench-peer-token-of-the-node';
const ZONE = 'bench-zone';
/** Engines where `--engines` names no number. */
export const DEFAULT_ENGINE_COUNT = 4;
const ENGINE_SLOTS = 256;
/** Engine time for each millisecond: a decode step then takes a small part of a millisecond. */
export const DEFAULT_TIME_SCALE = 20;
const READY_LIMIT_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 50;
const REQUEST_TIMEOUT_MILLISECONDS = 5_000;

/** Processor time and memory of the node's process, from its own metrics. */
export interface ProcessUsage {
  readonly at: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Options of {@link NodeDeployment}. */
export interface NodeDeploymentOptions {
  /** Engine time for each millisecond of real time. @default 20 */
  readonly timeScale?: number;
  /** Number of engines. @default 4 */
  readonly engineCount?: number;
  /** Folder for a processor profile of the node. @default no profile is taken */
  readonly profileFolder?: string;
}

/** A node with all it needs. */
export class NodeDeployment {
  /** Gateway of the node. */
  address = '';
  /** Engines behind it. */
  engines: readonly string[] = [];
  private node: StartedProcess | null = null;

  constructor(
    private readonly group: ProcessGroup,
    private readonly folder: string,
    private readonly options: NodeDeploymentOptions = {},
  ) {}

  /** Starts everything, publishes weights, confirms an intent, and waits for a first answer. */
  async start(): Promise<void> {
    const [keyValue, machineList, workers] = await Promise.all([
      this.group.startEmulator('key-value', ['key-value']),
      this.group.startEmulator('machine-list', ['machine-list', '--lag', '0']),
      this.startEngines(),
    ]);
    this.engines = workers.map((worker) => worker.address);
    const [port, peerPort] = await freePorts(2);
    this.address = `127.0.0.1:${port}`;
    const peerAddress = `127.0.0.1:${peerPort}`;
    await publishMachines(machineList, peerAddress, workers);
    const settingsFile = path.join(this.folder, 'node.toml');
    writeFileSync(settingsFile, settingsText(this.address, peerAddress, keyValue, machineList));
    this.node = this.startNode(settingsFile);
    await this.until('the node is ready', () => this.isReady());
    await this.confirmIntent();
    await this.until('a request is answered', () => this.isServing());
  }

  /** Reads the node's use of processor and memory. */
  async usage(): Promise<ProcessUsage> {
    const answer = await fetch(`http://${this.address}/metrics`);
    const text = await answer.text();
    return {
      at: performance.now(),
      cpuSeconds: metricOf(text, 'process_cpu_seconds_total'),
      residentBytes: metricOf(text, 'process_resident_memory_bytes'),
    };
  }

  /** Stops the node in order; gives its exit code. */
  async stopNode(): Promise<number | null> {
    this.node?.child.kill('SIGTERM');
    return (await this.node?.exited) ?? null;
  }

  private startNode(settingsFile: string): StartedProcess {
    const environment = { WARDWING_PEER_TOKEN: PEER_TOKEN };
    const parameters = ['node', '--settings', settingsFile];
    const { profileFolder } = this.options;
    if (profileFolder === undefined) {
      return this.group.start('node', productScript(), parameters, environment);
    }
    const profiled = ['--cpu-prof-dir', profileFolder, productScript(), ...parameters];
    return this.group.start('node', '--cpu-prof', profiled, environment);
  }

  private startEngines(): Promise<readonly WorkerRecord[]> {
    const timeScale = this.options.timeScale ?? DEFAULT_TIME_SCALE;
    const length = this.options.engineCount ?? DEFAULT_ENGINE_COUNT;
    const names = Array.from({ length }, (_unused, index) => `engine-${index + 1}`);
    return Promise.all(
      names.map(async (worker) => {
        const settings = {
          worker,
          slots: ENGINE_SLOTS,
          'queue-limit': ENGINE_SLOTS,
          'step-time-per-sequence': 0,
          'prefill-time-per-token': 0,
          'base-step-time': 1,
          'time-scale': timeScale,
        };
        const flags = Object.entries(settings).flatMap(([name, value]) => {
          return [`--${name}`, String(value)];
        });
        const address = await this.group.startEmulator(worker, ['engine', ...flags]);
        return { worker, model: BENCH_MODEL, zone: ZONE, slots: ENGINE_SLOTS, address };
      }),
    );
  }

  private async confirmIntent(): Promise<void> {
    const operator = new OperatorClient(() => [this.address], OPERATOR_TOKEN);
    await operator.publish(BENCH_MODEL, 1);
    const planId = await operator.propose({
      name: 'bench-intent',
      trainer: null,
      model: BENCH_MODEL,
      zones: [ZONE],
      staleness_bound: 1,
      interactive: { accounts: ['caller'], reserved_share: 0.2 },
      cut_off: { rule: 'refuse' },
    });
    await operator.confirm(planId);
  }

  private async isReady(): Promise<boolean> {
    const { address } = this;
    const timeout = REQUEST_TIMEOUT_MILLISECONDS;
    const answer = await requestJson({ method: 'GET', address, path: '/readyz', timeout });
    return answer?.status === 200;
  }

  private async isServing(): Promise<boolean> {
    const answer = await requestJson({
      method: 'POST',
      address: this.address,
      path: '/v1/completions',
      token: CALLER_TOKEN,
      body: { model: BENCH_MODEL, prompt: 'first', max_tokens: 1, seed: 1 },
      timeout: REQUEST_TIMEOUT_MILLISECONDS,
    });
    return answer?.status === 200;
  }

  private async until(what: string, test: () => Promise<boolean>): Promise<void> {
    const end = performance.now() + READY_LIMIT_MILLISECONDS;
    while (performance.now() < end) {
      if (await test()) return;
      await pause(POLL_MILLISECONDS);
    }
    throw new Error(`gave up waiting until ${what}`);
  }
}

async function publishMachines(
  machineList: string,
  peerAddress: string,
  workers: readonly WorkerRecord[],
): Promise<void> {
  const machine = { zone: ZONE, state: 'live' } as const;
  const machines: readonly MachineRecord[] = [
    { ...machine, machine: 'machine-node', nodeAddresses: [peerAddress], workers: [] },
    { ...machine, machine: 'machine-engines', nodeAddresses: [], workers },
  ];
  await requestJson({
    method: 'POST',
    address: machineList,
    path: '/lab/machines',
    body: machines,
    timeout: REQUEST_TIMEOUT_MILLISECONDS,
  });
}

function settingsText(
  address: string,
  peerAddress: string,
  keyValue: string,
  machineList: string,
): string {
  const account = (name: string, token: string): string =>
    `[[accounts]]\nname = "${name}"\nrole = "${name}"\ntoken_digest = "${contentDigest(token)}"`;
  return [
    '[node]',
    'name = "bench-node"',
    `zone = "${ZONE}"`,
    'region = "bench-region"',
    'machine = "machine-node"',
    `listen = "${address}"`,
    `peer_listen = "${peerAddress}"`,
    '[platform]',
    `key_value = ["${keyValue}"]`,
    `machine_list = "${machineList}"`,
    '[fleet]',
    `zones = [{ name = "${ZONE}", region = "bench-region" }]`,
    'replicas = 5',
    '[peers]',
    'token_variable = "WARDWING_PEER_TOKEN"',
    account('caller', CALLER_TOKEN),
    account('operator', OPERATOR_TOKEN),
    '',
  ].join('\n');
}

function metricOf(text: string, name: string): number {
  const line = text.split('\n').find((candidate) => candidate.startsWith(`${name} `));
  return Number(line?.slice(name.length) ?? Number.NaN);
}
