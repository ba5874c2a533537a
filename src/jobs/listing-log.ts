/**
 * Logs and counts the durable changes of an owned job: which owner wrote a change under which term,
 * and whether the store or the zone's journal made it durable. One line per page, none per item.
 */
import type { Milliseconds } from '../core/units.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobOwner } from './job-records.js';
import type { ListingChange } from './listing-writer.js';

/** What first made a change durable. */
export type DurableBy = 'store' | 'journal';

/** Term of an owner that has no journal. */
export const NO_TERM = 0;

/** The form in which replicas and log lines name an owner. */
export function writerNameOf({ node, incarnation }: JobOwner): string {
  return `${node}/${incarnation}`;
}

/** A change with the position of its first result. */
export interface PositionedChange {
  readonly change: ListingChange;
  /** Position of the first result of a page. */
  readonly first: number;
}

export interface ListingLogOptions {
  readonly job: string;
  readonly self: JobOwner;
  /** The owner's term in the zone's journal, or {@link NO_TERM}. */
  readonly term: number;
  readonly metrics: FleetMetrics;
  readonly log?: DecisionLog | undefined;
}

/** Events by kind of change. */
const EVENTS = {
  page: { durable: 'page-listed', stored: 'page-stored', resumed: 'page-resumed' },
  ended: {
    durable: 'job-cancelled',
    stored: 'cancellation-stored',
    resumed: 'cancellation-resumed',
  },
} as const;

/** Logs the changes of one job by one owner. */
export class ListingLog {
  constructor(private readonly options: ListingLogOptions) {}

  /** A change of this owner is durable. */
  noteDurable(written: PositionedChange, durableBy: DurableBy, took: Milliseconds): void {
    const { kind } = written.change;
    const { metrics } = this.options;
    if (durableBy === 'journal') metrics.count('journaled_changes', { change: kind });
    if (kind === 'page') metrics.count('pages_listed', { by: durableBy });
    this.write('durable', written, { durableBy, tookMs: Math.round(took) });
  }

  /** The store has a change that was durable by the journal alone. */
  noteStored(written: PositionedChange, took: Milliseconds): void {
    this.write('stored', written, { tookMs: Math.round(took) });
  }

  /** This owner found a change of an earlier owner in the journal. */
  noteResumed(written: PositionedChange): void {
    this.write('resumed', written, {});
  }

  private write(
    stage: 'durable' | 'stored' | 'resumed',
    { change, first }: PositionedChange,
    outcome: Readonly<Record<string, string | number>>,
  ): void {
    const { job, self, term, log } = this.options;
    if (log === undefined) return;
    const event = EVENTS[change.kind][stage];
    const by = { job, owner: writerNameOf(self), term };
    if (change.kind !== 'page') {
      log.state(event, { ...by, ...outcome });
      return;
    }
    const { number, results } = change;
    const firstItem = results[0]?.id ?? 'none';
    log.decision(event, {
      ...by,
      ...{ page: number, first, results: results.length, firstItem },
      ...outcome,
    });
  }
}
