/** Effects of the configuration feed, its options, and the list in which one call gathers them. */
import type { NodeIdentity, NodeRecord } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { ChangeDetails } from '../core/state-change.js';
import type { Milliseconds } from '../core/units.js';
import type { KeyValueOperation, KeyValueWatchRequest } from '../platform/key-value.js';
import type { Configuration } from './configuration.js';
import type { ConfigurationFeedMessage } from './messages.js';

/** Something the configuration feed wants done or known. */
export type ConfigurationFeedEffect =
  | {
      readonly kind: 'send';
      readonly to: NodeIdentity;
      readonly address: string;
      readonly message: ConfigurationFeedMessage;
    }
  | {
      readonly kind: 'key-value';
      readonly requestId: string;
      readonly operation: KeyValueOperation;
    }
  | KeyValueWatchRequest
  | {
      /** A new configuration is in force on this node. */
      readonly kind: 'applied';
      readonly configuration: Configuration;
      readonly changedKeys: readonly string[];
    }
  | {
      readonly kind: 'state-change';
      readonly change: string;
      readonly details: ChangeDetails;
    };

/** Timing and fan-out; every field has a default. */
export interface ConfigurationFeedTiming {
  /** Nodes of a zone that read from the key-value service. Default 2. */
  readonly watchersPerZone: number;
  /** Time between reads of a watcher. Default 2,000 ms. */
  readonly pollInterval: Milliseconds;
  /** A read without an answer for this long is given up. Default 4,000 ms. */
  readonly requestTimeout: Milliseconds;
  /** Wait for the watch to reach a revision before all is read. Default 300 ms. */
  readonly catchUpWait: Milliseconds;
  /** First wait after a failed read or a lost watch; doubles each time. Default 500 ms. */
  readonly firstBackoff: Milliseconds;
  /** Longest wait before jitter. Default 5,000 ms. */
  readonly longestBackoff: Milliseconds;
  /** Children of a node in the tree of pulls of a zone. Default 3. */
  readonly treeFanOut: number;
  /** Parents a node pulls from. Default 2. */
  readonly parents: number;
  /** Longest time a pull may be held by the peer. Default 2,500 ms. */
  readonly holdLimit: Milliseconds;
  /** Wait beyond the hold limit before a pull is given up. Default 500 ms. */
  readonly answerMargin: Milliseconds;
  /** A held pull is answered once the copy is fresher by this much. Default 1,500 ms. */
  readonly minimumGain: Milliseconds;
  /** Age from which a node also pulls from random peers. Default 3,500 ms. */
  readonly staleAge: Milliseconds;
  /** Least time between pulls from random peers. Default 1,000 ms. */
  readonly rescueInterval: Milliseconds;
  /** Peers a new revision is pushed to. Default 2. */
  readonly pushFanOut: number;
}

/** Defaults of {@link ConfigurationFeedTiming}. */
export const DEFAULT_FEED_TIMING: ConfigurationFeedTiming = {
  watchersPerZone: 2,
  pollInterval: 2_000,
  requestTimeout: 4_000,
  catchUpWait: 300,
  firstBackoff: 500,
  longestBackoff: 5_000,
  treeFanOut: 3,
  parents: 2,
  holdLimit: 2_500,
  answerMargin: 500,
  minimumGain: 1_500,
  staleAge: 3_500,
  rescueInterval: 1_000,
  pushFanOut: 2,
};

/** Options of `ConfigurationFeed`. */
export interface ConfigurationFeedOptions {
  /** This life of this node. */
  readonly self: NodeRecord;
  readonly random: RandomSource;
  readonly timing?: Partial<ConfigurationFeedTiming>;
  /** Off only in the lab: older content then replaces newer. @default true */
  readonly ordered?: boolean;
}

/** Gathers the effects of one call. */
export class FeedEffectList {
  private effects: ConfigurationFeedEffect[] = [];

  /** Adds an effect. */
  add(effect: ConfigurationFeedEffect): void {
    this.effects.push(effect);
  }

  /** Adds a message to a peer. */
  send(to: NodeRecord, message: ConfigurationFeedMessage): void {
    this.add({ kind: 'send', to, address: to.address, message });
  }

  /** Adds a change of state for the log. */
  logChange(change: string, details: ChangeDetails): void {
    this.add({ kind: 'state-change', change, details });
  }

  /** Hands over what was gathered and starts anew. */
  take(): readonly ConfigurationFeedEffect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }
}
