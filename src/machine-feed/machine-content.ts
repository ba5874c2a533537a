/**
 * The machine list as content-addressed buckets: two nodes compare one hash, then the digests of
 * the buckets, and exchange only buckets that differ. Equal lists give equal hashes whatever
 * their order, on every node and after every restart.
 */
import { contentDigest, placementHash } from '../core/hashing.js';
import type { MachineRecord } from '../platform/worker.js';

/** Buckets that machines fall into by the hash of their names. */
export const BUCKET_COUNT = 256;

/** Hexadecimal characters of a bucket's digest. */
const DIGEST_LENGTH = 12;

/** Hexadecimal characters of the hash of the whole content. */
const HASH_LENGTH = 16;

/** Some machines of the list, in canonical order. */
export interface Bucket {
  readonly digest: string;
  /** Characters of the records' canonical texts. */
  readonly size: number;
  readonly records: readonly MachineRecord[];
}

/** A whole list; immutable. */
export class MachineContent {
  /** Digests of all buckets, one after the other. */
  readonly digests: string;
  /** Hash of the whole. */
  readonly hash: string;
  private flat: readonly MachineRecord[] | undefined;

  constructor(readonly buckets: readonly Bucket[]) {
    this.digests = buckets.map((bucket) => bucket.digest).join('');
    this.hash = contentDigest(this.digests).slice(0, HASH_LENGTH);
  }

  /** All machines in canonical order; the same array at each call. */
  get machines(): readonly MachineRecord[] {
    this.flat ??= this.buckets.flatMap((bucket) => bucket.records);
    return this.flat;
  }
}

/** Sorts a list into buckets; gives back `previous` where it holds the same. */
export function contentOf(
  machines: readonly MachineRecord[],
  previous: MachineContent | null,
): MachineContent {
  const parts: MachineRecord[][] = Array.from({ length: BUCKET_COUNT }, () => []);
  for (const record of machines) {
    parts[placementHash(record.machine) % BUCKET_COUNT]?.push(record);
  }
  const content = new MachineContent(parts.map(makeBucket));
  return content.hash === previous?.hash ? previous : content;
}

/** A bucket of these records, in whatever order they come. */
export function makeBucket(records: readonly MachineRecord[]): Bucket {
  const entries = records.map((record) => ({ record, text: canonicalText(record) }));
  entries.sort((left, right) => (left.text < right.text ? -1 : 1));
  const text = entries.map((entry) => entry.text).join('\n');
  return {
    digest: contentDigest(text).slice(0, DIGEST_LENGTH),
    size: text.length,
    records: entries.map((entry) => entry.record),
  };
}

/** The digest of one bucket in the digests of all. */
export function digestAt(digests: string, position: number): string {
  return digests.slice(position * DIGEST_LENGTH, (position + 1) * DIGEST_LENGTH);
}

/** Whether a text has the length of the digests of all buckets. */
export function areDigests(digests: string): boolean {
  return digests.length === BUCKET_COUNT * DIGEST_LENGTH;
}

/** Fields in a fixed order, so that equal records have equal texts. */
function canonicalText(record: MachineRecord): string {
  const { machine, zone, state, nodeAddresses } = record;
  const workers = record.workers.map((worker) => {
    return [worker.worker, worker.model, worker.zone, worker.address, worker.slots];
  });
  return JSON.stringify([machine, zone, state, nodeAddresses, workers]);
}
