/**
 * One node's replica of one shard: in which epoch it may vote, sealing of epochs that are over,
 * and catch-up for epochs that begin. A replica votes in an epoch only after it holds everything
 * that could have been chosen before, and never again in an epoch it has sealed.
 */
import type { GroupRecord } from '../config-feed/configuration.js';
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { Acceptor } from './acceptor.js';
import type { ActivationState, Activations } from './activations.js';
import { BodyStore } from './body-store.js';
import { BodyTransfer } from './body-transfer.js';
import { CatchUp, type CatchUpResult } from './catch-up.js';
import type { ReplicaDisk } from './disk-bodies.js';
import type { LedgerEnvironment } from './environment.js';
import { allMembersOf, includesIdentity } from './group-record.js';
import type { BodyName, LedgerMessage, RegisterEntry, Tombstone } from './messages.js';

/** How often a replica with state of a past epoch asks whether it may drop that state. */
const DROP_QUERY_INTERVAL: Milliseconds = 1_000;

/** How often removals and bodies are checked for expiry. */
const EXPIRY_INTERVAL: Milliseconds = 1_000;

/** The state of one shard on one node. */
export class Replica<Value> {
  readonly acceptor: Acceptor;
  readonly bodies: BodyStore;
  newest: GroupRecord;
  readonly #environment: LedgerEnvironment<Value>;
  readonly #activations: Activations;
  readonly #disk: ReplicaDisk;
  /** Epoch whose registers this replica holds; 0 before the first. */
  #activeEpoch = 0;
  /** No vote is cast in this epoch or below. */
  #sealedEpoch = 0;
  readonly #sealedEntries = new Map<number, readonly RegisterEntry[]>();
  readonly #catchUps = new Map<number, CatchUp<Value>>();
  #transfer: BodyTransfer<Value> | undefined;
  #isDropped = false;
  #queryAt: Milliseconds = 0;
  #expiryAt: Milliseconds = 0;

  constructor(
    environment: LedgerEnvironment<Value>,
    activations: Activations,
    record: GroupRecord,
    now: Milliseconds,
  ) {
    this.#environment = environment;
    this.#activations = activations;
    this.acceptor = new Acceptor(environment.registerBudget);
    this.#disk = environment.disk.forReplica(record.domain, record.shard);
    this.bodies = new BodyStore(environment.bodyBudget, this.#disk);
    this.newest = record;
    this.#enter(record, now);
  }

  /** Whether this replica votes in the epoch. */
  isActiveIn(epoch: number): boolean {
    return this.#activeEpoch === epoch && this.#sealedEpoch < epoch;
  }

  /** Whether this replica votes in the newest epoch it knows. */
  get isActive(): boolean {
    return this.isActiveIn(this.newest.epoch);
  }

  /** How far this replica has got in the newest epoch. */
  get state(): ActivationState {
    if (this.#activeEpoch !== this.newest.epoch) return 'catching-up';
    return this.#transfer === undefined ? 'complete' : 'active';
  }

  /** Takes a newer record. */
  learn(record: GroupRecord, now: Milliseconds): void {
    if (record.epoch <= this.newest.epoch) return;
    this.newest = record;
    this.#enter(record, now);
  }

  /** Sends what is due and drops what is over. */
  tick(now: Milliseconds): void {
    for (const catchUp of this.#catchUps.values()) catchUp.tick(now);
    if (this.#transfer !== undefined) {
      this.#transfer.tick(now);
      this.#checkTransfer();
    }
    if (now >= this.#queryAt) this.#dropOldState(now);
    if (now < this.#expiryAt) return;
    this.#expiryAt = now + EXPIRY_INTERVAL;
    this.acceptor.expire(now);
    this.bodies.expire(now);
  }

  /** Seals the epoch before the given one, if this replica still votes in it. */
  sealBefore(epoch: number): void {
    const over = this.#activeEpoch;
    if (over === 0 || over >= epoch || this.#sealedEpoch >= over) return;
    this.#sealedEpoch = over;
    this.#sealedEntries.set(over, this.acceptor.accepted());
  }

  /** What a new member of the record's epoch may copy from here. */
  sourceFor(
    record: GroupRecord,
  ): { kind: 'epoch' | 'previous'; entries: () => readonly RegisterEntry[] } | undefined {
    if (this.#activeEpoch === record.epoch) {
      return { kind: 'epoch', entries: () => this.acceptor.accepted() };
    }
    if (!includesIdentity(record.previousMembers, this.#environment.selfKey)) return undefined;
    if (this.#activeEpoch === record.epoch - 1) this.sealBefore(record.epoch);
    const entries = this.#sealedEntries.get(record.epoch - 1);
    return entries === undefined ? undefined : { kind: 'previous', entries: () => entries };
  }

  /** Takes a page of a copy this replica asked for. */
  receivePage(from: string, message: LedgerMessage, now: Milliseconds): void {
    const catchUp = this.#catchUps.get(message.epoch);
    const result = catchUp?.receive(from, message, now);
    if (catchUp !== undefined && result !== undefined) this.#activate(catchUp.record, result, now);
  }

  /** Notes that a member is active in an epoch this replica may still be catching up for. */
  noteActive(member: string, epoch: number, now: Milliseconds): void {
    this.#catchUps.get(epoch)?.noteActive(member, now);
  }

  /** Takes a list of bodies, or a body, this replica asked for. */
  receiveBodies(from: string, message: LedgerMessage, now: Milliseconds): void {
    this.#transfer?.receive(from, message, now);
    this.#checkTransfer();
  }

  /** Takes a body, or `null`, that this replica asked its own disk for. */
  bodyLoaded(name: BodyName, body: string | null, now: Milliseconds): void {
    this.#transfer?.bodyLoaded(name, body, now);
    this.#checkTransfer();
  }

  /** Applies a removal. */
  remove(tombstone: Tombstone, digests: readonly string[] | null, now: Milliseconds): void {
    const until = now + this.#environment.settings.tombstoneLifetime;
    if (tombstone.kind === 'registers') this.acceptor.remove(tombstone.name, until);
    else this.bodies.remove(tombstone.name, digests, until);
  }

  /** Removals a copy must carry along. */
  tombstones(): Tombstone[] {
    const registers = this.acceptor.removedPrefixes();
    const bodies = this.bodies.removedShardKeys();
    return [
      ...registers.map((name) => ({ kind: 'registers', name }) as const),
      ...bodies.map((name) => ({ kind: 'bodies', name }) as const),
    ];
  }

  #enter(record: GroupRecord, now: Milliseconds): void {
    if (!includesIdentity(record.members, this.#environment.selfKey)) return;
    this.#isDropped = false;
    if (record.epoch === 1) {
      this.#activeEpoch = 1;
      this.#announce(record);
      return;
    }
    if (!this.#environment.settings.catchUpBeforeVoting) {
      this.#activate(record, { entries: [], tombstones: [] }, now);
      return;
    }
    const catchUp = new CatchUp(this.#environment, record);
    this.#catchUps.set(record.epoch, catchUp);
    catchUp.tick(now);
  }

  #activate(record: GroupRecord, result: CatchUpResult, now: Milliseconds): void {
    const { epoch } = record;
    this.sealBefore(epoch);
    // Registers of a still earlier epoch prove nothing; the copies hold all that was chosen.
    if (this.#activeEpoch < epoch - 1) this.acceptor.clear();
    for (const tombstone of result.tombstones) this.remove(tombstone, null, now);
    for (const entry of result.entries) this.acceptor.merge(entry);
    this.#activeEpoch = epoch;
    for (const caughtUp of this.#catchUps.keys()) {
      if (caughtUp <= epoch) this.#catchUps.delete(caughtUp);
    }
    this.#transfer = new BodyTransfer(this.#environment, record, this.bodies, this.#disk);
    this.#environment.counters.activations += 1;
    const { domain, shard } = record;
    const details = { domain, shard, epoch };
    this.#environment.emit({ kind: 'state-change', change: 'replica-active', details });
    this.#announce(record);
    this.#transfer.tick(now);
  }

  #checkTransfer(): void {
    if (this.#transfer?.isComplete !== true) return;
    this.#transfer = undefined;
    this.#disk.complete();
    if (this.#activeEpoch === this.newest.epoch) this.#announce(this.newest);
  }

  #announce(record: GroupRecord): void {
    const state = this.#transfer === undefined ? 'complete' : 'active';
    this.#activations.note(record, this.#environment.selfKey, state);
    if (record.epoch === 1) return;
    const content = { kind: 'activation', state, record } as const;
    for (const member of allMembersOf(record)) this.#tell(member, record, content);
  }

  #tell(
    member: NodeIdentity,
    record: GroupRecord,
    content: { kind: 'activation'; state: ActivationState; record: GroupRecord },
  ): void {
    if (identityKey(member) === this.#environment.selfKey) return;
    this.#environment.send(member, record, 0, content);
  }

  /**
   * Asks how far the newest epoch has got, and drops state of past epochs once a majority of it
   * holds everything.
   */
  #dropOldState(now: Milliseconds): void {
    this.#queryAt = now + DROP_QUERY_INTERVAL;
    const isMember = includesIdentity(this.newest.members, this.#environment.selfKey);
    const isSettled = isMember ? this.state !== 'catching-up' : this.#isDropped;
    if (this.#sealedEntries.size === 0 && isSettled) return;
    if (!this.#activations.hasMajority(this.newest, 'complete')) {
      for (const member of this.newest.members) {
        if (this.#activations.stateOf(this.newest, identityKey(member)) === 'complete') continue;
        this.#environment.send(member, this.newest, 0, { kind: 'activation-query' });
      }
      return;
    }
    for (const epoch of this.#sealedEntries.keys()) {
      if (epoch < this.newest.epoch) this.#sealedEntries.delete(epoch);
    }
    if (isMember) return;
    this.sealBefore(this.newest.epoch);
    this.#sealedEntries.clear();
    this.#catchUps.clear();
    this.#transfer = undefined;
    this.acceptor.clear();
    this.bodies.clear();
    this.#isDropped = true;
  }
}
