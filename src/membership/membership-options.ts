/** Options of the membership module and their defaults. */
import type { NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';

/** Timing and fan-out; every field has a default. */
export interface MembershipTiming {
  /** Time between probes in zones of up to `smallZone` members. Default 500 ms. */
  readonly probeInterval: Milliseconds;
  /** Time between probes in the largest zones; in between it grows linearly. Default 750 ms. */
  readonly largestProbeInterval: Milliseconds;
  /** Members of a zone up to which `probeInterval` holds. Default 100. */
  readonly smallZone: number;
  /** Wait for a direct answer before helpers are asked. Default 150 ms. */
  readonly directTimeout: Milliseconds;
  /** Wait for helpers before the target is suspected. Default 300 ms. */
  readonly indirectTimeout: Milliseconds;
  /** Helpers asked for one indirect probe. Default 3. */
  readonly helpers: number;
  /** From suspicion to death at the node that suspects. Default 600 ms. */
  readonly suspicionTimeout: Milliseconds;
  /** A node that heard from nobody for this long declares no death to others. Default 1,500 ms. */
  readonly isolationTimeout: Milliseconds;
  /** Time between further probes of a suspect. Default 150 ms. */
  readonly suspectProbeInterval: Milliseconds;
  /** Time between rounds that spread urgent updates. Default 100 ms. */
  readonly gossipInterval: Milliseconds;
  /** Peers an urgent update is sent to in one round. Default 3. */
  readonly gossipFanOut: number;
  /** Times an update is passed on, per decimal digit of the zone's size. Default 4. */
  readonly retransmitFactor: number;
  /** Updates carried by one message at most. Default 6. */
  readonly updatesPerMessage: number;
  /** Bridging nodes of a zone. Default 3. */
  readonly bridgesPerZone: number;
  /** Time between digests of one bridge to one other zone. Default 4,000 ms. */
  readonly bridgeInterval: Milliseconds;
  /** Time between digests to a peer of the own zone. Default 10,000 ms. */
  readonly repairInterval: Milliseconds;
  /** A zone that has not answered for this long is unreachable. Default 10,000 ms. */
  readonly zoneSilence: Milliseconds;
  /** Time between attempts to join or to be confirmed. Default 250 ms. */
  readonly confirmInterval: Milliseconds;
  /** How long the dead are remembered. Default 1 hour. */
  readonly deadRetention: Milliseconds;
}

/** Defaults of {@link MembershipTiming}. */
export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  probeInterval: 500,
  largestProbeInterval: 750,
  smallZone: 100,
  directTimeout: 150,
  indirectTimeout: 300,
  helpers: 3,
  suspicionTimeout: 600,
  isolationTimeout: 1_500,
  suspectProbeInterval: 150,
  gossipInterval: 100,
  gossipFanOut: 3,
  retransmitFactor: 4,
  updatesPerMessage: 6,
  bridgesPerZone: 3,
  bridgeInterval: 4_000,
  repairInterval: 10_000,
  zoneSilence: 10_000,
  confirmInterval: 250,
  deadRetention: 3_600_000,
};

/** Options of `Membership`. */
export interface MembershipOptions {
  /** This life of this node. */
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly timing?: Partial<MembershipTiming>;
  /** Members known before the first contact, all taken as alive. Default none. */
  readonly initialMembers?: readonly NodeRecord[];
}
