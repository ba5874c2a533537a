/** Effects of the machine feed, its options, and the list in which one call gathers them. */
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { MachineRecord } from '../platform/worker.js';
import type { MachineFeedMessage } from './messages.js';

/** Something the machine feed wants done or known. */
export type MachineFeedEffect =
  | {
      readonly kind: 'send';
      readonly to: NodeIdentity;
      readonly address: string;
      readonly message: MachineFeedMessage;
    }
  /** The platform's list is to be read; the outcome comes back through `polled`. */
  | { readonly kind: 'poll' }
  /** The list has changed; the array stays the same until it changes again. */
  | { readonly kind: 'machines'; readonly machines: readonly MachineRecord[] };

/** Timing and fan-out; every field has a default. */
export interface MachineFeedTiming {
  /** Nodes of a zone that read the platform's list. Default 2. */
  readonly readersPerZone: number;
  /** Longest time between reads of a reader. Default 1,000 ms. */
  readonly readInterval: Milliseconds;
  /** Mean time between reads of a node that knows no list or no other node. Default 2,000 ms. */
  readonly seekInterval: Milliseconds;
  /** Longest wait before the first read of a node. Default 500 ms. */
  readonly firstReadDelay: Milliseconds;
  /** A read without an answer for this long is given up. Default 4,000 ms. */
  readonly readTimeout: Milliseconds;
  /** A node that no parent answered for this long reads by itself. Default 6,000 ms. */
  readonly silenceLimit: Milliseconds;
  /** A node whose content is older than this reads by itself. Default 15,000 ms. */
  readonly staleAge: Milliseconds;
  /** Longest wait before the first such read. Default 4,000 ms. */
  readonly firstFallbackDelay: Milliseconds;
  /** Mean time between such reads. Default 10,000 ms. */
  readonly fallbackInterval: Milliseconds;
  /** Children of a node in the tree of a zone. Default 3. */
  readonly treeFanOut: number;
  /** Parents a node pulls from. Default 2. */
  readonly parents: number;
  /** Longest time a pull may be held. Default 2,000 ms. */
  readonly holdLimit: Milliseconds;
  /** Wait beyond the hold limit before a pull is given up. Default 500 ms. */
  readonly answerMargin: Milliseconds;
  /** Wait for a page before it is asked for again. Default 300 ms. */
  readonly pageTimeout: Milliseconds;
  /** Times a page is asked for before the parent is given up. Default 3. */
  readonly pageAttempts: number;
  /** Age from which a node also pulls from random peers of its zone. Default 13,000 ms. */
  readonly rescueAge: Milliseconds;
  /** Least time between pulls from random peers. Default 2,000 ms. */
  readonly rescueInterval: Milliseconds;
  /** Characters of records in one page, unless one bucket alone holds more. Default 65,536. */
  readonly pageSize: number;
}

/** Defaults of {@link MachineFeedTiming}. */
export const DEFAULT_MACHINE_FEED_TIMING: MachineFeedTiming = {
  readersPerZone: 2,
  readInterval: 1_000,
  seekInterval: 2_000,
  firstReadDelay: 500,
  readTimeout: 4_000,
  silenceLimit: 6_000,
  staleAge: 15_000,
  firstFallbackDelay: 4_000,
  fallbackInterval: 10_000,
  treeFanOut: 3,
  parents: 2,
  holdLimit: 2_000,
  answerMargin: 500,
  pageTimeout: 300,
  pageAttempts: 3,
  rescueAge: 13_000,
  rescueInterval: 2_000,
  pageSize: 65_536,
};

/** Options of `MachineFeed`. */
export interface MachineFeedOptions {
  /** This life of this node. */
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly timing?: Partial<MachineFeedTiming>;
}

/** Gathers the effects of one call. */
export class MachineFeedEffectList {
  private effects: MachineFeedEffect[] = [];

  /** Adds an effect. */
  add(effect: MachineFeedEffect): void {
    this.effects.push(effect);
  }

  /** Adds a message to a peer. */
  send(to: NodeRecord, message: MachineFeedMessage): void {
    this.add({ kind: 'send', to, address: to.address, message });
  }

  /** Hands over what was gathered and starts anew. */
  take(): readonly MachineFeedEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }
}
