/**
 * Time, messages and counters of every node of a run, by module, so that the busiest node, the one
 * that drives a step, can be told from the others.
 */
import type { CounterName } from '../../src/core/counter-names.js';
import type { NodeId } from '../../src/core/identity.js';
import { SECOND } from '../../src/core/units.js';
import type { NodeCore } from '../../src/node/node-core.js';
import type { NodeEffect, NodeEvent } from '../../src/node/node-events.js';
import { round } from '../common/statistics.js';
import type { NodeLogic } from '../simulation/ports.js';

/** What one node used. */
interface NodeUse {
  readonly core: NodeCore;
  milliseconds: number;
  readonly byEvent: Map<string, number>;
  sent: number;
  /** Milliseconds used in the present second of simulated time, and in the busiest one. */
  second: number;
  inSecond: number;
  busiestSecond: number;
}

/** What the busiest node of a run used. */
export interface BusiestNode {
  readonly node: NodeId;
  readonly cpu_ms: number;
  readonly busiest_second_cpu_ms: number;
  readonly cpu_ms_by_event: Readonly<Record<string, number>>;
  readonly messages_sent: number;
}

/** Meters all cores of one run. */
export class LetterMeter {
  private readonly nodes = new Map<NodeId, NodeUse>();
  private readonly messages = new Map<string, number>();
  private startedCounters: Readonly<Partial<Record<CounterName, number>>> = {};

  /** A node's logic with this meter before it. */
  measured(core: NodeCore): NodeLogic {
    const use: NodeUse = {
      core,
      milliseconds: 0,
      byEvent: new Map(),
      sent: 0,
      second: 0,
      inSecond: 0,
      busiestSecond: 0,
    };
    this.nodes.set(core.self.node, use);
    return {
      handle: (event, now) => this.handle(use, event, now),
      configuration: () => core.configuration(),
    };
  }

  /** Forgets all that was used so far. */
  reset(): void {
    this.messages.clear();
    for (const use of this.nodes.values()) {
      use.milliseconds = 0;
      use.byEvent.clear();
      use.sent = 0;
      use.inSecond = 0;
      use.busiestSecond = 0;
    }
    this.startedCounters = this.counterTotals();
  }

  /** Counters of all nodes since the last reset. */
  counters(): Readonly<Partial<Record<CounterName, number>>> {
    const totals = this.counterTotals();
    const names = Object.keys(totals) as CounterName[];
    return Object.fromEntries(
      names.map((name) => [name, (totals[name] ?? 0) - (this.startedCounters[name] ?? 0)]),
    );
  }

  /** Messages sent between nodes, by module. */
  messagesByModule(): ReadonlyMap<string, number> {
    return this.messages;
  }

  /** Milliseconds of all nodes, by kind of event. */
  timeByEvent(): ReadonlyMap<string, number> {
    const totals = new Map<string, number>();
    for (const use of this.nodes.values()) {
      for (const [kind, time] of use.byEvent) totals.set(kind, (totals.get(kind) ?? 0) + time);
    }
    return totals;
  }

  /** The node that used most. */
  busiest(): BusiestNode {
    const uses = [...this.nodes.values()];
    const use = uses.reduce((most, one) => (one.milliseconds > most.milliseconds ? one : most));
    return {
      node: use.core.self.node,
      cpu_ms: round(use.milliseconds, 0),
      busiest_second_cpu_ms: round(Math.max(use.busiestSecond, use.inSecond), 0),
      cpu_ms_by_event: rounded(use.byEvent),
      messages_sent: use.sent,
    };
  }

  private handle(use: NodeUse, event: NodeEvent, now: number): readonly NodeEffect[] {
    const started = performance.now();
    const effects = use.core.handle(event, now);
    const took = performance.now() - started;
    const kind = event.kind === 'peer-message' ? `peer ${event.message.module}` : event.kind;
    use.byEvent.set(kind, (use.byEvent.get(kind) ?? 0) + took);
    use.milliseconds += took;
    this.countSecond(use, now, took);
    for (const effect of effects) {
      if (effect.kind !== 'send') continue;
      use.sent += 1;
      const { module } = effect.message;
      this.messages.set(module, (this.messages.get(module) ?? 0) + 1);
    }
    return effects;
  }

  private countSecond(use: NodeUse, now: number, took: number): void {
    const second = Math.floor(now / SECOND);
    if (second !== use.second) {
      use.busiestSecond = Math.max(use.busiestSecond, use.inSecond);
      use.second = second;
      use.inSecond = 0;
    }
    use.inSecond += took;
  }

  private counterTotals(): Partial<Record<CounterName, number>> {
    const totals: Partial<Record<CounterName, number>> = {};
    for (const { core } of this.nodes.values()) {
      for (const [name, count] of Object.entries(core.counters()) as [CounterName, number][]) {
        totals[name] = (totals[name] ?? 0) + count;
      }
    }
    return totals;
  }
}

/** Milliseconds by name, largest first, in whole numbers. */
export function rounded(values: ReadonlyMap<string, number>): Readonly<Record<string, number>> {
  const entries = [...values].map(([name, value]): [string, number] => [name, round(value, 0)]);
  return Object.fromEntries(entries.sort((left, right) => right[1] - left[1]));
}
