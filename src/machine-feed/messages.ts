/**
 * Messages of the machine feed. A child pulls; the parent answers, at once where it has newer
 * content, else after holding the pull; the child fetches the buckets that differ, page by page.
 */
import type { Milliseconds } from '../core/units.js';
import type { MachineRecord } from '../platform/worker.js';

/** All records of one bucket. */
export interface BucketRecords {
  /** Position of the bucket, in `[0, BUCKET_COUNT)`. */
  readonly position: number;
  readonly records: readonly MachineRecord[];
}

/** A message between two machine feeds. */
export type MachineFeedMessage =
  | {
      readonly kind: 'pull';
      /** Names the pull in its answer. */
      readonly sequence: number;
      /** Hash of the child's content; `null` where it has none. */
      readonly hash: string | null;
      /** Age of the child's content; `null` where it has none. */
      readonly age: Milliseconds | null;
      /** Longest time the pull may be held. */
      readonly holdLimit: Milliseconds;
    }
  | {
      readonly kind: 'answer';
      readonly sequence: number;
      /** Hash of the parent's content; `null` where it has none. */
      readonly hash: string | null;
      readonly age: Milliseconds | null;
      /** How long the pull was held. */
      readonly held: Milliseconds;
      /** Digests of all buckets, one after the other; `null` where the child needs none. */
      readonly digests: string | null;
    }
  | {
      readonly kind: 'fetch';
      readonly sequence: number;
      /** Hash of the content that the buckets are wanted of. */
      readonly hash: string;
      /** Positions of the wanted buckets. */
      readonly buckets: readonly number[];
    }
  | {
      /** As many of the wanted buckets as one page holds. */
      readonly kind: 'page';
      readonly sequence: number;
      readonly buckets: readonly BucketRecords[];
    };
