/** Answers requests of other nodes to the replicas this node holds. */
import type { GroupRecord } from '../config-feed/configuration.js';
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { Copies, pageOf } from './copies.js';
import type { LedgerEnvironment } from './environment.js';
import type {
  BodyName,
  LedgerContent,
  LedgerMessage,
  RefusalReason,
  RegisterEntry,
} from './messages.js';
import type { Replica } from './replica.js';

/** Requests that a replica answers. */
export type ReplicaRequest = Extract<
  LedgerMessage,
  {
    kind:
      | 'read'
      | 'prepare'
      | 'accept'
      | 'body-store'
      | 'body-fetch'
      | 'body-list'
      | 'pull'
      | 'remove'
      | 'activation-query';
  }
>;

/** The serving side of a ledger. */
export class ReplicaService<Value> {
  readonly #environment: LedgerEnvironment<Value>;
  readonly #entryCopies = new Copies<RegisterEntry>();
  readonly #bodyCopies = new Copies<BodyName>();

  constructor(environment: LedgerEnvironment<Value>) {
    this.#environment = environment;
  }

  /** Drops copies nobody asks for any more. */
  tick(now: Milliseconds): void {
    this.#entryCopies.expire(now);
    this.#bodyCopies.expire(now);
  }

  /** Answers one request; `record` is the newest this node knows of the group. */
  answer(
    from: NodeIdentity,
    request: ReplicaRequest,
    replica: Replica<Value> | undefined,
    record: GroupRecord | undefined,
    now: Milliseconds,
  ): void {
    const content = this.#contentOf(from, request, replica, record, now);
    if (content === undefined) return;
    if (content.kind === 'refused') this.#environment.counters.refusals += 1;
    this.#environment.send(from, request, request.request, content);
  }

  #contentOf(
    from: NodeIdentity,
    request: ReplicaRequest,
    replica: Replica<Value> | undefined,
    record: GroupRecord | undefined,
    now: Milliseconds,
  ): LedgerContent | undefined {
    const refuse = (reason: RefusalReason): LedgerContent => {
      return { kind: 'refused', reason, record: record ?? null };
    };
    switch (request.kind) {
      case 'read':
      case 'prepare':
      case 'accept': {
        if (replica?.isActiveIn(request.epoch) !== true) return refuse('not-active');
        const answer = this.#vote(request, replica);
        return answer.kind === 'refused' ? refuse(answer.reason) : answer;
      }
      case 'body-store':
        if (replica?.isActiveIn(request.epoch) !== true) return refuse('not-active');
        return this.#storeBody(request, replica, refuse, now);
      case 'body-fetch':
        return { kind: 'body', body: replica?.bodies.fetch(request) ?? null };
      case 'body-list':
        return this.#listBodies(from, request, replica, now);
      case 'pull':
        return this.#page(from, request, replica, record, now);
      case 'remove':
        replica?.remove(request.tombstone, request.digests, now);
        return { kind: 'removed' };
      case 'activation-query':
        if (replica === undefined) return record && { kind: 'group-record', record };
        return { kind: 'activation', state: replica.state, record: replica.newest };
    }
  }

  #vote(
    request: Extract<ReplicaRequest, { kind: 'read' | 'prepare' | 'accept' }>,
    replica: Replica<Value>,
  ) {
    switch (request.kind) {
      case 'read':
        return replica.acceptor.read(request.key);
      case 'prepare':
        return replica.acceptor.prepare(request.key, request.ballot);
      case 'accept':
        return replica.acceptor.accept(request);
    }
  }

  #storeBody(
    request: Extract<ReplicaRequest, { kind: 'body-store' }>,
    replica: Replica<Value>,
    refuse: (reason: RefusalReason) => LedgerContent,
    now: Milliseconds,
  ): LedgerContent | undefined {
    const expiresAt = now + this.#environment.settings.bodyLifetime;
    const result = replica.bodies.store(request, request.body, expiresAt);
    if (result === 'stored') return { kind: 'body-stored' };
    return result === 'corrupt' ? undefined : refuse(result);
  }

  #listBodies(
    from: NodeIdentity,
    request: Extract<ReplicaRequest, { kind: 'body-list' }>,
    replica: Replica<Value> | undefined,
    now: Milliseconds,
  ): LedgerContent | undefined {
    if (replica === undefined) return undefined;
    // The listing member is active in this epoch, so that the one before is over.
    replica.sealBefore(request.epoch);
    const { cursor } = request;
    const name = this.#copyName(from, request);
    const names = this.#bodyCopies.get(name, cursor, () => replica.bodies.names(), now);
    if (names === undefined) return undefined;
    const page = pageOf(names, cursor, this.#environment.settings.pageEntries);
    return { kind: 'body-names', cursor, names: page.items, last: page.last };
  }

  #page(
    from: NodeIdentity,
    request: Extract<ReplicaRequest, { kind: 'pull' }>,
    replica: Replica<Value> | undefined,
    record: GroupRecord | undefined,
    now: Milliseconds,
  ): LedgerContent {
    const refused: LedgerContent = { kind: 'page-refused', record: record ?? null };
    const source = replica?.sourceFor(request.record);
    if (replica === undefined || source === undefined) return refused;
    const { cursor } = request;
    const name = `${this.#copyName(from, request)}/${source.kind}`;
    const entries = this.#entryCopies.get(name, cursor, source.entries, now);
    if (entries === undefined) return refused;
    const page = pageOf(entries, cursor, this.#environment.settings.pageEntries);
    const tombstones = page.last ? replica.tombstones() : [];
    return {
      kind: 'page',
      source: source.kind,
      cursor,
      entries: page.items,
      tombstones,
      last: page.last,
    };
  }

  #copyName(from: NodeIdentity, request: ReplicaRequest): string {
    return `${identityKey(from)}/${request.domain}/${request.shard}/${request.request}`;
  }
}
