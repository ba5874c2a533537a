/**
 * The closed list of counters that decision modules increment. Telemetry exports each with the
 * prefix `wardwing_` and the suffix `_total`.
 */
export const COUNTER_HELP = {
  calls: 'Calls taken in',
  calls_failed: 'Calls answered with a failure',
  dispatches_started: 'Generations sent to a home node',
  dispatches_admitted: 'Generations a home node handed to an engine',
  dispatches_refused: 'Generations refused before any engine saw them',
  dispatches_lost: 'Generations whose home node went silent',
  dispatches_preempted: 'Training generations cancelled for interactive ones',
  dispatches_withdrawn: 'Generations cancelled because an intent no longer allows them',
  samples_delivered: 'Samples given a position in their step',
  samples_late: 'Samples dropped because their key was delivered or their step closed',
  samples_stale: 'Samples dropped at hand-over because of the versions that made them',
  samples_resumed: 'Samples that went on on another worker from the tokens they had',
  tokens_resumed: 'Tokens that did not have to be made again because a sample was resumed',
  samples_hedged: 'Samples of which a second copy was started',
  steps_submitted: 'Steps taken in',
  steps_completed: 'Steps delivered whole',
  steps_closed: 'Steps closed before they were whole',
  steps_taken_over: 'Steps whose driver fell silent and that this node drives now',
  requests_claimed: 'Requests claimed that may run at most once',
  requests_unknown: 'Requests whose outcome is unknown',
  messages_for_earlier_life: 'Messages dropped because they were meant for an earlier life',
  messages_dropped: 'Messages to nodes that are not known',
} as const;

export type CounterName = keyof typeof COUNTER_HELP;

export const COUNTER_NAMES = Object.keys(COUNTER_HELP) as readonly CounterName[];

/** Receives increments of counters. */
export interface CounterSink {
  increment(name: CounterName, amount?: number): void;
}

/** A sink that stores the counts in memory. */
export class MemoryCounters implements CounterSink {
  private readonly counts = new Map<CounterName, number>();

  increment(name: CounterName, amount = 1): void {
    this.counts.set(name, this.value(name) + amount);
  }

  value(name: CounterName): number {
    return this.counts.get(name) ?? 0;
  }

  /** All counts, including zeros. */
  snapshot(): Readonly<Record<CounterName, number>> {
    const entries = COUNTER_NAMES.map((name) => [name, this.value(name)] as const);
    return Object.fromEntries(entries) as Record<CounterName, number>;
  }
}
