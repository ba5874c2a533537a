/** Operations of this node's callers on registers and bodies, and the way of answers to them. */
import type { GroupRecord } from '../config-feed/configuration.js';
import type { Milliseconds } from '../core/units.js';
import { BodyOperation, type BodyRequest } from './body-operation.js';
import type { LedgerEnvironment } from './environment.js';
import type { GroupTable } from './group-table.js';
import type { MemberView } from './member-view.js';
import type { LedgerMessage } from './messages.js';
import type { RegisterOperation } from './operation.js';
import { PreparedRegisters } from './prepared-registers.js';
import { RegisterProposer } from './proposer.js';
import type { AnswerReceiver, ProposerHost, RegisterAddress } from './proposer-host.js';

/** All running operations of one ledger. */
export class Operations<Value> implements ProposerHost<Value> {
  readonly environment: LedgerEnvironment<Value>;
  readonly prepared: PreparedRegisters<Value>;
  readonly #groups: GroupTable<Value>;
  readonly #proposers = new Map<string, RegisterProposer<Value>>();
  readonly #bodyOperations = new Map<string, BodyOperation<Value>>();
  /** Which proposer or body operation waits for answers to a request. */
  readonly #routes = new Map<number, AnswerReceiver>();

  constructor(
    environment: LedgerEnvironment<Value>,
    groups: GroupTable<Value>,
    readonly view: MemberView,
  ) {
    this.environment = environment;
    this.#groups = groups;
    this.prepared = new PreparedRegisters(environment.settings.preparedLimit);
  }

  /** Starts an operation on a register, or lets it wait for the running attempt. */
  startOnRegister(
    address: RegisterAddress,
    operation: RegisterOperation<Value>,
    now: Milliseconds,
  ): void {
    const name = `${address.domain}\n${address.shardKey}\n${address.key}`;
    let proposer = this.#proposers.get(name);
    if (proposer === undefined) {
      proposer = new RegisterProposer(this, address);
      this.#proposers.set(name, proposer);
    }
    proposer.add(operation, now);
  }

  /** Starts storing or fetching a body. */
  startOnBody(request: BodyRequest, now: Milliseconds): void {
    const operation = new BodyOperation(this, request);
    this.#bodyOperations.set(request.operationId, operation);
    operation.tick(now);
  }

  /** Forgets an operation without an outcome. */
  cancel(operationId: string): void {
    for (const proposer of this.#proposers.values()) proposer.cancel(operationId);
    this.#bodyOperations.get(operationId)?.cancel();
    this.#bodyOperations.delete(operationId);
  }

  /** Hands an answer to the operation that waits for it, if any. */
  receive(from: string, message: LedgerMessage, now: Milliseconds): void {
    this.#routes.get(message.request)?.receive(from, message, now);
  }

  /** Lets time pass for all operations. */
  tick(now: Milliseconds): void {
    for (const [name, proposer] of this.#proposers) {
      proposer.tick(now);
      if (proposer.isIdle) this.#proposers.delete(name);
    }
    for (const [operationId, operation] of this.#bodyOperations) {
      operation.tick(now);
      if (operation.isDone) this.#bodyOperations.delete(operationId);
    }
  }

  group(domain: string, shard: number): GroupRecord | undefined {
    return this.#groups.group(domain, shard);
  }

  promisedCounter({ domain, shard, key }: RegisterAddress): number {
    return this.#groups.replica(domain, shard)?.acceptor.highestCounter(key) ?? 0;
  }

  route(request: number, receiver: AnswerReceiver): void {
    this.#routes.set(request, receiver);
  }

  unroute(request: number): void {
    this.#routes.delete(request);
  }
}
