/** State of one item on the node that owns its job. */
import type { Milliseconds } from '../core/units.js';
import { FingerprintedRequest } from '../serving/request-fingerprint.js';
import { ItemProgress, type VersionRule } from './item-progress.js';
import type { ItemRun } from './item-run.js';
import type { ItemScoring } from './item-scoring.js';
import type { JobItem, JobResult, JobSpecification } from './job-records.js';
import { WorkWait } from './work-wait.js';

/**
 * `waiting`: to be sent to a worker; `running`: on a worker; `unscored`: the text is complete, the
 * score is missing; `done`: the result is known.
 */
export type OwnedItemState = 'waiting' | 'running' | 'unscored' | 'done';

/** An item with its progress, runs and score calls. */
export interface OwnedItem {
  readonly item: JobItem;
  readonly progress: ItemProgress;
  /** The request of its runs, for crash attribution; identical on every owner and in later jobs. */
  readonly fingerprinted: FingerprintedRequest;
  state: OwnedItemState;
  run: ItemRun | undefined;
  /** Why the item, or the request for its score, is at no worker; of no meaning while it is. */
  readonly wait: WorkWait;
  /** Earliest time of the next run. */
  notBefore: Milliseconds;
  /** Number of responses that reported a failed attempt. */
  failedAttempts: number;
  /** Number of times that a run was moved to another worker. */
  moveCount: number;
  /** Whether the last run ended before any response byte, possibly on a dead connection. */
  wasUnanswered: boolean;
  /** Whether a run was already moved because another worker was moderately faster. */
  wasMovedToFaster: boolean;
  /** The complete text without its score; only while `unscored`. */
  text: JobResult | undefined;
  /** The score calls; only while `unscored`. */
  scoring: ItemScoring | undefined;
}

/** An item without progress, accepted at `now`. */
export function newOwnedItem(
  item: JobItem,
  rule: VersionRule,
  { host, tenant }: Pick<JobSpecification, 'host' | 'tenant'>,
  now: Milliseconds,
): OwnedItem {
  const fingerprinted = new FingerprintedRequest(() => ({
    method: 'POST',
    host,
    path: item.path,
    tenant,
    body: Buffer.from(item.body, 'base64'),
  }));
  return {
    item,
    fingerprinted,
    progress: new ItemProgress(rule),
    state: 'waiting',
    run: undefined,
    wait: new WorkWait(now),
    notBefore: 0,
    failedAttempts: 0,
    moveCount: 0,
    wasUnanswered: false,
    wasMovedToFaster: false,
    text: undefined,
    scoring: undefined,
  };
}

export function isTextIncomplete({ state }: OwnedItem): boolean {
  return state === 'waiting' || state === 'running';
}

/** Cancels the run and the score calls of an item. */
export function cancelWork(entry: OwnedItem): void {
  entry.run?.cancel();
  entry.scoring?.cancel();
}
