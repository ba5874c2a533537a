/**
 * Joins the ledger to a node: turns its effects into the node's, and its outcomes into callbacks.
 * A callback never runs inside the call that took it.
 */
import { contentDigest } from '../core/hashing.js';
import type { LedgerCallback, LedgerPort, RegisterAddress } from '../core/node-ports.js';
import type { Milliseconds } from '../core/units.js';
import type { Ledger, LedgerChange, LedgerEffect } from '../ledger/ledger.js';
import type { LedgerRecord } from '../rollouts/records.js';
import type { NodeContext } from './node-context.js';

/** Prefix of the key-value requests of the ledger. */
export const LEDGER_REQUEST_PREFIX = 'ledger:';

/** The ledger as the other modules of a node see it. */
export class LedgerAdapter implements LedgerPort {
  private readonly callbacks = new Map<string, LedgerCallback>();
  private readonly completed: (() => void)[] = [];
  private lastOperation = 0;

  constructor(
    private readonly ledger: Ledger<LedgerRecord>,
    private readonly context: NodeContext,
  ) {}

  /** The ledger, for queries. */
  get view(): Ledger<LedgerRecord> {
    return this.ledger;
  }

  /** How many operations have no outcome yet. */
  get openCount(): number {
    return this.callbacks.size;
  }

  change(
    address: RegisterAddress,
    apply: (current: LedgerRecord | null) => LedgerChange<LedgerRecord>,
    deadline: Milliseconds,
    done: LedgerCallback,
  ): void {
    const operationId = this.register(done);
    const request = { operationId, ...address, apply, deadline };
    this.apply(this.ledger.change(request, this.context.now()));
  }

  read(address: RegisterAddress, deadline: Milliseconds, done: LedgerCallback): void {
    const operationId = this.register(done);
    this.apply(this.ledger.read({ operationId, ...address, deadline }, this.context.now()));
  }

  storeBody(
    domain: string,
    shardKey: string,
    body: string,
    deadline: Milliseconds,
    done: (digest: string, outcome: Parameters<LedgerCallback>[0]) => void,
  ): void {
    const digest = contentDigest(body);
    const operationId = this.register((outcome) => done(digest, outcome));
    const request = { operationId, domain, shardKey, body, digest, deadline };
    this.apply(this.ledger.storeBody(request, this.context.now()));
  }

  fetchBody(
    domain: string,
    shardKey: string,
    digest: string,
    deadline: Milliseconds,
    done: LedgerCallback,
  ): void {
    const operationId = this.register(done);
    const request = { operationId, domain, shardKey, digest, deadline };
    this.apply(this.ledger.fetchBody(request, this.context.now()));
  }

  removeRegisters(domain: string, shardKey: string, key: string): void {
    this.apply(this.ledger.removeKeys(domain, shardKey, key, this.context.now()));
  }

  removeBodies(domain: string, shardKey: string, digests: readonly string[] | null): void {
    this.apply(this.ledger.removeBodies(domain, shardKey, digests, this.context.now()));
  }

  /** Carries out what the ledger wants. */
  apply(effects: readonly LedgerEffect<LedgerRecord>[]): void {
    for (const effect of effects) this.applyOne(effect);
  }

  /** Runs the callbacks of operations that have completed; true if there were any. */
  runCompleted(): boolean {
    const batch = this.completed.splice(0);
    for (const run of batch) run();
    return batch.length > 0;
  }

  private applyOne(effect: LedgerEffect<LedgerRecord>): void {
    switch (effect.kind) {
      case 'send':
        this.context.send(effect.to, { module: 'ledger', body: effect.message });
        return;
      case 'key-value':
        this.context.emit({
          kind: 'key-value',
          requestId: LEDGER_REQUEST_PREFIX + effect.requestId,
          operation: effect.operation,
        });
        return;
      case 'completed':
        this.complete(effect);
        return;
      case 'disk':
        this.context.emit(effect);
        return;
      case 'state-change':
        this.context.stateChange('ledger', effect.change, effect.details);
        return;
    }
  }

  private complete(effect: Extract<LedgerEffect<LedgerRecord>, { kind: 'completed' }>): void {
    const callback = this.callbacks.get(effect.operationId);
    this.callbacks.delete(effect.operationId);
    if (callback !== undefined) this.completed.push(() => callback(effect.outcome));
  }

  private register(done: LedgerCallback): string {
    this.lastOperation += 1;
    const operationId = String(this.lastOperation);
    this.callbacks.set(operationId, done);
    return operationId;
  }
}
