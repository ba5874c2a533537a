/** Messages of the `membership` module between nodes, and the member updates they carry. */
import type { NodeRecord, ZoneName } from '../core/identity.js';

/** What one node claims of one life of a member. Immutable. */
export interface MemberUpdate {
  readonly record: NodeRecord;
  readonly state: 'alive' | 'suspect' | 'dead';
  /** Whether the node itself said that it is stopping. */
  readonly leaving: boolean;
  /** Raised only by the member itself, to refute a suspicion or a death within one life. */
  readonly refutation: number;
}

/** How long ago each other zone last answered; spread inside a zone. */
export interface ZoneContacts {
  /** Hash of the sender's list of zone names; ages are ignored where the lists differ. */
  readonly zonesHash: number;
  /** Ages in tenths of a second, in the order of the sorted zone names. */
  readonly ages: readonly number[];
}

/** What probes carry besides their own purpose. */
export interface Gossip {
  readonly updates: readonly MemberUpdate[];
  readonly contacts: ZoneContacts;
}

/** Hash of one zone's members as the sender knows them. */
export interface ZoneDigest {
  readonly zone: ZoneName;
  readonly hash: number;
}

/** Hashes of the buckets of one zone's members. */
export interface ZoneBuckets {
  readonly zone: ZoneName;
  readonly hashes: readonly number[];
}

/** Buckets of a zone whose members the sender wants to be told. */
export interface WantedBuckets {
  readonly zone: ZoneName;
  readonly buckets: readonly number[];
}

/** A message of this module. */
export type MembershipMessage =
  | { readonly kind: 'ping'; readonly sequence: number; readonly gossip: Gossip }
  | {
      /** Asks the receiver to ping the target on the sender's behalf. */
      readonly kind: 'ping-request';
      readonly sequence: number;
      readonly target: NodeRecord;
      readonly gossip: Gossip;
    }
  | { readonly kind: 'acknowledge'; readonly sequence: number; readonly gossip: Gossip }
  /** The target of a ping request did not answer, but this helper is there. */
  | { readonly kind: 'negative-acknowledge'; readonly sequence: number }
  | { readonly kind: 'updates'; readonly updates: readonly MemberUpdate[] }
  /** Asks for the whole table. */
  | { readonly kind: 'join' }
  /** One page of the answer to a join. */
  | { readonly kind: 'table'; readonly updates: readonly MemberUpdate[] }
  /** Hash of the sender's whole table; asks for a comparison. */
  | { readonly kind: 'digest'; readonly fleetHash: number }
  /** Answer to a digest that differs. */
  | { readonly kind: 'zone-digest'; readonly zones: readonly ZoneDigest[] }
  /** Answer to either digest: the zones that differ, none where all agree. */
  | { readonly kind: 'bucket-digest'; readonly zones: readonly ZoneBuckets[] }
  | {
      readonly kind: 'bucket-entries';
      readonly updates: readonly MemberUpdate[];
      readonly wanted: readonly WantedBuckets[];
    };
