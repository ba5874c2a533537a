/** The closed list of counters and gauges: name, help text and labels of each. */

/** Counters, which only rise. */
export const COUNTERS = {
  wardwing_requests_total: metric('Calls that reached the node, by kind of call.', ['call']),
  wardwing_refusals_total: metric('Calls answered with a failure, by kind of error.', ['kind']),
  wardwing_dispatches_total: metric('Generations handed to engines.', ['traffic']),
  wardwing_dispatch_failures_total: metric('Generations that failed on an engine.', ['ran']),
  wardwing_retries_total: metric('Dispatches repeated after a failure.', ['traffic']),
  wardwing_hedges_total: metric('Second dispatches of a sample that runs long.', []),
  wardwing_preemptions_total: metric('Training generations cancelled for interactive work.', []),
  wardwing_samples_delivered_total: metric('Samples given a position in their step.', []),
  wardwing_late_results_total: metric('Results dropped because their sample had one.', []),
  wardwing_stale_results_total: metric('Results dropped for being older than the bound.', []),
  wardwing_tokens_total: metric('Tokens produced by engines.', ['traffic']),
  wardwing_peer_messages_sent_total: metric('Messages sent to other nodes.', ['module']),
  wardwing_peer_messages_received_total: metric('Messages from other nodes.', ['module']),
  wardwing_peer_bytes_sent_total: metric('Bytes of messages sent to other nodes.', ['module']),
  wardwing_peer_send_failures_total: metric('Messages that could not be sent.', ['module']),
  wardwing_key_value_requests_total: metric('Requests to the key-value service.', ['operation']),
  wardwing_key_value_failures_total: metric('Failed key-value requests.', ['reason']),
  wardwing_configuration_changes_total: metric('Revisions of the configuration taken in.', []),
  wardwing_member_changes_total: metric('Changes of a member, by its new state.', ['state']),
  wardwing_weight_orders_total: metric('Orders to engines, by action.', ['action', 'outcome']),
  wardwing_state_changes_total: metric('Changes of state, as logged, by module.', ['module']),
} as const satisfies Record<string, MetricDescription>;

/** Gauges, which rise and fall. */
export const GAUGES = {
  wardwing_configuration_revision: metric('Revision of the configuration in force here.', []),
  wardwing_configuration_age_seconds: metric('Age of the configuration, in seconds.', []),
  wardwing_configuration_fresh: metric('1 while the configuration is fresh, else 0.', []),
  wardwing_members: metric('Members known to the node, by state.', ['state']),
  wardwing_workers_in_service: metric('Workers of this zone that take work.', ['model']),
  wardwing_requests_in_flight: metric('Generations running for this node.', ['traffic']),
  wardwing_requests_waiting: metric('Generations waiting for a worker.', ['traffic']),
  wardwing_steps_open: metric('Rollout steps driven by this node.', []),
  wardwing_ledger_bytes: metric('Bytes held by the ledger replicas of this node.', []),
  wardwing_ledger_registers: metric('Registers held by the ledger replicas.', []),
  wardwing_worker_version: metric('Weight version active on a worker.', ['worker']),
} as const satisfies Record<string, MetricDescription>;

/** What describes one metric. */
export interface MetricDescription {
  readonly help: string;
  readonly labels: readonly string[];
}

/** Name of a counter. */
export type CounterName = keyof typeof COUNTERS;

/** Name of a gauge. */
export type GaugeName = keyof typeof GAUGES;

/** The labels a metric must be given, each with its value. */
export type LabelsOf<Description extends MetricDescription> = Readonly<
  Record<Description['labels'][number], string>
>;

function metric<const Label extends string>(
  help: string,
  labels: readonly Label[],
): { readonly help: string; readonly labels: readonly Label[] } {
  return { help, labels };
}
