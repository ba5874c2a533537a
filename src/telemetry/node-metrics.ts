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
    for (const name of Object.keys(transport()) as (keyof TransportStats)[]) {
      const help = `Node-to-node transport: ${name}`;
      this.add({ name: `transport_${snakeCase(name)}`, help, read: () => transport()[name] });
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
