/**
 * Collects what the modules of one node cause while an event is handled, and gives them the time,
 * timers and counters they share. Messages to the node itself are kept apart, to be handled next.
 */
import { MemoryCounters } from '../core/counter-names.js';
import { type NodeIdentity, type NodeRecord, sameIdentity } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { CallReply, ExplainRecord } from './calls.js';
import type { NodeEffect } from './node-events.js';
import type { PeerMessage } from './peer-message.js';

/** How a node's address is found. */
export type AddressLookup = (identity: NodeIdentity) => string | undefined;

interface Timer {
  readonly due: Milliseconds;
  readonly callback: () => void;
}

/** Shared state of one node while it handles events. */
export class NodeContext {
  readonly counters = new MemoryCounters();
  /** Messages from this node to itself, oldest first. */
  readonly localMessages: PeerMessage[] = [];
  /** Set where an operator's drain asks this node to stop. */
  localStop = false;
  private readonly openCalls = new Set<string>();
  private effects: NodeEffect[] = [];
  private timers: Timer[] = [];
  private time: Milliseconds = 0;

  constructor(
    readonly self: NodeRecord,
    readonly random: RandomSource,
    private readonly addressOf: AddressLookup,
    private readonly explainLog: { add(record: ExplainRecord): void },
  ) {}

  /** Starts the handling of an event. */
  begin(now: Milliseconds): void {
    this.time = now;
  }

  /** The effects since the last call. */
  takeEffects(): readonly NodeEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }

  /** Time of the event that is handled. */
  now(): Milliseconds {
    return this.time;
  }

  /** Causes an effect. */
  emit(effect: NodeEffect): void {
    this.effects.push(effect);
  }

  /** Sends a message to a life of a node; one to itself is handled next. */
  send(to: NodeIdentity, message: PeerMessage): void {
    if (sameIdentity(to, this.self)) {
      this.localMessages.push(message);
      return;
    }
    const address = this.addressOf(to);
    if (address === undefined) {
      this.counters.increment('messages_dropped');
      return;
    }
    this.sendToAddress(to, address, message);
  }

  /** Sends a message to an address; `to` is `null` where the life behind it is not known. */
  sendToAddress(to: NodeIdentity | null, address: string, message: PeerMessage): void {
    const identity = to === null ? null : { node: to.node, incarnation: to.incarnation };
    this.emit({ kind: 'send', to: identity, address, message });
  }

  /** How many calls wait for their final reply. */
  get openCallCount(): number {
    return this.openCalls.size;
  }

  /** Notes a call that will get a final reply. */
  beginCall(callId: string): void {
    this.openCalls.add(callId);
  }

  /** The caller has gone; no reply is owed. */
  abandonCall(callId: string): void {
    this.openCalls.delete(callId);
  }

  /** Sends one reply to a call. */
  reply(callId: string, reply: CallReply): void {
    if (reply.kind !== 'segment') this.openCalls.delete(callId);
    this.emit({ kind: 'reply', callId, reply });
  }

  /** Runs a callback at the first tick after a delay. */
  later(delay: Milliseconds, callback: () => void): void {
    this.timers.push({ due: this.time + delay, callback });
  }

  /** Runs the timers that are due. */
  runTimers(): void {
    if (this.timers.length === 0) return;
    const due = this.timers.filter((timer) => timer.due <= this.time);
    if (due.length === 0) return;
    this.timers = this.timers.filter((timer) => timer.due > this.time);
    for (const timer of due) timer.callback();
  }

  /** Keeps a decision so that it can be explained. */
  explain(subject: string, decision: string, reason: string): void {
    this.explainLog.add({ at: this.time, subject, decision, reason });
  }

  /** Writes one log line about a change of state. */
  stateChange(
    module: string,
    change: string,
    details: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.emit({ kind: 'state-change', module, change, details });
  }
}
