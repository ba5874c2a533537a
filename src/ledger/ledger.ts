/**
 * The replicated ledger: registers changed by compare-and-set at a majority of a replica group,
 * and bodies kept at a majority. Pure decision code; see docs/design/ledger.md.
 */
import type { GroupRecord } from '../config-feed/configuration.js';
import { placementHash } from '../core/hashing.js';
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { KeyValueResult } from '../platform/key-value.js';
import { Activations } from './activations.js';
import { BodyOperation } from './body-operation.js';
import { LedgerEnvironment } from './environment.js';
import { GroupManager } from './group-manager.js';
import { GroupTable } from './group-table.js';
import { MemberView } from './member-view.js';
import type { LedgerContent, LedgerMessage, Tombstone } from './messages.js';
import { keepValue, type RegisterOperation } from './operation.js';
import { type LedgerOptions, resolveLedgerOptions } from './options.js';
import { PreparedRegisters } from './prepared-registers.js';
import { type RegisterAddress, RegisterProposer } from './proposer.js';
import { Removals } from './removals.js';
import { ReplicaService } from './replica-service.js';
import type {
  ChangeRequest,
  FetchBodyRequest,
  GroupHealth,
  LedgerCounters,
  LedgerDomain,
  LedgerEffect,
  LedgerMember,
  LocalEntry,
  ReadRequest,
  StoreBodyRequest,
} from './requests.js';

export { decodeGroupRecord, encodeGroupRecord } from './group-record.js';
export type { LedgerMessage } from './messages.js';
export type { LedgerOptions } from './options.js';
export type * from './requests.js';

type Effects<Value> = readonly LedgerEffect<Value>[];

type AnswerReceiver = {
  receive(from: string, message: LedgerMessage, now: Milliseconds): void;
};

/** One node's part of the ledger. */
export class Ledger<Value> {
  readonly #environment: LedgerEnvironment<Value>;
  readonly #activations = new Activations();
  readonly #view = new MemberView();
  readonly #groups: GroupTable<Value>;
  readonly #service: ReplicaService<Value>;
  readonly #manager: GroupManager<Value>;
  readonly #removals: Removals<Value>;
  readonly #prepared: PreparedRegisters<Value>;
  readonly #proposers = new Map<string, RegisterProposer<Value>>();
  readonly #bodyOperations = new Map<string, BodyOperation<Value>>();
  /** Which proposer or body operation waits for answers to a request. */
  readonly #routes = new Map<number, AnswerReceiver>();
  readonly #host;

  constructor(options: LedgerOptions) {
    const settings = resolveLedgerOptions(options);
    this.#environment = new LedgerEnvironment(settings);
    this.#groups = new GroupTable(this.#environment, this.#activations);
    this.#service = new ReplicaService(this.#environment);
    this.#removals = new Removals(this.#environment);
    this.#prepared = new PreparedRegisters(settings.preparedLimit);
    this.#host = {
      environment: this.#environment,
      prepared: this.#prepared,
      view: this.#view,
      activations: this.#activations,
      group: (domain: string, shard: number) => this.#groups.group(domain, shard),
      learnGroup: (record: GroupRecord, now: Milliseconds) => this.#learn(record, now),
      promisedCounter: ({ domain, shard, key }: RegisterAddress) =>
        this.#groups.replica(domain, shard)?.acceptor.highestCounter(key) ?? 0,
      route: (request: number, receiver: AnswerReceiver) => {
        this.#routes.set(request, receiver);
      },
      unroute: (request: number) => {
        this.#routes.delete(request);
      },
    };
    this.#manager = new GroupManager(this.#host);
  }

  /** Counters since the ledger was created. */
  get counters(): Readonly<LedgerCounters> {
    return this.#environment.counters;
  }

  /** Bytes of bodies and number of registers held by this node. */
  get usage(): { readonly bodyBytes: number; readonly registers: number } {
    const { bodyBudget, registerBudget } = this.#environment;
    return { bodyBytes: bodyBudget.bytes, registers: registerBudget.count };
  }

  /** Changes a register; ends with `changed`, `full` or `unavailable`. */
  change(request: ChangeRequest<Value>, now: Milliseconds): Effects<Value> {
    this.#operate(request, request.apply, false, now);
    return this.#settle(now);
  }

  /** Reads a register; ends with `changed` (and `written` false) or `unavailable`. */
  read(request: ReadRequest, now: Milliseconds): Effects<Value> {
    this.#operate(request, keepValue, true, now);
    return this.#settle(now);
  }

  /** Stores a body; ends with `stored`, `full` or `unavailable`. */
  storeBody(request: StoreBodyRequest, now: Milliseconds): Effects<Value> {
    const { shardKey, digest, body } = request;
    this.#operateOnBody(request, { kind: 'body-store', shardKey, digest, body }, now);
    return this.#settle(now);
  }

  /** Fetches a body; ends with `body`, `body-missing` or `unavailable`. */
  fetchBody(request: FetchBodyRequest, now: Milliseconds): Effects<Value> {
    const { shardKey, digest } = request;
    this.#operateOnBody(request, { kind: 'body-fetch', shardKey, digest }, now);
    return this.#settle(now);
  }

  /** Forgets an operation; it reports no outcome, though its change may still take effect. */
  cancel(operationId: string): Effects<Value> {
    for (const proposer of this.#proposers.values()) proposer.cancel(operationId);
    this.#bodyOperations.get(operationId)?.cancel();
    this.#bodyOperations.delete(operationId);
    return this.#environment.takeEffects();
  }

  /**
   * Removes the register with this key or, where the prefix ends with `/`, all below it. To be
   * called only once no caller relies on them any more: removal is not agreed by a majority.
   */
  removeKeys(
    domain: string,
    shardKey: string,
    keyPrefix: string,
    now: Milliseconds,
  ): Effects<Value> {
    this.#remove(domain, shardKey, { kind: 'registers', name: keyPrefix }, null, now);
    return this.#settle(now);
  }

  /** Removes the bodies of a shard key with these digests, or all of them for `null`. */
  removeBodies(
    domain: string,
    shardKey: string,
    digests: readonly string[] | null,
    now: Milliseconds,
  ): Effects<Value> {
    this.#remove(domain, shardKey, { kind: 'bodies', name: shardKey }, digests, now);
    return this.#settle(now);
  }

  /** Handles a message; one that is meant for another life of this node is dropped. */
  receive(from: NodeIdentity, message: LedgerMessage, now: Milliseconds): Effects<Value> {
    if (message.to === this.#environment.selfKey) this.#handle(from, message, now);
    return this.#settle(now);
  }

  /** Lets time pass: deadlines, repeated sends, catch-up and group changes. */
  tick(now: Milliseconds): Effects<Value> {
    for (const [name, proposer] of this.#proposers) {
      proposer.tick(now);
      if (proposer.isIdle) this.#proposers.delete(name);
    }
    for (const [operationId, operation] of this.#bodyOperations) {
      operation.tick(now);
      if (operation.isDone) this.#bodyOperations.delete(operationId);
    }
    for (const replica of this.#groups.replicas()) replica.tick(now);
    this.#removals.tick(now);
    this.#service.tick(now);
    this.#manager.tick(now);
    return this.#settle(now);
  }

  /** Takes group records of the configuration feed; older ones change nothing. */
  updateGroups(groups: Iterable<GroupRecord>, now: Milliseconds): Effects<Value> {
    for (const record of groups) this.#learn(record, now);
    return this.#settle(now);
  }

  /** Takes the membership and the residency domains in use. */
  updateMembers(
    members: readonly LedgerMember[],
    domains: readonly LedgerDomain[],
    now: Milliseconds,
  ): Effects<Value> {
    this.#view.update(members, domains, now);
    this.#environment.alive = this.#view.alive;
    return this.#settle(now);
  }

  /** Takes the answer to a `key-value` effect of this ledger. */
  keyValueResult(requestId: string, result: KeyValueResult, now: Milliseconds): Effects<Value> {
    this.#manager.keyValueResult(requestId, result, now);
    return this.#settle(now);
  }

  /** Accepted values below a prefix in shards this node votes in; hints, maybe not agreed. */
  *localEntries(keyPrefix: string): Iterable<LocalEntry<Value>> {
    for (const replica of this.#groups.replicas()) {
      if (!replica.isActive) continue;
      const { domain } = replica.newest;
      for (const { key, shardKey, value } of replica.acceptor.accepted()) {
        if (!key.startsWith(keyPrefix)) continue;
        yield { domain, shardKey, key, value: value as Value };
      }
    }
  }

  /** The newest known record of the group that holds a shard key. */
  groupFor(domain: string, shardKey: string): GroupRecord | undefined {
    return this.#groups.group(domain, this.#shardOf(shardKey));
  }

  /** Whether this node votes in the newest known epoch of the shard key's group. */
  isActiveMember(domain: string, shardKey: string): boolean {
    return this.#groups.replica(domain, this.#shardOf(shardKey))?.isActive === true;
  }

  /** How all known groups stand. */
  health(): readonly GroupHealth[] {
    return this.#groups.health();
  }

  #shardOf(shardKey: string): number {
    return placementHash(shardKey) % this.#environment.settings.shardsPerDomain;
  }

  #operate(
    request: ReadRequest,
    apply: ChangeRequest<Value>['apply'],
    isRead: boolean,
    now: Milliseconds,
  ): void {
    const { domain, shardKey, key, operationId, deadline } = request;
    const name = `${domain}\n${shardKey}\n${key}`;
    let proposer = this.#proposers.get(name);
    if (proposer === undefined) {
      const address = { domain, shard: this.#shardOf(shardKey), shardKey, key };
      proposer = new RegisterProposer(this.#host, address);
      this.#proposers.set(name, proposer);
    }
    const operation: RegisterOperation<Value> = {
      operationId,
      shardKey,
      deadline,
      isRead,
      apply,
      mayHaveApplied: false,
    };
    proposer.add(operation, now);
  }

  #operateOnBody(
    request: StoreBodyRequest | FetchBodyRequest,
    content: Extract<LedgerContent, { kind: 'body-store' | 'body-fetch' }>,
    now: Milliseconds,
  ): void {
    const { operationId, domain, shardKey, deadline } = request;
    const shard = this.#shardOf(shardKey);
    const operation = new BodyOperation(this.#host, {
      operationId,
      domain,
      shard,
      deadline,
      content,
    });
    this.#bodyOperations.set(operationId, operation);
    operation.tick(now);
  }

  #remove(
    domain: string,
    shardKey: string,
    tombstone: Tombstone,
    digests: readonly string[] | null,
    now: Milliseconds,
  ): void {
    const shard = this.#shardOf(shardKey);
    this.#groups.replica(domain, shard)?.remove(tombstone, digests, now);
    const group = this.#groups.group(domain, shard);
    if (group === undefined) return;
    this.#removals.begin(group, { kind: 'remove', tombstone, digests }, now);
  }

  #learn(record: GroupRecord, now: Milliseconds): void {
    this.#groups.learn(record, now);
  }

  /** Handles messages to this node itself until none is left, then hands over the effects. */
  #settle(now: Milliseconds): Effects<Value> {
    let message = this.#environment.takeOwnMessage();
    while (message !== undefined) {
      this.#handle(this.#environment.settings.self, message, now);
      message = this.#environment.takeOwnMessage();
    }
    return this.#environment.takeEffects();
  }

  #handle(from: NodeIdentity, message: LedgerMessage, now: Milliseconds): void {
    const { domain, shard } = message;
    const fromKey = identityKey(from);
    switch (message.kind) {
      case 'pull':
        this.#learn(message.record, now);
        this.#answer(from, message, now);
        return;
      case 'read':
      case 'prepare':
      case 'accept':
      case 'body-store':
      case 'body-fetch':
      case 'body-list':
      case 'remove':
      case 'activation-query':
        this.#answer(from, message, now);
        return;
      case 'refused':
        this.#exchangeRecords(from, message, now);
        this.#routes.get(message.request)?.receive(fromKey, message, now);
        return;
      case 'register':
      case 'accepted':
      case 'conflict':
      case 'body-stored':
        this.#routes.get(message.request)?.receive(fromKey, message, now);
        return;
      case 'body':
      case 'body-names':
        this.#routes.get(message.request)?.receive(fromKey, message, now);
        this.#groups.replica(domain, shard)?.receiveBodies(fromKey, message, now);
        return;
      case 'page-refused':
        if (message.record !== null) this.#learn(message.record, now);
        this.#groups.replica(domain, shard)?.receivePage(fromKey, message, now);
        return;
      case 'page':
        this.#groups.replica(domain, shard)?.receivePage(fromKey, message, now);
        return;
      case 'group-record':
        this.#learn(message.record, now);
        return;
      case 'activation':
        this.#learn(message.record, now);
        this.#activations.note(message.record, fromKey, message.state);
        return;
      case 'removed':
        this.#removals.receive(fromKey, message);
        return;
    }
  }

  #answer(
    from: NodeIdentity,
    message: Parameters<ReplicaService<Value>['answer']>[1],
    now: Milliseconds,
  ): void {
    const { domain, shard } = message;
    const replica = this.#groups.replica(domain, shard);
    const record = this.#groups.group(domain, shard);
    this.#service.answer(from, message, replica, record, now);
  }

  /** After a refusal, whichever side knows the older record learns the newer one. */
  #exchangeRecords(
    from: NodeIdentity,
    message: Extract<LedgerMessage, { kind: 'refused' }>,
    now: Milliseconds,
  ): void {
    const { record, domain, shard } = message;
    if (record !== null) this.#learn(record, now);
    const own = this.#groups.group(domain, shard);
    if (own === undefined || (record !== null && record.epoch >= own.epoch)) return;
    this.#environment.send(from, own, 0, { kind: 'group-record', record: own });
  }
}
