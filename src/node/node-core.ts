/**
 * The decision core of a node: every event in, every effect out, no I/O. It owns one instance of
 * each module and passes their effects on. Real processes and the lab's simulator run it alike.
 */

import type { CounterName } from '../core/counter-names.js';
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import { sameIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import { withUnknownExecution } from '../errors/error-kinds.js';
import type { NodeGauges } from '../telemetry/node-metrics.js';
import type { NodeCall, Readiness } from './calls.js';
import type { NodeEffect, NodeEvent } from './node-events.js';
import { NodeModules } from './node-modules.js';
import type { NodeCoreOptions } from './node-options.js';
import type { PeerMessage } from './peer-message.js';
import { PeriodicTask } from './periodic-task.js';

/** Rounds of local messages and callbacks handled for one event; a bound against loops. */
const LOCAL_ROUNDS_LIMIT = 10_000;
/** How often the view of members, workers and permissions is passed on to the modules. */
const REFRESH_INTERVAL: Milliseconds = 200;
/** How long a stopping node stays at least, so that others have heard of it. */
const STOP_MINIMUM: Milliseconds = 1_500;

/** One node's decisions. */
export class NodeCore {
  private readonly modules: NodeModules;
  private readonly refresh = new PeriodicTask(REFRESH_INTERVAL);
  private stoppingSince: Milliseconds | null = null;
  private stopped = false;

  constructor(options: NodeCoreOptions) {
    this.modules = new NodeModules(options, () => this.stoppingSince !== null);
  }

  /** This life of the node. */
  get self(): NodeRecord {
    return this.modules.settings.self;
  }

  /** Handles one event. */
  handle(event: NodeEvent, now: Milliseconds): readonly NodeEffect[] {
    const { context } = this.modules;
    context.begin(now);
    this.process(event);
    this.settle();
    return context.takeEffects();
  }

  /** Whether the node can take calls: its configuration is known and fresh. */
  readiness(now: Milliseconds): Readiness {
    return this.modules.report.readiness(now);
  }

  /** All counters. */
  counters(): Readonly<Record<CounterName, number>> {
    return this.modules.context.counters.snapshot();
  }

  /** The state at this moment, for metrics. */
  gauges(now: Milliseconds): NodeGauges {
    return this.modules.report.gauges(now);
  }

  /** All members of the fleet as this node sees them. */
  members(): ReturnType<NodeModules['membership']['members']> {
    return this.modules.membership.members();
  }

  /** The configuration in force on this node. */
  configuration(): ReturnType<NodeModules['feed']['configuration']> {
    return this.modules.feed.configuration();
  }

  /** Handles what the event caused on this node itself, until nothing is left. */
  private settle(): void {
    const { context, ledgerAdapter } = this.modules;
    for (let round = 0; round < LOCAL_ROUNDS_LIMIT; round += 1) {
      const message = context.localMessages.shift();
      if (message !== undefined) {
        this.receive(this.self, message);
        continue;
      }
      if (!ledgerAdapter.runCompleted()) break;
      if (round === LOCAL_ROUNDS_LIMIT - 1) throw new Error('local messages never end');
    }
    if (context.localStop) this.stop(context.now());
  }

  private process(event: NodeEvent): void {
    const { modules } = this;
    const now = modules.context.now();
    switch (event.kind) {
      case 'tick':
        this.tick(now);
        return;
      case 'peer-message':
        this.receiveFromPeer(event.from, event.to, event.message);
        return;
      case 'key-value-result':
        modules.keyValueResult(event.requestId, event.result);
        return;
      case 'watch':
        modules.effects.feed(modules.feed.watchEvent(event.watchId, event.event, now));
        return;
      case 'engine':
        modules.work.engineEvent(event.dispatchId, event.event);
        return;
      case 'worker-report':
        modules.workerReport(event.report);
        return;
      case 'worker-unreachable':
        modules.effects.directory(modules.directory.recordFailedPoll(event.worker, now));
        return;
      case 'order-result':
        modules.effects.weights(modules.weights.orderResult(event.orderId, event.result, now));
        return;
      case 'machine-list':
        modules.machineFeed.polled(event.machines);
        return;
      case 'body-loaded':
        modules.ledgerAdapter.apply(modules.ledger.bodyLoaded(event.name, event.body, now));
        return;
      case 'call':
        this.call(event.callId, event.call);
        return;
      case 'call-abandoned':
        modules.abandonCall(event.callId);
        return;
      case 'stop':
        this.stop(now);
        return;
    }
  }

  private tick(now: Milliseconds): void {
    const { modules } = this;
    modules.tickFoundation(now);
    if (this.refresh.isDue(now)) modules.views.refresh(now);
    modules.work.tick(now);
    modules.context.runTimers();
    this.checkStopped(now);
  }

  private receiveFromPeer(from: NodeRecord, to: NodeIdentity | null, message: PeerMessage): void {
    const meantForOther = to !== null && !sameIdentity(to, this.self);
    if (meantForOther && this.modules.settings.mechanisms['incarnation-check']) {
      this.modules.context.counters.increment('messages_for_earlier_life');
      return;
    }
    this.receive(from, message);
  }

  private receive(from: NodeRecord, message: PeerMessage): void {
    const { modules } = this;
    const now = modules.context.now();
    switch (message.module) {
      case 'membership':
        modules.effects.membership(modules.membership.receive(from, message.body, now));
        return;
      case 'config-feed':
        modules.effects.feed(modules.feed.receive(from, message.body, now));
        return;
      case 'machine-feed':
        modules.machineFeed.receive(from, message.body);
        return;
      case 'ledger':
        modules.ledgerAdapter.apply(modules.ledger.receive(from, message.body, now));
        return;
      case 'dispatch':
        modules.work.receive(from, message.body);
        return;
      case 'rollouts':
        modules.work.supervisor.receive(from, message.body);
        return;
      case 'routing':
        modules.effects.directory(modules.directory.receive(from, message.body, now));
        return;
      case 'status':
        modules.status.receive(from, message.body);
        return;
    }
  }

  private call(callId: string, call: NodeCall): void {
    this.modules.context.counters.increment('calls');
    const refusal = this.stoppingSince === null ? null : this.modules.stoppingFailure();
    if (refusal !== null && call.kind !== 'status' && call.kind !== 'explain') {
      const mayHaveRunBefore = call.kind === 'generate' && !call.repeatable;
      const told = mayHaveRunBefore ? withUnknownExecution(refusal) : refusal;
      this.modules.context.reply(callId, { kind: 'failed', failure: told });
      return;
    }
    this.modules.context.beginCall(callId);
    this.modules.startCall(callId, call);
  }

  private stop(now: Milliseconds): void {
    if (this.stoppingSince !== null) return;
    this.stoppingSince = now;
    this.modules.beginStop(now);
  }

  private checkStopped(now: Milliseconds): void {
    if (this.stoppingSince === null || this.stopped) return;
    const elapsed = now - this.stoppingSince;
    const graceful = this.modules.settings.mechanisms['graceful-stop'];
    const idle = this.modules.isIdle() && elapsed >= STOP_MINIMUM;
    if (graceful && !idle && elapsed < this.modules.settings.stopLimit) return;
    this.stopped = true;
    this.modules.context.emit({ kind: 'stopped' });
  }
}
