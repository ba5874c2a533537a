/** Records and a small fleet of directories in simulated time, for the routing bench and tests. */
import type { GenerationRequest } from '../../src/core/generation.js';
import {
  identityKey,
  type NodeIdentity,
  type NodeRecord,
  sameIdentity,
} from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import type { MachineRecord, WorkerRecord, WorkerReport } from '../../src/platform/worker.js';
import type { WorkerLoadMessage } from '../../src/routing/messages.js';
import type { WorkerCandidate } from '../../src/routing/worker-candidate.js';
import { WorkerDirectory } from '../../src/routing/worker-directory.js';
import type { WorkerDirectoryEffect } from '../../src/routing/worker-directory-types.js';

/** The only model of the fleet. */
export const MODEL = 'model-bench';

/** A worker. */
export function makeWorker(worker: string, zone = 'zone-a', slots = 8): WorkerRecord {
  return { worker, model: MODEL, zone, address: '127.0.0.1:9000', slots };
}

/** A node. */
export function makeNode(node: string, zone = 'zone-a', incarnation = 1): NodeRecord {
  return { node, incarnation, zone, region: 'region', address: '127.0.0.1:7000', machine: node };
}

/** A machine that runs one worker. */
export function makeMachine(record: WorkerRecord, state: 'live' | 'leaving'): MachineRecord {
  const machine = `machine-${record.worker}`;
  return { machine, zone: record.zone, state, nodeAddresses: [], workers: [record] };
}

/** A training request that any version may answer. */
export function makeRequest(overrides: Partial<GenerationRequest> = {}): GenerationRequest {
  return {
    requestId: 'request',
    account: 'trainer',
    intent: 'intent',
    model: MODEL,
    trafficClass: 'training',
    prompt: 'text',
    maxTokens: 100,
    samplingSeed: 1,
    repeatable: true,
    oldestVersion: 0,
    promptGroup: 'group',
    ...overrides,
  };
}

/** An idle worker in service. */
export function makeCandidate(
  worker: string,
  overrides: Partial<WorkerCandidate> & { readonly zone?: string } = {},
): WorkerCandidate {
  const { zone, ...fields } = overrides;
  return {
    record: makeWorker(worker, zone),
    home: { node: 'node', incarnation: 1 },
    state: 'in-service',
    outstanding: 0,
    interactiveOutstanding: 0,
    queueFree: 8,
    sentSinceUpdate: 0,
    reportedLoad: 0,
    slots: 8,
    activeVersion: 1,
    loadedVersions: [1],
    returnedAt: Number.NEGATIVE_INFINITY,
    ...fields,
  };
}

/** The report of an idle engine. */
function makeReport(worker: string, overrides: Partial<WorkerReport> = {}): WorkerReport {
  const report = { running: 0, waiting: 0, activeVersion: 1, loadedVersions: [1], epoch: 1 };
  return { worker, leaving: false, ...report, ...overrides };
}

/** Time between two ticks, and the latency of a message. */
const TICK = 50;

/** Simulated time in which a new fleet gets to know its workers. */
const FIRST_RUN = 2_000;

/** Directories joined by messages that take one tick, and engines that answer polls. */
export class Fleet {
  now = 0;
  readonly directories = new Map<string, WorkerDirectory>();
  readonly reports = new Map<string, Partial<WorkerReport> | 'fails' | 'hangs'>();
  /** Decides whether a message is lost. */
  loses: (message: WorkerLoadMessage) => boolean = () => false;
  /** Told of each message as it is sent. */
  onSend: (from: NodeRecord, message: WorkerLoadMessage) => void = () => {};
  #nodes: readonly NodeRecord[] = [];
  #nodeByLife = new Map<string, NodeRecord>();
  #machines: readonly MachineRecord[];
  #inFlight: { from: NodeRecord; to: NodeIdentity; message: WorkerLoadMessage }[] = [];

  constructor(
    nodes: readonly NodeRecord[],
    readonly workers: readonly WorkerRecord[],
    readonly subsetSize = 32,
  ) {
    this.#machines = workers.map((record) => makeMachine(record, 'live'));
    this.setNodes(nodes);
    this.run(FIRST_RUN);
  }

  get zones(): readonly string[] {
    return [...new Set(this.workers.map((record) => record.zone))];
  }

  /** Sets the live nodes: new lives get a directory, others lose theirs. */
  setNodes(nodes: readonly NodeRecord[]): void {
    const kept = this.#nodes.filter((old) => nodes.some((node) => sameIdentity(old, node)));
    for (const old of this.#nodes) if (!kept.includes(old)) this.directories.delete(old.node);
    this.#nodes = nodes;
    this.#nodeByLife = new Map(nodes.map((node) => [identityKey(node), node]));
    nodes.forEach((node, at) => {
      if (this.directories.has(node.node)) return;
      const random = createRandomSource(at + 1);
      const directory = new WorkerDirectory({ self: node, random, subsetSize: this.subsetSize });
      this.directories.set(node.node, directory);
      directory.updateRoutedModels([{ model: MODEL, zones: this.zones }], this.now);
    });
    this.#tellAll();
  }

  setMachines(machines: readonly MachineRecord[]): void {
    this.#machines = machines;
    this.#tellAll();
  }

  directory(node: string): WorkerDirectory {
    const directory = this.directories.get(node);
    if (directory === undefined) throw new Error(`There is no node ${node}`);
    return directory;
  }

  /** Names of the candidates of one node, or of the union of all nodes. */
  candidateNames(node?: string): Set<string> {
    const chosen = node === undefined ? [...this.directories.values()] : [this.directory(node)];
    const lists = chosen.flatMap((directory) => directory.candidates(MODEL, this.zones));
    return new Set(lists.map((candidate) => candidate.record.worker));
  }

  /** States of one worker as seen by all nodes that follow it. */
  statesOf(worker: string): Set<string> {
    const lists = [...this.directories.values()].flatMap((one) =>
      one.candidates(MODEL, this.zones),
    );
    const seen = lists.filter((candidate) => candidate.record.worker === worker);
    return new Set(seen.map((candidate) => candidate.state));
  }

  run(duration: number): void {
    const end = this.now + duration;
    while (this.now < end) {
      this.now += TICK;
      this.#deliver();
      for (const node of this.#nodes) {
        this.handle(node, this.directory(node.node).tick(this.now));
      }
    }
  }

  handle(node: NodeRecord, effects: readonly WorkerDirectoryEffect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'poll') this.#poll(node, effect.worker.worker);
      if (effect.kind !== 'send') continue;
      this.onSend(node, effect.message);
      if (this.loses(effect.message)) continue;
      this.#inFlight.push({ from: node, to: effect.to, message: effect.message });
    }
  }

  #tellAll(): void {
    const byZone = new Map(
      this.zones.map((zone) => [zone, this.#nodes.filter((node) => node.zone === zone)]),
    );
    for (const node of this.#nodes) {
      const directory = this.directory(node.node);
      this.handle(node, directory.updateMachines(this.#machines, this.now));
      this.handle(
        node,
        directory.updateNodes((zone) => byZone.get(zone) ?? [], this.now),
      );
    }
  }

  #deliver(): void {
    const messages = this.#inFlight;
    this.#inFlight = [];
    for (const { from, to, message } of messages) {
      const target = this.#nodeByLife.get(identityKey(to));
      if (target === undefined) continue;
      this.handle(target, this.directory(target.node).receive(from, message, this.now));
    }
  }

  #poll(node: NodeRecord, worker: string): void {
    const answer = this.reports.get(worker) ?? {};
    if (answer === 'hangs') return;
    const directory = this.directory(node.node);
    const effects =
      answer === 'fails'
        ? directory.recordFailedPoll(worker, this.now)
        : directory.recordReport(makeReport(worker, answer), this.now);
    this.handle(node, effects);
  }
}
