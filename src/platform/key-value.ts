/**
 * What decision modules ask of the key-value service, and what comes back. The wire form is the
 * etcd v3 JSON gateway; see `key-value-client.ts`.
 */
import type { Milliseconds, Revision } from '../core/units.js';

/** One key with its value and the revision that last changed it. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  readonly modRevision: Revision;
}

/** A condition of a transaction; `modRevision` 0 means that the key does not exist. */
export interface KeyValueCompare {
  readonly key: string;
  readonly modRevision: Revision;
}

/** A write of a transaction. */
export type KeyValueWrite =
  | { readonly kind: 'put'; readonly key: string; readonly value: string }
  | { readonly kind: 'delete'; readonly key: string };

/** One request to the service. */
export type KeyValueOperation =
  | {
      readonly kind: 'range';
      /** A whole key, or a prefix when `prefix` is true. */
      readonly key: string;
      readonly prefix: boolean;
    }
  | {
      readonly kind: 'transaction';
      readonly compares: readonly KeyValueCompare[];
      readonly writes: readonly KeyValueWrite[];
    };

/** The outcome of one request. */
export type KeyValueResult =
  | {
      readonly kind: 'range';
      readonly revision: Revision;
      readonly entries: readonly KeyValueEntry[];
    }
  | { readonly kind: 'transaction'; readonly succeeded: boolean; readonly revision: Revision }
  | {
      readonly kind: 'failed';
      readonly reason: 'unavailable' | 'rate-limited';
      /** Whether a write may have taken effect although no answer came. */
      readonly mayHaveApplied: boolean;
      readonly retryAfter: Milliseconds;
    };

/** One change seen by a watch; `value` is `null` for a deletion. */
export interface KeyValueChange {
  readonly key: string;
  readonly value: string | null;
  readonly modRevision: Revision;
}

/** Starts a watch of a prefix, from a revision on, or stops it. */
export type KeyValueWatchRequest =
  | {
      readonly kind: 'watch-start';
      readonly watchId: string;
      readonly prefix: string;
      readonly fromRevision: Revision;
    }
  | { readonly kind: 'watch-stop'; readonly watchId: string };

/** What a watch reports. */
export type KeyValueWatchEvent =
  | {
      readonly kind: 'changes';
      /** All changes up to this revision have now been seen; also sent with no changes. */
      readonly revision: Revision;
      readonly changes: readonly KeyValueChange[];
    }
  | {
      /** The watch ended: connection lost, or the start revision was compacted away. */
      readonly kind: 'lost';
      readonly compacted: boolean;
    };
