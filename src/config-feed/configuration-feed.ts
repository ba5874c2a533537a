/**
 * The configuration feed of one node: a few watchers a zone read from the key-value service, all
 * others learn from peers. Revisions never go back, and every node knows the age of its copy
 * without synchronized clocks.
 */
import type { NodeRecord } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { MemberView } from '../membership/membership-effects.js';
import type { KeyValueResult, KeyValueWatchEvent } from '../platform/key-value.js';
import type { Configuration } from './configuration.js';
import { FeedCopy } from './feed-copy.js';
import {
  type ConfigurationFeedEffect,
  type ConfigurationFeedOptions,
  DEFAULT_FEED_TIMING,
  FeedEffectList,
} from './feed-effects.js';
import { FeedExchange } from './feed-exchange.js';
import { FeedTopology } from './feed-topology.js';
import { FeedWatcher } from './feed-watcher.js';
import type { ConfigurationFeedMessage } from './messages.js';

export type {
  ConfigurationFeedEffect,
  ConfigurationFeedOptions,
  ConfigurationFeedTiming,
} from './feed-effects.js';

/** The configuration feed of one node. */
export class ConfigurationFeed {
  private readonly effects = new FeedEffectList();
  private readonly copy: FeedCopy;
  private readonly topology: FeedTopology;
  private readonly watcher: FeedWatcher;
  private readonly exchange: FeedExchange;
  private latestMembers: readonly MemberView[] | null = null;

  constructor(options: ConfigurationFeedOptions) {
    const { self, random } = options;
    const timing = { ...DEFAULT_FEED_TIMING, ...options.timing };
    this.copy = new FeedCopy(this.effects, options.ordered ?? true);
    const { watchersPerZone, treeFanOut, parents } = timing;
    this.topology = new FeedTopology({ self, random, watchersPerZone, treeFanOut, parents });
    this.watcher = new FeedWatcher(this.copy, random, timing, this.effects);
    const integer = (limit: number) => random.integer(limit);
    this.exchange = new FeedExchange(this.copy, this.topology, integer, timing, this.effects);
  }

  /** Handles a message of a peer. */
  receive(
    from: NodeRecord,
    message: ConfigurationFeedMessage,
    now: Milliseconds,
  ): readonly ConfigurationFeedEffect[] {
    this.exchange.receive(from, message, now);
    return this.finish(now);
  }

  /** Does what is due. */
  tick(now: Milliseconds): readonly ConfigurationFeedEffect[] {
    if (this.latestMembers !== null) {
      this.topology.setMembers(this.latestMembers);
      this.latestMembers = null;
    }
    this.watcher.setActive(this.topology.isWatcher, now);
    this.watcher.tick(now);
    this.exchange.tick(now);
    return this.finish(now);
  }

  /** Handles the outcome of a `key-value` effect. */
  keyValueResult(
    requestId: string,
    result: KeyValueResult,
    now: Milliseconds,
  ): readonly ConfigurationFeedEffect[] {
    this.watcher.keyValueResult(requestId, result, now);
    return this.finish(now);
  }

  /** Handles an event of a watch that a `watch-start` effect asked for. */
  watchEvent(
    watchId: string,
    event: KeyValueWatchEvent,
    now: Milliseconds,
  ): readonly ConfigurationFeedEffect[] {
    this.watcher.watchEvent(watchId, event, now);
    return this.finish(now);
  }

  /** Takes over a view of the fleet; it takes effect with the next tick. */
  membersChanged(
    members: readonly MemberView[],
    _now: Milliseconds,
  ): readonly ConfigurationFeedEffect[] {
    this.latestMembers = members;
    return [];
  }

  /** The configuration in force here: immutable, and the same object until a record changes. */
  configuration(): Configuration {
    return this.copy.configuration;
  }

  /** The copy holds all that was written up to this revision, of whatever key. */
  completeRevision(): Revision {
    return this.copy.revision;
  }

  /** Revision that last changed a key of the feed; 0 where it does not exist. */
  modRevisionOf(key: string): Revision {
    return this.copy.store.modRevisionOf(key);
  }

  /** Records that did not parse, counted when they arrived. */
  rejectedRecords(): number {
    return this.copy.rejectedCount;
  }

  /** Time since the copy was surely complete; infinite where it never was. */
  freshnessAge(now: Milliseconds): Milliseconds {
    return this.copy.age(now) ?? Number.POSITIVE_INFINITY;
  }

  private finish(now: Milliseconds): readonly ConfigurationFeedEffect[] {
    this.exchange.settle(now);
    return this.effects.take();
  }
}
