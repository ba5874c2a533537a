/**
 * Several zones with journal replicas on disk, one shared store, and job nodes that each have their
 * own connection to it. Time passes only while a test runs the zones.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';
import type t from 'tap';
import { NO_PEERS } from '../../lab/common/no-peers.js';
import { SharedStoreEmulator } from '../../lab/emulator/shared-store-emulator.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { JobPeers } from '../../src/jobs/job-peers.js';
import type { JobOwner, JobSpecification } from '../../src/jobs/job-records.js';
import { JOURNAL_ZONE_PREFIX, type ReplicaDirectory } from '../../src/journal/replica-directory.js';
import type { ReplicaLocation } from '../../src/journal/replica-location.js';
import { REPLICA_PREFIX } from '../../src/journal/replica-record.js';
import type { ZoneJournals } from '../../src/journal/zone-journals.js';
import type { PeerOutcome, PeerPort, PeerRequest } from '../../src/peers/peer-messages.js';
import type { EnginePort } from '../../src/serving/engine-port.js';
import { UNRESTRICTED } from '../../src/tenants/tenant.js';
import { JournalZone, listReplica, openJournals } from '../journal/journal-fixtures.js';
import { answer, events, ScriptedEngine, worker } from '../serving/serving-fixtures.js';
import { type JobNode, jobNode } from './job-node.js';
import { takeOverOrphans } from './orphan-takeover.js';
import { StorePort, type StorePortMode } from './store-port.js';
import { VirtualClock } from './virtual-clock.js';

/** A node in one of the zones. */
export interface ZoneNode extends JobNode {
  readonly self: JobOwner;
  readonly zone: string;
  readonly port: StorePort;
  readonly directory: ReplicaDirectory;
  readonly journals: ZoneJournals;
}

/** Requests about jobs that the nodes answer each other. */
type JobsAtPeers = Pick<JobPeers, 'ownerListing' | 'cancelAtOwner' | 'releaseAtOwner'>;

/** Selects the replicas that a node's directory lists. */
export type Lists = (location: ReplicaLocation) => boolean;

/** Results as a reader got them, or why it got none. */
export type ReadTexts = readonly string[] | { readonly failure: string };

const TICK_INTERVAL: Milliseconds = 50;

/** Turns of the event loop without a request in progress after which nothing is left to do. */
const QUIET_TURNS = 12;

/** Time for which a caller waits for an answer. */
const PATIENCE: Milliseconds = 5_000;

/** Time in which recovery finds all jobs: two scans, and the listing of what they find. */
const RECOVERY_TIME: Milliseconds = 4_500;

const TEXT_LETTERS = 'abcdefghijklmnopqrstuvwxyz';
const NO_END = new Promise<never>(() => {});

/** The zones, their nodes and the store. */
export class ZonesWithStore {
  readonly store = new SharedStoreEmulator();
  readonly clock = new VirtualClock();
  readonly zones = new Map<string, JournalZone>();
  readonly nodes: ZoneNode[] = [];
  /** Zones that are partitioned from the other zones. */
  readonly partitioned = new Set<string>();
  /** Live nodes whose leases have expired, as the store turns them away. */
  readonly withoutLease = new Set<ZoneNode>();
  private readonly lists = new Map<ZoneNode, Lists>();
  private readonly ended = new Set<string>();
  private requestsInProgress = 0;
  private nextTickAt: Milliseconds = 0;

  private constructor() {}

  /** Opens zones `zone-1`, `zone-2` and so on; without `replicas`, they have no journals. */
  static async open(
    test: Pick<typeof t, 'teardown'>,
    zones: number,
    replicas = 3,
  ): Promise<ZonesWithStore> {
    const opened = new ZonesWithStore();
    for (let number = 1; number <= zones; number += 1) {
      const name = `zone-${number}`;
      opened.zones.set(name, await JournalZone.open(test, replicas, name, `10.0.${number}`));
    }
    test.teardown(() => {
      for (const node of opened.nodes) opened.end(node);
    });
    return opened;
  }

  /** The replicas of a zone. */
  zone(name: string): JournalZone {
    const zone = this.zones.get(name);
    if (zone === undefined) throw new Error(`no zone ${name}`);
    return zone;
  }

  /** Starts a node; without `engine`, its texts differ from those of all other nodes. */
  start(zone: string, lists: Lists = () => true, engine?: EnginePort): ZoneNode {
    const number = this.nodes.length;
    const letter = String.fromCharCode('A'.charCodeAt(0) + number);
    const self = { node: `node-${number}`, incarnation: 'life-1', address: `10.1.0.${number}:1` };
    const port = new StorePort(this.store, this.clock);
    const scripts = [...TEXT_LETTERS].map((text) =>
      answer(events(0, `${letter}${text}`), { isStream: true }),
    );
    const { directory, journals } = openJournals({
      port: { request: (...request) => this.request(node, ...request) } as PeerPort,
      locations: this.locations().filter(lists),
      zone,
      writer: writerOf(self),
      clock: this.clock,
    });
    for (const name of this.zones.keys()) {
      directory.applyChange({ key: `${JOURNAL_ZONE_PREFIX}${name}`, value: '', revision: 1 });
    }
    const peers = { ...NO_PEERS, ...this.peersOf(() => node) };
    const parts = jobNode(port, self, engine ?? new ScriptedEngine(scripts), peers, {
      ...{ zone, clock: this.clock },
      ...(this.locations().length === 0 ? {} : { journals }),
      isWriterLive: (writer) => !this.ended.has(writer) && !this.hasLostLease(writer),
      isStoreUnreachable: () => port.mode === 'silent' || port.mode === 'refusing',
    });
    const node: ZoneNode = { ...parts, self, zone, port, directory, journals };
    node.registry.put(worker('w1', { zone }));
    this.nodes.push(node);
    this.lists.set(node, lists);
    return node;
  }

  /** Ends a node; others know at once that its incarnation has ended. */
  end(node: ZoneNode): void {
    this.ended.add(writerOf(node.self));
    node.port.mode = 'ended';
    node.dispatcher.stop();
  }

  /** Ends all nodes, and waits for the requests in progress. */
  async close(): Promise<void> {
    for (const node of this.nodes) this.end(node);
    await this.settle();
  }

  /** Nodes that have not ended. */
  live(): ZoneNode[] {
    return this.nodes.filter((node) => !this.hasEnded(node));
  }

  /** Changes how the store serves some nodes. */
  setStore(mode: StorePortMode, ...nodes: readonly ZoneNode[]): void {
    for (const node of nodes) if (!this.hasEnded(node)) node.port.mode = mode;
  }

  /** Restarts a replica and has all nodes that list it learn its disk. */
  async restartReplica(address: string, disk: 'kept' | 'empty'): Promise<void> {
    await this.settle();
    const zone = this.zoneOf(address);
    await zone.restart(address, disk);
    zone.register(address);
    this.announce(address);
  }

  /** The record of a replica expires at some nodes, longer ago than new jobs may use it. */
  async expireRecord(address: string, ...nodes: readonly ZoneNode[]): Promise<void> {
    for (const { directory } of nodes) {
      const key = `${REPLICA_PREFIX}disk-${address}`;
      directory.applyChange({ key, value: undefined, revision: 2 });
    }
    await this.run(6_000);
  }

  /** Lets time pass, with the periodic work of all nodes. */
  async run(duration: Milliseconds): Promise<void> {
    const limit = this.clock.now() + duration;
    await this.settle();
    while (this.clock.now() < limit) {
      this.clock.advanceTo(Math.min(limit, this.nextTickAt, this.clock.nextWakeAt));
      if (this.clock.now() >= this.nextTickAt) {
        this.nextTickAt = this.clock.now() + TICK_INTERVAL;
        for (const node of this.live()) {
          node.service.tick();
          node.dispatcher.tick();
        }
      }
      await this.settle();
    }
  }

  /** Runs the zones until an answer arrives; `undefined` if none does in time. */
  async answerOf<Value>(pending: Promise<Value>, limit = PATIENCE): Promise<Value | undefined> {
    let answered: { readonly value: Value } | undefined;
    void pending.then((value) => {
      answered = { value };
    });
    const until = this.clock.now() + limit;
    await this.settle();
    while (answered === undefined && this.clock.now() < until) await this.run(TICK_INTERVAL);
    return (answered as { readonly value: Value } | undefined)?.value;
  }

  /** Submits a job without waiting for time to pass; resolves with how it was answered. */
  async submit(node: ZoneNode, spec: JobSpecification, patience = PATIENCE): Promise<string> {
    const limit = this.clock.now() + patience;
    const isStillNeeded = (): boolean => this.clock.now() < limit && !this.hasEnded(node);
    const failure = await node.service.submit(spec, isStillNeeded);
    return failure?.kind ?? 'accepted';
  }

  /** Reads a job from the start, as far as it is listed or answered. */
  async read(node: ZoneNode, job: string): Promise<ReadTexts> {
    const texts: string[] = [];
    for (;;) {
      const reading = node.service.read(job, texts.length, 0, UNRESTRICTED);
      const read = await this.answerOf(reading);
      const failure = read === undefined ? 'no answer' : 'detail' in read ? read.kind : undefined;
      if (failure !== undefined && texts.length === 0) return { failure };
      if (read === undefined || 'detail' in read || read.results.length === 0) return texts;
      texts.push(...read.results.map(({ text }) => text));
    }
  }

  /** Ends all faults, and waits until the jobs of ended nodes are recovered and taken over. */
  async heal(): Promise<void> {
    await this.run(TICK_INTERVAL);
    this.setStore('up', ...this.nodes);
    for (const { port } of this.nodes) await port.applyLateCommits();
    this.partitioned.clear();
    for (const zone of this.zones.values()) {
      zone.unreachable.clear();
      for (const address of zone.addresses) {
        zone.register(address);
        this.announce(address, () => true);
      }
    }
    for (const zone of this.zones.keys()) this.start(zone);
    const limit = this.clock.now() + RECOVERY_TIME;
    while (this.clock.now() < limit) {
      await this.run(500);
      await takeOverOrphans(this);
    }
  }

  private hasEnded({ self }: ZoneNode): boolean {
    return this.ended.has(writerOf(self));
  }

  private hasLostLease(writer: string): boolean {
    return [...this.withoutLease].some(({ self }) => writerOf(self) === writer);
  }

  private locations(): ReplicaLocation[] {
    return [...this.zones.values()].flatMap(({ locations }) => locations);
  }

  private announce(address: string, isListed?: Lists): void {
    const location = this.locations().find((candidate) => candidate.address === address);
    if (location === undefined) return;
    for (const node of this.nodes) {
      const lists = isListed ?? this.lists.get(node);
      if (lists?.(location) === true) listReplica(node.directory, location);
    }
  }

  private zoneOf(address: string): JournalZone {
    const zone = [...this.zones.values()].find(({ addresses }) => addresses.includes(address));
    if (zone === undefined) throw new Error(`no replica at ${address}`);
    return zone;
  }

  private isCut(from: string, to: string): boolean {
    return from !== to && (this.partitioned.has(from) || this.partitioned.has(to));
  }

  private async request(
    from: ZoneNode,
    address: string,
    request: PeerRequest,
    timeout: Milliseconds,
  ): Promise<PeerOutcome<PeerRequest['kind']>> {
    if (this.hasEnded(from)) return NO_END;
    const zone = this.zoneOf(address);
    if (zone.unreachable.has(address) || this.isCut(from.zone, zone.name)) {
      await this.clock.sleep(timeout);
      return this.hasEnded(from) ? NO_END : { kind: 'silent' };
    }
    this.requestsInProgress += 1;
    const outcome = await zone.request(address, request).finally(() => {
      this.requestsInProgress -= 1;
    });
    return this.hasEnded(from) ? NO_END : outcome;
  }

  /** Requests about jobs to other nodes. */
  private peersOf(from: () => ZoneNode): JobsAtPeers {
    const reached = (owner: JobOwner): ZoneNode | undefined =>
      this.live().find(
        ({ self, zone }) => self.node === owner.node && !this.isCut(from().zone, zone),
      );
    return {
      ownerListing: async (owner, ...position) => {
        const listing = await reached(owner)?.service.ownListing(...position);
        return listing?.isOwner === true ? listing : undefined;
      },
      cancelAtOwner: async (owner, ...cancellation) => {
        if (this.hasLostLease(writerOf(owner))) return false;
        return (await reached(owner)?.service.cancelOwn(...cancellation)) ?? false;
      },
      releaseAtOwner: async (owner, job) =>
        reached(owner)?.service.releaseTakenOver(job) ?? new Map(),
    };
  }

  /** Waits until nothing more happens without time passing. */
  private async settle(): Promise<void> {
    for (let quiet = 0; quiet < QUIET_TURNS; quiet += 1) {
      if (this.requestsInProgress > 0) quiet = 0;
      await nextTurn();
    }
  }
}

function writerOf({ node, incarnation }: JobOwner): string {
  return `${node}/${incarnation}`;
}
