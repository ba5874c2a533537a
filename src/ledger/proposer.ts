/**
 * The proposer of one register (CASPaxos, Rystsov 2018): prepare at a majority, apply the change
 * to the value with the highest accepted ballot, accept at a majority. Operations that arrive
 * during an attempt wait and share the next one.
 */
import type { GroupRecord } from '../config-feed/configuration.js';
import type { Milliseconds } from '../core/units.js';
import type { Ballot } from './ballot.js';
import { BallotSource } from './ballot-source.js';
import type { LedgerContent, LedgerMessage } from './messages.js';
import {
  applyBatch,
  completeResults,
  giveUpOperation,
  type OperationResult,
  type RegisterOperation,
} from './operation.js';
import { preparedName } from './prepared-registers.js';
import type { ProposerHost, RegisterAddress } from './proposer-host.js';
import type { Phase } from './proposer-phase.js';
import { RegisterAnswers } from './register-answers.js';
import { Round } from './round.js';

/** Conflicts double the backoff up to this many times. */
const BACKOFF_DOUBLINGS = 3;

/** Runs the operations of this node on one register, one attempt at a time. */
export class RegisterProposer<Value> {
  readonly #host: ProposerHost<Value>;
  readonly #address: RegisterAddress;
  #queue: RegisterOperation<Value>[] = [];
  #phase: Phase<Value> = { kind: 'waiting', until: 0 };
  readonly #ballots: BallotSource<Value>;
  #conflicts = 0;
  /** Set when a read found no agreement, so that the next attempt settles the value. */
  #mustPrepare = false;

  constructor(host: ProposerHost<Value>, address: RegisterAddress) {
    this.#host = host;
    this.#address = address;
    this.#ballots = new BallotSource(host.environment);
  }

  /** Whether no operation is left. */
  get isIdle(): boolean {
    return this.#phase.kind === 'waiting' && this.#queue.length === 0;
  }

  /** Adds an operation and starts an attempt unless one is running. */
  add(operation: RegisterOperation<Value>, now: Milliseconds): void {
    this.#queue.push(operation);
    if (this.#phase.kind === 'waiting' && this.#phase.until <= now) this.#start(now);
  }

  /** Forgets an operation; a change already sent may still take effect. */
  cancel(operationId: string): void {
    this.#queue = this.#queue.filter((operation) => operation.operationId !== operationId);
    this.#dropFromBatch((operation) => operation.operationId === operationId);
    if (this.#queue.length === 0 && this.#phase.kind !== 'accept') this.#enter(0);
  }

  /** Ends operations past their deadline, sends again, and starts over when it is time. */
  tick(now: Milliseconds): void {
    this.#expire(now);
    const phase = this.#phase;
    if (phase.kind === 'waiting') {
      if (phase.until <= now) this.#start(now);
      return;
    }
    if (this.#currentGroup()?.epoch !== phase.group.epoch) this.#retry(now, now);
    else if (phase.round.isOpposed && phase.round.isDue(now)) this.#backOff(now);
    else phase.round.tick(now);
  }

  /** Takes an answer to the request of the running attempt. */
  receive(from: string, message: LedgerMessage, now: Milliseconds): void {
    const phase = this.#phase;
    if (phase.kind === 'waiting' || phase.round.request !== message.request) return;
    if (message.kind === 'register' && phase.kind !== 'accept') {
      if (!phase.round.agree(from)) return;
      phase.answers.add(message.accepted, message.value);
      if (phase.round.hasMajority) this.#decide(phase, now);
    } else if (message.kind === 'accepted' && phase.kind === 'accept') {
      if (phase.round.agree(from) && phase.round.hasMajority) this.#finish(phase, now);
    } else if (message.kind === 'conflict') {
      this.#ballots.observe(message.promised.counter);
      phase.round.oppose(from);
      if (phase.round.hasFailed) this.#backOff(now);
    } else if (message.kind === 'refused') {
      this.#refused(from, message, now);
    }
  }

  #refused(
    from: string,
    message: Extract<LedgerContent, { kind: 'refused' }>,
    now: Milliseconds,
  ): void {
    const phase = this.#phase;
    if (phase.kind === 'waiting') return;
    if (this.#currentGroup()?.epoch !== phase.group.epoch) {
      this.#retry(now, now);
      return;
    }
    if (message.reason === 'not-active') return;
    phase.round.oppose(from);
    if (!phase.round.hasFailed) return;
    this.#requeue();
    const refused = this.#queue;
    this.#queue = [];
    const isFull = message.reason === 'full';
    for (const operation of refused) giveUpOperation(this.#host.environment, operation, isFull);
    this.#enter(0);
  }

  #currentGroup(): GroupRecord | undefined {
    return this.#host.group(this.#address.domain, this.#address.shard);
  }

  #start(now: Milliseconds): void {
    if (this.#queue.length === 0) return;
    const group = this.#currentGroup();
    if (group === undefined) {
      this.#phase = { kind: 'waiting', until: now };
      return;
    }
    const onlyReads = this.#queue.every((operation) => operation.isRead);
    if (onlyReads && !this.#mustPrepare) {
      this.#ask('read', group, null, { kind: 'read', key: this.#address.key }, now);
      return;
    }
    const name = this.#preparedName();
    const prepared = this.#host.prepared.take(name, group.epoch);
    if (prepared !== undefined && !this.#mustPrepare) {
      // Others may have overtaken the prepared ballot, so only an acceptance proves the value.
      this.#accept(group, prepared.ballot, prepared.value, false, now);
      return;
    }
    const ballot = this.#newBallot(group.epoch);
    this.#ask('prepare', group, ballot, { kind: 'prepare', key: this.#address.key, ballot }, now);
  }

  #ask(
    kind: 'read' | 'prepare',
    group: GroupRecord,
    ballot: Ballot | null,
    content: LedgerContent,
    now: Milliseconds,
  ): void {
    const round = new Round(this.#host.environment, group, group.members, content, now);
    const present = new Set(this.#queue);
    this.#phase = { kind, round, group, ballot, answers: new RegisterAnswers(), present };
    this.#host.route(round.request, this);
    round.open();
  }

  #decide(phase: Extract<Phase<Value>, { kind: 'read' | 'prepare' }>, now: Milliseconds): void {
    const value = phase.answers.value as Value | null;
    const isChosen = phase.answers.isChosen(phase.group.epoch);
    this.#host.unroute(phase.round.request);
    if (phase.ballot !== null) {
      const isFresh = isChosen && this.#queue.every((operation) => phase.present.has(operation));
      this.#accept(phase.group, phase.ballot, value, isFresh, now);
      return;
    }
    if (isChosen) {
      const isAnswered = (operation: RegisterOperation<Value>): boolean =>
        operation.isRead && phase.present.has(operation);
      const reads = this.#queue.filter(isAnswered);
      this.#queue = this.#queue.filter((operation) => !isAnswered(operation));
      const results = reads.map((operation) => ({ operation, value, written: false }));
      completeResults(this.#host.environment, results);
    } else {
      this.#mustPrepare = true;
    }
    this.#enter(now);
    this.#start(now);
  }

  /**
   * Applies the waiting operations to the value and asks the members to accept the result. Where
   * nothing changes and the value is known to be fresh for all of them, that is not needed.
   */
  #accept(
    group: GroupRecord,
    ballot: Ballot,
    current: Value | null,
    isFresh: boolean,
    now: Milliseconds,
  ): void {
    const batch = applyBatch(this.#queue, current);
    this.#queue = [];
    if (!batch.written && isFresh) {
      this.#keepPrepared(ballot, current);
      this.#settled(batch.results, now);
      return;
    }
    for (const result of batch.results) {
      if (result.written) result.operation.mayHaveApplied = true;
    }
    const { key, shardKey } = this.#address;
    this.#ballots.observe(ballot.counter);
    const next = this.#host.environment.settings.piggybackPrepare
      ? this.#newBallot(group.epoch)
      : null;
    const content: LedgerContent = {
      kind: 'accept',
      key,
      shardKey,
      ballot,
      value: batch.value,
      next,
    };
    const round = new Round(this.#host.environment, group, group.members, content, now);
    this.#phase = { kind: 'accept', round, group, batch, next };
    this.#host.route(round.request, this);
    round.open();
  }

  #finish(phase: Extract<Phase<Value>, { kind: 'accept' }>, now: Milliseconds): void {
    this.#host.unroute(phase.round.request);
    if (phase.next !== null) this.#keepPrepared(phase.next, phase.batch.value);
    this.#settled(phase.batch.results, now);
  }

  #settled(results: readonly OperationResult<Value>[], now: Milliseconds): void {
    this.#conflicts = 0;
    this.#mustPrepare = false;
    completeResults(this.#host.environment, results);
    this.#enter(now);
    this.#start(now);
  }

  #keepPrepared(ballot: Ballot, value: Value | null): void {
    if (!this.#host.environment.settings.piggybackPrepare) return;
    this.#host.prepared.put(this.#preparedName(), { ballot, value });
  }

  #preparedName(): string {
    const { domain, shard, key } = this.#address;
    return preparedName(domain, shard, key);
  }

  /** After a conflict: at once the first time, then after a random wait that grows. */
  #backOff(now: Milliseconds): void {
    const { environment } = this.#host;
    environment.counters.conflicts += 1;
    this.#conflicts += 1;
    const doublings = Math.min(this.#conflicts - 2, BACKOFF_DOUBLINGS);
    const { conflictBackoff, random } = environment.settings;
    const longest = doublings < 0 ? 0 : conflictBackoff * 2 ** doublings;
    this.#retry(now + Math.floor(random.fraction() * longest), now);
  }

  #retry(at: Milliseconds, now: Milliseconds): void {
    this.#requeue();
    this.#enter(at);
    if (at <= now) this.#start(now);
  }

  #requeue(): void {
    const phase = this.#phase;
    if (phase.kind !== 'accept') return;
    const attempted = phase.batch.results.map((result) => result.operation);
    this.#queue = [...attempted, ...this.#queue];
  }

  /** Leaves the running attempt; the next one may start at the given time. */
  #enter(until: Milliseconds): void {
    if (this.#phase.kind !== 'waiting') this.#host.unroute(this.#phase.round.request);
    this.#phase = { kind: 'waiting', until };
  }

  #newBallot(epoch: number): Ballot {
    this.#ballots.observe(this.#host.promisedCounter(this.#address));
    return this.#ballots.next(epoch);
  }

  #expire(now: Milliseconds): void {
    const isOver = (operation: RegisterOperation<Value>): boolean => operation.deadline <= now;
    const over = this.#queue.filter(isOver);
    this.#queue = this.#queue.filter((operation) => !isOver(operation));
    over.push(...this.#dropFromBatch(isOver));
    for (const operation of over) giveUpOperation(this.#host.environment, operation, false);
    const phase = this.#phase;
    const isUnwanted =
      phase.kind === 'accept' ? phase.batch.results.length === 0 : this.#queue.length === 0;
    if (isUnwanted) this.#enter(0);
  }

  #dropFromBatch(matches: (operation: RegisterOperation<Value>) => boolean) {
    const phase = this.#phase;
    if (phase.kind !== 'accept') return [];
    const dropped = phase.batch.results.filter((result) => matches(result.operation));
    if (dropped.length === 0) return [];
    const results = phase.batch.results.filter((result) => !matches(result.operation));
    this.#phase = { ...phase, batch: { ...phase.batch, results } };
    return dropped.map((result) => result.operation);
  }
}
