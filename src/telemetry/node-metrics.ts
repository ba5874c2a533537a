/**
 * Exports the counters of a node's decision core and of its transport in the Prometheus text
 * format, next to the process's own metrics.
 */
import { Counter, collectDefaultMetrics, Registry } from 'prom-client';
import { COUNTER_HELP, COUNTER_NAMES, type CounterName } from '../core/counter-names.js';
import type { TransportStats } from '../transport/transport-options.js';

/** Prefix of all metrics. */
const PREFIX = 'wardwing_';

/** A value that only rises, read when metrics are asked for. */
interface RisingValue {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

/** Metrics of one node. */
export class NodeMetrics {
  private readonly registry = new Registry();

  constructor(
    counters: () => Readonly<Record<CounterName, number>>,
    transport: () => Readonly<TransportStats>,
  ) {
    collectDefaultMetrics({ register: this.registry });
    for (const name of COUNTER_NAMES) {
      this.add({ name, help: COUNTER_HELP[name], read: () => counters()[name] });
    }
    this.addStats('transport', 'Node-to-node transport', transport);
  }

  /** Exports counts that only rise, named by the prefix and the count's own name. */
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
    return this.registry.metrics();
  }

  private add(value: RisingValue): void {
    new Counter({
      name: `${PREFIX}${value.name}_total`,
      help: value.help,
      registers: [this.registry],
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
