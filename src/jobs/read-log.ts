/** Logs and counts answers to readers of jobs: from where they came, or why there is none. */
import type { DecisionLog } from '../telemetry/decision-log.js';
import type { FleetMetrics } from '../telemetry/fleet-metrics.js';
import type { JobOwner } from './job-records.js';
import type { ResultSlice } from './job-results.js';
import { writerNameOf } from './listing-log.js';

/** From where results were read; `relay` is a node that read them for this one. */
export type ReadOrigin = 'owner' | 'peer-owner' | 'cache' | 'store' | 'relay';

/** The source of results that were read. */
export interface ReadSource {
  readonly from: ReadOrigin;
  /** The owner that gave the results or, if they were cached, the last known one. */
  readonly owner?: JobOwner | undefined;
  /** Number of pages known to the reader. */
  readonly pages?: number;
  /** The term of `owner`, if known. */
  readonly term?: number | undefined;
}

/**
 * Why a call for a job is not answered:
 * - `not-held`: the store lacks the job, and so do the journals, if there are any.
 * - `may-be-journaled`: the store lacks the job, and it is not certain that no journal has it.
 * - `pages-may-be-journaled`: the store has the job, and a journal may have more of its pages.
 * - `ownership-unconfirmed`: this node may have lost the job to another owner.
 * - `change-not-confirmed`: the store did not confirm a change in time.
 * - `may-be-created`: the store does not have the job, and its creation is under way.
 * - `store-silent`: the store does not answer.
 */
export type UnansweredCause =
  | 'not-held'
  | 'may-be-journaled'
  | 'pages-may-be-journaled'
  | 'ownership-unconfirmed'
  | 'change-not-confirmed'
  | 'may-be-created'
  | 'store-silent';

/** A call without an answer, and why. */
export interface Unanswered {
  readonly kind: 'absent' | 'unavailable';
  readonly cause: UnansweredCause;
}

/** Logs the reads of one node. Empty answers to polls are only counted. */
export class ReadLog {
  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: FleetMetrics,
  ) {}

  /** Results from position `after` on were returned. */
  noteRead(job: string, after: number, slice: ResultSlice, source: ReadSource): void {
    const { from, owner, pages, term } = source;
    this.metrics.count('results_read', { from });
    const [first] = slice.results;
    if (first === undefined) return;
    this.log.decision('results-read', {
      ...{ job, after, count: slice.results.length, firstItem: first.id, from },
      ...(owner === undefined ? {} : { owner: writerNameOf(owner) }),
      ...(pages === undefined ? {} : { pages }),
      ...(term === undefined ? {} : { term }),
    });
  }

  /** A read of results from position `after` on was not answered. */
  noteUnread(job: string, after: number, { kind, cause }: Unanswered): void {
    this.metrics.count('results_read', { from: kind });
    this.log.decision('results-read', { job, after, count: 0, from: kind, cause });
  }

  /** Another call for a job was not answered. */
  noteUnanswered(call: 'cancel' | 'item-body', job: string, { kind, cause }: Unanswered): void {
    this.log.decision('job-unanswered', { job, call, answer: kind, cause });
  }
}
