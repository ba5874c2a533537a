/** Exports the counters and gauges of a node and of its transport; reads them at each scrape. */
import { Counter, type Registry } from 'prom-client';
import { COUNTER_HELP, COUNTER_NAMES, type CounterName } from '../core/counter-names.js';
import type { Milliseconds } from '../core/units.js';
import { SECOND } from '../core/units.js';
import type { TransportStats } from '../transport/transport-options.js';
import type { NodeCounters } from './counters.js';

/** Prefix of all metrics. */
const METRIC_PREFIX = 'wardwing_';

/** Values of the gauges of a node. */
export interface NodeGauges {
  readonly revision: number;
  /** Infinite where the configuration was never fresh. */
  readonly configurationAge: Milliseconds;
  readonly configurationFresh: boolean;
  readonly membersByState: ReadonlyMap<string, number>;
  readonly callsOpen: number;
  readonly dispatchesActive: number;
  readonly stepsDriven: number;
  readonly ledgerBytes: number;
  readonly ledgerRegisters: number;
  readonly groupsUnderStrength: number;
}

/** Sources that each scrape reads. */
export interface MetricSources {
  counters(): Readonly<Record<CounterName, number>>;
  gauges(): NodeGauges;
  transport(): Readonly<TransportStats>;
}

/** A value that never decreases. */
interface MonotonicValue {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

export class NodeMetrics {
  constructor(
    private readonly counters: NodeCounters,
    private readonly sources: MetricSources,
  ) {
    for (const name of COUNTER_NAMES) {
      this.add({ name, help: COUNTER_HELP[name], read: () => sources.counters()[name] });
    }
    this.addStats('transport', 'Node-to-node transport', () => sources.transport());
  }

  /** Exports counters with a prefix; their names become snake case. */
  addStats<Name extends string>(
    prefix: string,
    help: string,
    stats: () => Readonly<Record<Name, number>>,
  ): void {
    for (const name of Object.keys(stats()) as Name[]) {
      this.add({
        name: `${prefix}_${snakeCase(name)}`,
        help: `${help}: ${name}`,
        read: () => stats()[name],
      });
    }
  }

  /** All metrics in the Prometheus text format. */
  text(): Promise<string> {
    this.setGauges(this.sources.gauges());
    return this.counters.countersText();
  }

  private setGauges(gauges: NodeGauges): void {
    const { counters } = this;
    counters.set('wardwing_configuration_revision', {}, gauges.revision);
    const age = gauges.configurationAge / SECOND;
    counters.set('wardwing_configuration_age_seconds', {}, Number.isFinite(age) ? age : -1);
    counters.set('wardwing_configuration_fresh', {}, gauges.configurationFresh ? 1 : 0);
    counters.clear('wardwing_members');
    for (const [state, count] of gauges.membersByState) {
      counters.set('wardwing_members', { state }, count);
    }
    counters.set('wardwing_calls_open', {}, gauges.callsOpen);
    counters.set('wardwing_dispatches_active', {}, gauges.dispatchesActive);
    counters.set('wardwing_steps_driven', {}, gauges.stepsDriven);
    counters.set('wardwing_ledger_bytes', {}, gauges.ledgerBytes);
    counters.set('wardwing_ledger_registers', {}, gauges.ledgerRegisters);
    counters.set('wardwing_groups_under_strength', {}, gauges.groupsUnderStrength);
  }

  private add(value: MonotonicValue): void {
    const registry: Registry = this.counters.registry;
    new Counter({
      name: `${METRIC_PREFIX}${value.name}_total`,
      help: value.help,
      registers: [registry],
      collect(): void {
        this.reset();
        this.inc(value.read());
      },
    });
  }
}

function snakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
