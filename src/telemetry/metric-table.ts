/**
 * Counters and gauges of the process: name, help text and labels. `src/core/counter-names.ts` lists
 * the counters of the decision modules.
 */

/** All counters. */
export const COUNTERS = {
  wardwing_requests_total: metric('Calls that reached the node, by kind of call.', ['call']),
  wardwing_refusals_total: metric('Calls answered with a failure, by kind of error.', ['kind']),
  wardwing_peer_messages_sent_total: metric('Messages sent to other nodes.', ['module']),
  wardwing_peer_messages_received_total: metric('Messages from other nodes.', ['module']),
  wardwing_key_value_requests_total: metric('Requests to the key-value service.', ['operation']),
  wardwing_key_value_failures_total: metric('Failed key-value requests.', ['reason']),
  wardwing_engine_streams_total: metric('Generations started on engines.', ['traffic']),
  wardwing_weight_orders_total: metric('Orders to engines, by action.', ['action', 'outcome']),
  wardwing_state_changes_total: metric('Changes of state, as logged, by module.', ['module']),
} as const satisfies Record<string, MetricDescription>;

/** All gauges. */
export const GAUGES = {
  wardwing_configuration_revision: metric('Revision of the configuration in force here.', []),
  wardwing_configuration_age_seconds: metric('Age of the configuration, in seconds.', []),
  wardwing_configuration_fresh: metric('1 while the configuration is fresh, else 0.', []),
  wardwing_members: metric('Members known to the node, by state.', ['state']),
  wardwing_calls_open: metric('Interactive calls without a final reply.', []),
  wardwing_dispatches_active: metric('Generations queued or running at this home.', []),
  wardwing_steps_driven: metric('Rollout steps driven by this node.', []),
  wardwing_ledger_bytes: metric('Bytes of bodies held by the ledger of this node.', []),
  wardwing_ledger_registers: metric('Registers held by the ledger of this node.', []),
  wardwing_groups_under_strength: metric('Ledger groups with too few live members.', []),
} as const satisfies Record<string, MetricDescription>;

/** Help text and label names of one metric. */
export interface MetricDescription {
  readonly help: string;
  readonly labels: readonly string[];
}

export type CounterName = keyof typeof COUNTERS;

export type GaugeName = keyof typeof GAUGES;

/** The required labels of a metric with their values. */
export type LabelsOf<Description extends MetricDescription> = Readonly<
  Record<Description['labels'][number], string>
>;

function metric<const Label extends string>(
  help: string,
  labels: readonly Label[],
): { readonly help: string; readonly labels: readonly Label[] } {
  return { help, labels };
}
