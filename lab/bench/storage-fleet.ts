/**
 * One replica group in simulated time whose members may have a disk, to see what a restarted
 * member fetches from peers. Links and disks have a latency and a bandwidth.
 */
import { stringify } from 'devalue';
import { contentDigest } from '../../src/core/hashing.js';
import { identityKey, type NodeIdentity, type NodeRecord } from '../../src/core/identity.js';
import { createRandomSource, type RandomSource } from '../../src/core/random.js';
import {
  type DiskBodyName,
  type DiskRequest,
  decodeGroupRecord,
  Ledger,
  type LedgerEffect,
  type LedgerMessage,
} from '../../src/ledger/ledger.js';
import { EventQueue } from '../simulation/event-queue.js';
import { SimulatedKeyValue } from './ledger-key-value.js';
import {
  DEFAULT_DISK,
  DEFAULT_LINK,
  type DiskFault,
  type RestartFleetOptions,
  type RestartReport,
} from './storage-fleet-options.js';

interface FleetMember {
  record: NodeRecord;
  ledger: Ledger<unknown>;
  isUp: boolean;
  receivedBytes: number;
  linkFreeAt: number;
  diskFreeAt: number;
}

type Effects = readonly LedgerEffect<unknown>[];

const DOMAIN = 'bench';
const ZONE = 'zone';
const SHARD_KEY = 'step';
const GROUP_SIZE = 3;
const TICK = 50;
const RESTART_LIMIT = 60_000;

/** A replica group of which one member restarts, with or without a disk. */
export class RestartFleet {
  readonly #options: RestartFleetOptions;
  readonly #random: RandomSource;
  readonly #queue = new EventQueue();
  readonly #keyValue: SimulatedKeyValue;
  readonly #members: FleetMember[] = [];
  /** The disk of the first member. */
  readonly #disk = new Map<string, { readonly name: DiskBodyName; readonly body: string }>();
  readonly #outcomes = new Map<string, string>();
  readonly #digests: string[] = [];
  #fault: DiskFault | undefined;
  #diskRequests = 0;

  constructor(options: RestartFleetOptions) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
    this.#keyValue = new SimulatedKeyValue(createRandomSource(options.seed + 1));
    this.#keyValue.onWrite = ({ value }) => this.#feed(value);
    for (let index = 0; index < GROUP_SIZE; index += 1) this.#addMember(index);
    this.#shareMembers();
    this.#run(3_000);
  }

  /** Stores bodies, one after the other. */
  fill(bodies: { readonly count: number; readonly bytes: number }): void {
    for (let index = 0; index < bodies.count; index += 1) {
      const body = `${index} `.padEnd(bodies.bytes, String(this.#random.fraction()));
      const digest = contentDigest(body);
      this.#digests.push(digest);
      const operationId = `store-${index}`;
      const deadline = this.#queue.now + 10_000;
      const request = { operationId, domain: DOMAIN, shardKey: SHARD_KEY, body, digest, deadline };
      const writer = this.#members[1] as FleetMember;
      this.#perform(writer, writer.ledger.storeBody(request, this.#queue.now));
      while (!this.#outcomes.has(operationId)) this.#run(1);
      if (this.#outcomes.get(operationId) !== 'stored') throw new Error('a body was not stored');
    }
    this.#run(2_000);
  }

  /** Kills the first member, restarts it without memory, and waits until it holds all bodies. */
  restart(change: { readonly removesAll?: boolean } = {}): RestartReport {
    const member = this.#members[0] as FleetMember;
    member.isUp = false;
    this.#shareMembers();
    this.#run(1_000);
    if (change.removesAll === true) this.#removeBodies();
    this.#fault = this.#options.fault;
    const { record } = member;
    member.record = { ...record, incarnation: record.incarnation + 1 };
    member.ledger = this.#newLedger(member.record, this.#options.hasDisk);
    member.isUp = true;
    member.receivedBytes = 0;
    this.#feedAll(member);
    this.#shareMembers();
    return this.#observe(member);
  }

  #observe(member: FleetMember): RestartReport {
    const { now } = this.#queue;
    let memberSince: number | null = null;
    let activeAfter: number | null = null;
    let completeAfter: number | null = null;
    while (completeAfter === null && this.#queue.now < now + RESTART_LIMIT) {
      this.#run(1);
      if (!this.#isMember(member)) continue;
      memberSince ??= this.#queue.now;
      if (!member.ledger.isActiveMember(DOMAIN, SHARD_KEY)) continue;
      activeAfter ??= this.#queue.now - memberSince;
      if (this.#isComplete(member)) completeAfter = this.#queue.now - memberSince;
    }
    const bytesFromPeers = member.receivedBytes;
    this.#run(1_000);
    const memberAfter = memberSince === null ? null : memberSince - now;
    return {
      bytesFromPeers,
      memberAfter,
      activeAfter,
      completeAfter,
      counters: member.ledger.counters,
      bodyBytesHeld: member.ledger.usage.bodyBytes,
      bodiesOnDisk: this.#disk.size,
      diskRequests: this.#diskRequests,
    };
  }

  #isMember(member: FleetMember): boolean {
    const group = member.ledger.groupFor(DOMAIN, SHARD_KEY);
    const key = identityKey(member.record);
    return group?.members.some((identity) => identityKey(identity) === key) === true;
  }

  #isComplete(member: FleetMember): boolean {
    const other = this.#members[1] as FleetMember;
    return member.ledger.usage.bodyBytes === other.ledger.usage.bodyBytes;
  }

  #removeBodies(): void {
    const other = this.#members[1] as FleetMember;
    const { now } = this.#queue;
    this.#perform(other, other.ledger.removeBodies(DOMAIN, SHARD_KEY, this.#digests, now));
    this.#run(1_000);
  }

  #addMember(index: number): void {
    const record: NodeRecord = {
      node: `node-${index}`,
      incarnation: 1,
      zone: ZONE,
      region: 'region',
      address: `127.0.0.1:${index}`,
      machine: `machine-${index}`,
    };
    const ledger = this.#newLedger(record, this.#options.hasDisk && index === 0);
    const idle = { receivedBytes: 0, linkFreeAt: 0, diskFreeAt: 0 };
    const member = { record, ledger, isUp: true, ...idle };
    this.#members.push(member);
    this.#tickLater(member);
  }

  #newLedger(self: NodeRecord, hasDisk: boolean): Ledger<unknown> {
    const random = createRandomSource(this.#random.integer(0x7fffffff));
    const diskBodies = hasDisk ? [...this.#disk.values()].map(({ name }) => name) : null;
    const sizes = { shardsPerDomain: 1, replicaCount: GROUP_SIZE };
    return new Ledger<unknown>({ ...sizes, self, random, diskBodies });
  }

  #tickLater(member: FleetMember): void {
    this.#queue.after(TICK, () => {
      if (member.isUp) this.#perform(member, member.ledger.tick(this.#queue.now));
      this.#tickLater(member);
    });
  }

  #perform(member: FleetMember, effects: Effects): void {
    for (const effect of effects) {
      if (effect.kind === 'send') this.#send(member.record, effect.to, effect.message);
      if (effect.kind === 'key-value') this.#ask(member, effect.requestId, effect.operation);
      if (effect.kind === 'completed') this.#outcomes.set(effect.operationId, effect.outcome.kind);
      if (effect.kind === 'disk') this.#useDisk(member, effect.request);
    }
  }

  #send(from: NodeIdentity, to: NodeIdentity, message: LedgerMessage): void {
    const member = this.#members.find((other) => other.record.node === to.node);
    if (member === undefined) return;
    const bytes = Buffer.byteLength(stringify(message));
    const { latency, bytesPerSecond } = this.#options.link ?? DEFAULT_LINK;
    const startAt = Math.max(member.linkFreeAt, this.#queue.now + latency);
    member.linkFreeAt = startAt + (bytes / bytesPerSecond) * 1_000;
    this.#queue.after(member.linkFreeAt - this.#queue.now, () => {
      if (!member.isUp) return;
      member.receivedBytes += bytes;
      this.#perform(member, member.ledger.receive(from, message, this.#queue.now));
    });
  }

  #useDisk(member: FleetMember, request: DiskRequest): void {
    this.#diskRequests += 1;
    if (request.kind === 'keep-domains') return;
    const { name } = request;
    if (request.kind === 'persist') this.#disk.set(name.digest, { name, body: request.body });
    if (request.kind === 'forget') this.#disk.delete(name.digest);
    if (request.kind === 'load') this.#load(member, name);
  }

  #load(member: FleetMember, name: DiskBodyName): void {
    const stored = this.#disk.get(name.digest)?.body ?? null;
    const body = this.#withFault(name, stored);
    if (body === undefined) return;
    const bytes = stored === null ? 0 : Buffer.byteLength(stored);
    const { latency, bytesPerSecond } = this.#options.disk ?? DEFAULT_DISK;
    const startAt = Math.max(member.diskFreeAt, this.#queue.now);
    member.diskFreeAt = startAt + latency + (bytes / bytesPerSecond) * 1_000;
    this.#queue.after(member.diskFreeAt - this.#queue.now, () => {
      this.#perform(member, member.ledger.bodyLoaded(name, body, this.#queue.now));
    });
  }

  /** What the disk gives back; `undefined` where it never answers. */
  #withFault(name: DiskBodyName, body: string | null): string | null | undefined {
    const fault = this.#fault;
    if (fault === undefined || this.#digests.indexOf(name.digest) % fault.every > 0) return body;
    if (fault.kind === 'silent') return undefined;
    if (fault.kind === 'missing') this.#disk.delete(name.digest);
    return fault.kind === 'missing' ? null : `${body} and a wrong byte`;
  }

  #ask(
    member: FleetMember,
    requestId: string,
    operation: Extract<LedgerEffect<unknown>, { kind: 'key-value' }>['operation'],
  ): void {
    const { ledger } = member;
    this.#queue.after(5, () => {
      const result = this.#keyValue.execute(operation);
      if (!member.isUp || member.ledger !== ledger) return;
      this.#perform(member, ledger.keyValueResult(requestId, result, this.#queue.now));
    });
  }

  #feed(value: string): void {
    const record = decodeGroupRecord(value);
    if (record === undefined) return;
    this.#queue.after(100, () => {
      for (const member of this.#members) {
        if (!member.isUp) continue;
        this.#perform(member, member.ledger.updateGroups([record], this.#queue.now));
      }
    });
  }

  #feedAll(member: FleetMember): void {
    const records = [...this.#keyValue.entries()].flatMap(
      ({ value }) => decodeGroupRecord(value) ?? [],
    );
    this.#perform(member, member.ledger.updateGroups(records, this.#queue.now));
  }

  #shareMembers(): void {
    const members = this.#members.map(({ record, isUp }) => ({ record, alive: isUp }));
    const domains = [{ name: DOMAIN, zones: [ZONE] }];
    for (const member of this.#members) {
      if (!member.isUp) continue;
      this.#perform(member, member.ledger.updateMembers(members, domains, this.#queue.now));
    }
  }

  #run(milliseconds: number): void {
    this.#queue.runUntil(this.#queue.now + milliseconds);
  }
}
