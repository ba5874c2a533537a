/**
 * The replicated ledger: registers changed by compare-and-set at a majority of a replica group,
 * and bodies kept at a majority. Pure decision code; see docs/design/ledger.md.
 */
import type { GroupRecord } from '../config-feed/configuration.js';
import { placementHash } from '../core/hashing.js';
import type { NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { KeyValueResult } from '../platform/key-value.js';
import { Activations } from './activations.js';
import type { DiskBodyName } from './disk-bodies.js';
import { LedgerEnvironment } from './environment.js';
import { GroupManager } from './group-manager.js';
import { GroupTable } from './group-table.js';
import { MemberView } from './member-view.js';
import { MessageRouter } from './message-router.js';
import type { LedgerContent, LedgerMessage, Tombstone } from './messages.js';
import { keepValue } from './operation.js';
import { Operations } from './operations.js';
import { type LedgerOptions, resolveLedgerOptions } from './options.js';
import { preparedName } from './prepared-registers.js';
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

export type { DiskBodyName, DiskRequest } from './disk-bodies.js';
export { decodeGroupRecord, encodeGroupRecord } from './group-record.js';
export type { LedgerMessage } from './messages.js';
export type { LedgerOptions } from './options.js';
export type * from './requests.js';

type Effects<Value> = readonly LedgerEffect<Value>[];

/** One node's part of the ledger. */
export class Ledger<Value> {
  readonly #environment: LedgerEnvironment<Value>;
  readonly #activations = new Activations();
  readonly #view = new MemberView();
  readonly #groups: GroupTable<Value>;
  readonly #service: ReplicaService<Value>;
  readonly #router: MessageRouter<Value>;
  readonly #manager: GroupManager<Value>;
  readonly #removals: Removals<Value>;
  readonly #operations: Operations<Value>;

  constructor(options: LedgerOptions) {
    const environment = new LedgerEnvironment<Value>(resolveLedgerOptions(options));
    this.#environment = environment;
    this.#groups = new GroupTable(environment, this.#activations);
    this.#service = new ReplicaService(environment);
    this.#removals = new Removals(environment);
    this.#operations = new Operations(environment, this.#groups, this.#view);
    this.#manager = new GroupManager({
      environment,
      view: this.#view,
      activations: this.#activations,
      groups: this.#groups,
    });
    this.#router = new MessageRouter({
      environment,
      activations: this.#activations,
      groups: this.#groups,
      service: this.#service,
      removals: this.#removals,
      operations: this.#operations,
    });
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
    this.#operations.cancel(operationId);
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
    if (message.to === this.#environment.selfKey) this.#router.handle(from, message, now);
    return this.#settle(now);
  }

  /** Lets time pass: deadlines, repeated sends, catch-up and group changes. */
  tick(now: Milliseconds): Effects<Value> {
    this.#operations.tick(now);
    for (const replica of this.#groups.replicas()) replica.tick(now);
    this.#removals.tick(now);
    this.#service.tick(now);
    this.#manager.tick(now);
    return this.#settle(now);
  }

  /** Takes group records of the configuration feed; older ones change nothing. */
  updateGroups(groups: Iterable<GroupRecord>, now: Milliseconds): Effects<Value> {
    for (const record of groups) this.#groups.learn(record, now);
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

  /** Takes a body that a `load` request asked the disk for; `null` where it cannot be read. */
  bodyLoaded(name: DiskBodyName, body: string | null, now: Milliseconds): Effects<Value> {
    const replica = this.#groups.replica(name.domain, this.#shardOf(name.shardKey));
    replica?.bodyLoaded(name, body, now);
    return this.#settle(now);
  }

  /** Accepted values below a prefix in shards this node votes in; hints, maybe not agreed. */
  *localEntries(keyPrefix: string): Iterable<LocalEntry<Value>> {
    for (const replica of this.#groups.replicas()) {
      if (!replica.isActive) continue;
      const { domain } = replica.newest;
      for (const { key, shardKey, value } of replica.acceptor.accepted()) {
        if (value === null || !key.startsWith(keyPrefix)) continue;
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
    const address = { domain, shard: this.#shardOf(shardKey), shardKey, key };
    const operation = { operationId, deadline, isRead, apply, mayHaveApplied: false };
    this.#operations.startOnRegister(address, operation, now);
  }

  #operateOnBody(
    request: StoreBodyRequest | FetchBodyRequest,
    content: Extract<LedgerContent, { kind: 'body-store' | 'body-fetch' }>,
    now: Milliseconds,
  ): void {
    const { operationId, domain, shardKey, deadline } = request;
    const shard = this.#shardOf(shardKey);
    const bodyRequest = { operationId, domain, shard, deadline, content };
    this.#operations.startOnBody(bodyRequest, now);
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
    if (tombstone.kind === 'registers') {
      this.#operations.prepared.forget(preparedName(domain, shard, tombstone.name));
    }
    const group = this.#groups.group(domain, shard);
    if (group === undefined) return;
    this.#removals.begin(group, { kind: 'remove', tombstone, digests }, now);
  }

  /** Handles messages to this node itself until none is left, then hands over the effects. */
  #settle(now: Milliseconds): Effects<Value> {
    let message = this.#environment.takeOwnMessage();
    while (message !== undefined) {
      this.#router.handle(this.#environment.settings.self, message, now);
      message = this.#environment.takeOwnMessage();
    }
    return this.#environment.takeEffects();
  }
}
