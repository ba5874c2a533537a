/** Messages of the `config-feed` module between nodes. */
import type { Milliseconds, Revision } from '../core/units.js';

/** One key of the feed; `value` is `null` where the key was deleted. */
export interface FeedEntry {
  readonly key: string;
  readonly value: string | null;
  readonly modRevision: Revision;
}

/** What a peer lacks. */
export type FeedContent =
  | { readonly kind: 'same' }
  /** All entries changed after `fromRevision`, deletions included. */
  | {
      readonly kind: 'delta';
      readonly fromRevision: Revision;
      readonly entries: readonly FeedEntry[];
    }
  /** All entries that exist. */
  | { readonly kind: 'snapshot'; readonly entries: readonly FeedEntry[] };

/** A message of this module. */
export type ConfigurationFeedMessage =
  | {
      /** Asks for newer content and for a fresher age. */
      readonly kind: 'pull';
      /** Numbers the requests of one life of the sender. */
      readonly sequence: number;
      readonly revision: Revision;
      /** Age of the sender's copy; `null` where it was never fresh. */
      readonly age: Milliseconds | null;
      /** How long the receiver may wait for news before it answers. */
      readonly holdLimit: Milliseconds;
    }
  | {
      readonly kind: 'answer';
      readonly sequence: number;
      /** The sender's copy is complete up to this revision. */
      readonly revision: Revision;
      /** Age of the sender's copy when it answered; `null` where it was never fresh. */
      readonly age: Milliseconds | null;
      /** How long the request waited at the sender, on its clock. */
      readonly held: Milliseconds;
      readonly content: FeedContent;
    }
  | {
      /** Unasked news of a new revision; says nothing about age. */
      readonly kind: 'push';
      readonly revision: Revision;
      readonly content: FeedContent;
    };
