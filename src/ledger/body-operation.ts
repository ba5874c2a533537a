/** Storing a body on a majority of a group, and fetching one from any member. */
import type { GroupRecord } from '../config-feed/configuration.js';
import { contentDigest } from '../core/hashing.js';
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { LedgerEnvironment } from './environment.js';
import { majorityOf } from './group-record.js';
import type { MemberView } from './member-view.js';
import type { LedgerContent, LedgerMessage } from './messages.js';
import type { LedgerOutcome } from './requests.js';
import { Round } from './round.js';

/** What a body operation needs from the ledger. */
export interface BodyOperationHost<Value> {
  readonly environment: LedgerEnvironment<Value>;
  readonly view: MemberView;
  group(domain: string, shard: number): GroupRecord | undefined;
  route(request: number, operation: BodyOperation<Value>): void;
  unroute(request: number): void;
}

/** One body operation; `content` is a `body-store` or a `body-fetch`. */
export interface BodyRequest {
  readonly operationId: string;
  readonly domain: string;
  readonly shard: number;
  readonly deadline: Milliseconds;
  readonly content: Extract<LedgerContent, { kind: 'body-store' | 'body-fetch' }>;
}

/** One running body operation. */
export class BodyOperation<Value> {
  readonly #host: BodyOperationHost<Value>;
  readonly #request: BodyRequest;
  #group: GroupRecord | undefined;
  #round: Round<Value> | undefined;
  #missing = new Set<string>();
  #wasSent = false;
  #isDone = false;

  constructor(host: BodyOperationHost<Value>, request: BodyRequest) {
    this.#host = host;
    this.#request = request;
  }

  /** Whether the outcome was reported or the operation cancelled. */
  get isDone(): boolean {
    return this.#isDone;
  }

  /** Starts, starts over in a newer epoch, sends again, or gives up at the deadline. */
  tick(now: Milliseconds): void {
    if (this.#isDone) return;
    if (now >= this.#request.deadline) {
      const mayHaveApplied = this.#wasSent && this.#request.content.kind === 'body-store';
      this.#end({ kind: 'unavailable', mayHaveApplied });
      return;
    }
    const group = this.#host.group(this.#request.domain, this.#request.shard);
    if (group === undefined) return;
    if (group.epoch === this.#group?.epoch) this.#round?.tick(now);
    else this.#start(group, now);
  }

  /** Stops without an outcome. */
  cancel(): void {
    this.#isDone = true;
    if (this.#round !== undefined) this.#host.unroute(this.#round.request);
  }

  /** Takes an answer of a member. */
  receive(from: string, message: LedgerMessage, now: Milliseconds): void {
    const round = this.#round;
    if (this.#isDone || round === undefined || message.request !== round.request) return;
    if (message.kind === 'body-stored') {
      if (round.agree(from) && (round.hasMajority || !this.#needsMajority)) {
        this.#end({ kind: 'stored' });
      }
    } else if (message.kind === 'body') {
      this.#receiveBody(from, message.body, round);
    } else if (message.kind === 'refused') {
      if (message.reason === 'not-active') {
        this.tick(now);
        return;
      }
      round.oppose(from);
      if (!round.hasFailed) return;
      const isFull = message.reason === 'full';
      this.#end(isFull ? { kind: 'full' } : { kind: 'unavailable', mayHaveApplied: false });
    }
  }

  get #needsMajority(): boolean {
    return this.#host.environment.settings.bodyMajority;
  }

  #start(group: GroupRecord, now: Milliseconds): void {
    if (this.#round !== undefined) this.#host.unroute(this.#round.request);
    this.#group = group;
    this.#missing = new Set();
    const { content } = this.#request;
    const { environment } = this.#host;
    const quorum = majorityOf(group.members.length);
    const round = new Round(environment, group, this.#receivers(group), content, now, quorum);
    this.#round = round;
    this.#host.route(round.request, this);
    this.#wasSent = true;
    if (content.kind === 'body-store' && this.#needsMajority) round.open();
    else round.openToOne();
  }

  /** A body is never sent to a member in a zone that the domain no longer names. */
  #receivers(group: GroupRecord): readonly NodeIdentity[] {
    const { content, domain } = this.#request;
    if (content.kind === 'body-fetch') return group.members;
    const { view } = this.#host;
    return group.members.filter((member) => !view.isMisplaced(domain, identityKey(member)));
  }

  #receiveBody(from: string, body: string | null, round: Round<Value>): void {
    const { content } = this.#request;
    const { digest } = content;
    if (body !== null && contentDigest(body) === digest) {
      this.#end({ kind: 'body', body });
      return;
    }
    if (!round.agree(from)) return;
    this.#missing.add(from);
    const { alive } = this.#host.environment;
    const unasked = round.members.filter((member) => !this.#missing.has(identityKey(member)));
    const living = unasked.filter((member) => alive.has(identityKey(member)));
    if (round.hasMajority && living.length === 0) this.#end({ kind: 'body-missing' });
    else round.openToOne();
  }

  #end(outcome: LedgerOutcome<Value>): void {
    this.cancel();
    this.#host.environment.complete(this.#request.operationId, outcome);
  }
}
