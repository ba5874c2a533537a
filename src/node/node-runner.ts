/**
 * Runs one node as a process: feeds its decision core with events (ticks, peers' messages, calls,
 * what comes of its effects) and carries its effects out. Events are handled one at a time.
 */
import { interval, merge, Observable, Subject, type Subscription } from 'rxjs';
import { map, tap } from 'rxjs/operators';
import type { Milliseconds } from '../core/units.js';
import type { ErrorKind } from '../errors/error-kinds.js';
import type { CallHandler } from '../gateway/call-handler.js';
import type { NodeCounters } from '../telemetry/counters.js';
import type { ReceivedMessage } from '../transport/peer-transport.js';
import type { CallReply, NodeCall, Readiness } from './calls.js';
import type { EffectRunner } from './effect-runner.js';
import type { NodeCore } from './node-core.js';
import { type NodeEffect, type NodeEvent, TICK_INTERVAL_MILLISECONDS } from './node-events.js';

/** Whole microseconds keep numbers short on the wire. */
const CLOCK_RESOLUTION = 1_000;

/** The process's monotonic clock, in milliseconds. */
export function monotonicNow(): Milliseconds {
  return Math.round(performance.now() * CLOCK_RESOLUTION) / CLOCK_RESOLUTION;
}

/** What a runner joins. */
export interface NodeRunnerParts {
  readonly core: NodeCore;
  readonly effects: EffectRunner;
  readonly received: Observable<ReceivedMessage>;
  readonly counters: NodeCounters;
  readonly metricsText: () => Promise<string>;
}

/** Joins a node's core to its effects and callers. */
export class NodeRunner implements CallHandler {
  private readonly core: NodeCore;
  private readonly ownEvents = new Subject<NodeEvent>();
  private readonly openCalls = new Map<string, Subject<CallReply>>();
  private subscription: Subscription | null = null;
  private lastCall = 0;
  private readonly stoppedSignal = new Subject<void>();

  constructor(private readonly parts: NodeRunnerParts) {
    this.core = parts.core;
  }

  /** Emits once when the core has ended all its work after a stop. */
  get stopped(): Observable<void> {
    return this.stoppedSignal.asObservable();
  }

  /** Begins to handle events. */
  start(): void {
    const ticks = interval(TICK_INTERVAL_MILLISECONDS).pipe(map(() => TICK));
    const messages = this.parts.received.pipe(
      tap(({ message }) => this.countReceived(message.module)),
      map(asEvent),
    );
    const events = merge(ticks, messages, this.parts.effects.events, this.ownEvents);
    this.subscription = events.subscribe((event) => this.handle(event));
  }

  /** Asks the core to end its work in order. */
  stop(): void {
    this.ownEvents.next({ kind: 'stop' });
  }

  /** Handles no more events. */
  close(): void {
    this.subscription?.unsubscribe();
  }

  submit(call: NodeCall): Observable<CallReply> {
    return new Observable<CallReply>((subscriber) => {
      this.parts.counters.increment('wardwing_requests_total', { call: call.kind });
      this.lastCall += 1;
      const callId = `${this.core.self.node}.${this.core.self.incarnation}.c${this.lastCall}`;
      const replies = new Subject<CallReply>();
      this.openCalls.set(callId, replies);
      const subscription = replies.subscribe(subscriber);
      this.ownEvents.next({ kind: 'call', callId, call });
      return () => {
        subscription.unsubscribe();
        if (!this.openCalls.delete(callId)) return;
        this.ownEvents.next({ kind: 'call-abandoned', callId });
      };
    });
  }

  now(): Milliseconds {
    return monotonicNow();
  }

  readiness(): Readiness {
    return this.core.readiness(this.now());
  }

  countersText(): Promise<string> {
    return this.parts.metricsText();
  }

  private handle(event: NodeEvent): void {
    for (const effect of this.core.handle(event, this.now())) this.carryOut(effect);
  }

  private carryOut(effect: NodeEffect): void {
    if (effect.kind === 'reply') this.reply(effect.callId, effect.reply);
    else if (effect.kind === 'stopped') this.stoppedSignal.next();
    else this.parts.effects.run(effect);
  }

  private reply(callId: string, reply: CallReply): void {
    const replies = this.openCalls.get(callId);
    if (replies === undefined) return;
    if (reply.kind === 'segment') {
      replies.next(reply);
      return;
    }
    this.openCalls.delete(callId);
    if (reply.kind === 'failed') this.countRefusal(reply.failure.kind);
    replies.next(reply);
    replies.complete();
  }

  private countReceived(module: string): void {
    this.parts.counters.increment('wardwing_peer_messages_received_total', { module });
  }

  private countRefusal(kind: ErrorKind): void {
    this.parts.counters.increment('wardwing_refusals_total', { kind });
  }
}

const TICK: NodeEvent = { kind: 'tick' };

function asEvent({ from, to, message }: ReceivedMessage): NodeEvent {
  return { kind: 'peer-message', from, to, message };
}
