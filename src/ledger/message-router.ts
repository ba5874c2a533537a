/** Hands each message of another node to the part of the ledger it is for. */
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { Activations } from './activations.js';
import type { LedgerEnvironment } from './environment.js';
import type { GroupTable } from './group-table.js';
import type { LedgerMessage } from './messages.js';
import type { Operations } from './operations.js';
import type { Removals } from './removals.js';
import type { ReplicaRequest, ReplicaService } from './replica-service.js';

/** The parts of a ledger that take messages. */
export interface MessageReceivers<Value> {
  readonly environment: LedgerEnvironment<Value>;
  readonly activations: Activations;
  readonly groups: GroupTable<Value>;
  readonly service: ReplicaService<Value>;
  readonly removals: Removals<Value>;
  readonly operations: Operations<Value>;
}

/** The one place that knows which message goes where. */
export class MessageRouter<Value> {
  readonly #receivers: MessageReceivers<Value>;

  constructor(receivers: MessageReceivers<Value>) {
    this.#receivers = receivers;
  }

  /** Handles a message that is meant for this life of the node. */
  handle(from: NodeIdentity, message: LedgerMessage, now: Milliseconds): void {
    const { domain, shard } = message;
    const fromKey = identityKey(from);
    switch (message.kind) {
      case 'pull':
        this.#receivers.groups.learn(message.record, now);
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
        this.#receivers.operations.receive(fromKey, message, now);
        return;
      case 'register':
      case 'accepted':
      case 'conflict':
      case 'body-stored':
        this.#receivers.operations.receive(fromKey, message, now);
        return;
      case 'body':
      case 'body-names':
        this.#receivers.operations.receive(fromKey, message, now);
        this.#receivers.groups.replica(domain, shard)?.receiveBodies(fromKey, message, now);
        return;
      case 'page-refused':
        if (message.record !== null) this.#receivers.groups.learn(message.record, now);
        this.#receivers.groups.replica(domain, shard)?.receivePage(fromKey, message, now);
        return;
      case 'page':
        this.#receivers.groups.replica(domain, shard)?.receivePage(fromKey, message, now);
        return;
      case 'group-record':
        this.#receivers.groups.learn(message.record, now);
        return;
      case 'activation':
        this.#receivers.groups.learn(message.record, now);
        this.#receivers.activations.note(message.record, fromKey, message.state);
        if (message.state === 'catching-up') return;
        this.#receivers.groups
          .replica(domain, shard)
          ?.noteActive(fromKey, message.record.epoch, now);
        return;
      case 'removed':
        this.#receivers.removals.receive(fromKey, message);
        return;
    }
  }

  #answer(from: NodeIdentity, message: ReplicaRequest, now: Milliseconds): void {
    const { domain, shard } = message;
    const replica = this.#receivers.groups.replica(domain, shard);
    const record = this.#receivers.groups.group(domain, shard);
    this.#receivers.service.answer(from, message, replica, record, now);
  }

  /** After a refusal, whichever side knows the older record learns the newer one. */
  #exchangeRecords(
    from: NodeIdentity,
    message: Extract<LedgerMessage, { kind: 'refused' }>,
    now: Milliseconds,
  ): void {
    const { record, domain, shard } = message;
    if (record !== null) this.#receivers.groups.learn(record, now);
    const own = this.#receivers.groups.group(domain, shard);
    if (own === undefined || (record !== null && record.epoch >= own.epoch)) return;
    this.#receivers.environment.send(from, own, 0, { kind: 'group-record', record: own });
  }
}
