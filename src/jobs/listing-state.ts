/** State of an owned job's listing: its journal, and why its node no longer runs it. */
import type { Milliseconds } from '../core/units.js';
import type { JobJournal } from '../journal/job-journal.js';
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { ListingChange } from './listing-writer.js';

/**
 * Why this node no longer runs a job:
 * - `finished`: all results are listed.
 * - `ended`: the job was cancelled.
 * - `ended-elsewhere`: another node cancelled the job because this node could not reach the store;
 *   this node's list may lack results that others have listed.
 * - `superseded`: another node owns the job.
 * - `released`: this node gave up its ownership.
 */
export type CloseReason = 'finished' | 'ended' | 'ended-elsewhere' | 'superseded' | 'released';

/** The state of a job in its zone's journal. */
export interface JournalState {
  /** The journal, claimed by this owner; `undefined` if the job has none. */
  readonly journal?: JobJournal | undefined;
  /** Changes that an earlier owner journaled and the store lacks. */
  readonly resumed?: readonly ListingChange[];
  /**
   * When the commit that made this node the owner was sent, by `suspendAwareTime`; the job may have
   * been cancelled since. @default now
   */
  readonly ownedSince?: Milliseconds;
  /** Called when a read of the head has confirmed that the job is not cancelled. */
  readonly onConfirmed?: () => void;
  readonly metrics?: FleetMetrics;
  /** Where listed pages are logged; `undefined` if they are not. */
  readonly log?: DecisionLog;
}
