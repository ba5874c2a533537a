/** Where one item of a job stands at the node that runs the job. */
import type { Milliseconds } from '../core/units.js';
import { FingerprintedRequest } from '../serving/request-fingerprint.js';
import { ItemProgress, type VersionRule } from './item-progress.js';
import type { ItemRun } from './item-run.js';
import type { ItemScoring } from './item-scoring.js';
import type { JobItem, JobResult, JobSpecification } from './job-records.js';

/**
 * `waiting` to be sent to a worker, `running` at one, `unscored`: its text is whole and its score
 * is missing, `done`: its result is known.
 */
export type OwnedItemState = 'waiting' | 'running' | 'unscored' | 'done';

/** One item. */
export interface OwnedItem {
  readonly item: JobItem;
  readonly progress: ItemProgress;
  /** What its runs ask of workers; the same at each node that runs the job, and in a later job. */
  readonly asked: FingerprintedRequest;
  state: OwnedItemState;
  run: ItemRun | undefined;
  /** Not sent again before this time. */
  notBefore: Milliseconds;
  /** Answers that said the attempt failed. */
  failedAttempts: number;
  /** Times that a run was ended to go on at a faster worker. */
  moves: number;
  /** Whether its last run ended without a byte of an answer, perhaps on a connection gone silent. */
  wasUnanswered: boolean;
  /** Whether it was moved to a worker that is somewhat faster. */
  hasGoneFaster: boolean;
  /** The whole text without its score; only while `unscored`. */
  text: JobResult | undefined;
  /** The calls for its score; only while `unscored`. */
  scoring: ItemScoring | undefined;
}

/** An item of which nothing was made yet. */
export function newOwnedItem(
  item: JobItem,
  rule: VersionRule,
  { host, tenant }: Pick<JobSpecification, 'host' | 'tenant'>,
): OwnedItem {
  const asked = new FingerprintedRequest(() => ({
    method: 'POST',
    host,
    path: item.path,
    tenant,
    body: Buffer.from(item.body, 'base64'),
  }));
  return {
    item,
    asked,
    progress: new ItemProgress(rule),
    state: 'waiting',
    run: undefined,
    notBefore: 0,
    failedAttempts: 0,
    moves: 0,
    wasUnanswered: false,
    hasGoneFaster: false,
    text: undefined,
    scoring: undefined,
  };
}

/** Whether its text is still to be made, whole or in part. */
export function lacksText({ state }: OwnedItem): boolean {
  return state === 'waiting' || state === 'running';
}

/** Ends whatever is under way for an item. */
export function cancelWork(entry: OwnedItem): void {
  entry.run?.cancel();
  entry.scoring?.cancel();
}
