/** The child's fetch of the buckets in which a parent's newer content differs from its own. */
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import {
  BUCKET_COUNT,
  type Bucket,
  digestAt,
  MachineContent,
  makeBucket,
} from './machine-content.js';
import type { BucketRecords } from './messages.js';

/** What a parent's answer says of its content. */
export interface FetchTarget {
  readonly parent: NodeRecord;
  readonly hash: string;
  readonly digests: string;
  /** Time as of which the content held, by this node's clock. */
  readonly asOf: Milliseconds;
}

/** One fetch; ends when all buckets of the target are there. */
export class BucketFetch {
  /** Names the request that is not answered yet. */
  sequence = 0;
  sentAt: Milliseconds = 0;
  /** Requests for the same page so far. */
  attempts = 0;
  private readonly buckets: (Bucket | undefined)[];
  private missing: number[] = [];

  constructor(
    readonly target: FetchTarget,
    known: readonly (Bucket | undefined)[],
    previous: BucketFetch | null,
  ) {
    this.buckets = Array.from({ length: BUCKET_COUNT }, (_, position) => {
      const digest = digestAt(target.digests, position);
      const candidates = [known[position], previous?.buckets[position]];
      return candidates.find((bucket) => bucket?.digest === digest);
    });
    this.buckets.forEach((bucket, position) => {
      if (bucket === undefined) this.missing.push(position);
    });
  }

  /** Buckets that are still missing. */
  get wanted(): readonly number[] {
    return this.missing;
  }

  /** Takes in a page; what does not match the target's digests is left out. */
  take(page: readonly BucketRecords[]): void {
    const wanted = new Set(this.missing);
    for (const { position, records } of page) {
      if (!wanted.has(position)) continue;
      const bucket = makeBucket(records);
      if (bucket.digest !== digestAt(this.target.digests, position)) continue;
      this.buckets[position] = bucket;
      wanted.delete(position);
      this.attempts = 0;
    }
    this.missing = [...wanted];
  }

  /** The whole content, once nothing is missing. */
  content(): MachineContent | null {
    if (this.missing.length > 0) return null;
    const whole = this.buckets.filter((bucket) => bucket !== undefined);
    return new MachineContent(whole);
  }
}
