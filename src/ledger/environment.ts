/**
 * What the parts of one ledger share: settings, counters, budgets and the way out for messages.
 * Messages to the node itself are queued and handled before the ledger's method returns.
 */
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { RegisterBudget } from './acceptor.js';
import type { BodyBudget } from './body-store.js';
import { DiskBodies } from './disk-bodies.js';
import type { LedgerContent, LedgerMessage } from './messages.js';
import type { LedgerSettings } from './options.js';
import type { LedgerCounters, LedgerEffect, LedgerOutcome } from './requests.js';

/** The shard and epoch a message is about. */
export interface ShardEpoch {
  readonly domain: string;
  readonly shard: number;
  readonly epoch: number;
}

/** Shared state of one ledger. */
export class LedgerEnvironment<Value> {
  readonly settings: LedgerSettings;
  readonly selfKey: string;
  readonly registerBudget: RegisterBudget;
  readonly bodyBudget: BodyBudget;
  readonly disk: DiskBodies;
  readonly counters: LedgerCounters = {
    changesCompleted: 0,
    operationsUnavailable: 0,
    conflicts: 0,
    resends: 0,
    refusals: 0,
    groupChangesDecided: 0,
    activations: 0,
    bodiesRepaired: 0,
    bodiesLoaded: 0,
    bodiesUnreadable: 0,
    fullRefusals: 0,
  };
  /** Identity keys of the lives that the membership sees alive. */
  alive: ReadonlySet<string> = new Set();
  #effects: LedgerEffect<Value>[] = [];
  #toSelf: LedgerMessage[] = [];
  #requests = 0;

  constructor(settings: LedgerSettings) {
    this.settings = settings;
    this.selfKey = identityKey(settings.self);
    this.registerBudget = { count: 0, limit: settings.registerLimit };
    this.bodyBudget = { bytes: 0, limit: settings.bodyBytesLimit };
    this.disk = new DiskBodies({
      found: settings.diskBodies,
      shardsPerDomain: settings.shardsPerDomain,
      request: (request) => this.emit({ kind: 'disk', request }),
    });
  }

  /** A number that no other request of this life has. */
  nextRequest(): number {
    this.#requests += 1;
    return this.#requests;
  }

  /** Sends a message to one life of a node. */
  send(to: NodeIdentity, about: ShardEpoch, request: number, content: LedgerContent): void {
    const toKey = identityKey(to);
    const { domain, shard, epoch } = about;
    const message: LedgerMessage = { domain, shard, epoch, to: toKey, request, ...content };
    if (toKey === this.selfKey) this.#toSelf.push(message);
    else this.#effects.push({ kind: 'send', to, message });
  }

  /** Reports the end of an operation. */
  complete(operationId: string, outcome: LedgerOutcome<Value>): void {
    if (outcome.kind === 'unavailable') this.counters.operationsUnavailable += 1;
    if (outcome.kind === 'changed') this.counters.changesCompleted += 1;
    if (outcome.kind === 'full') this.counters.fullRefusals += 1;
    this.#effects.push({ kind: 'completed', operationId, outcome });
  }

  /** Adds any other effect. */
  emit(effect: LedgerEffect<Value>): void {
    this.#effects.push(effect);
  }

  /** The next message this node sent to itself. */
  takeOwnMessage(): LedgerMessage | undefined {
    return this.#toSelf.shift();
  }

  /** Hands over the effects so far. */
  takeEffects(): readonly LedgerEffect<Value>[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
