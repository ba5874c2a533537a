/** A hollow fleet of configuration feeds around one simulated key-value service. */
import {
  ConfigurationFeed,
  type ConfigurationFeedEffect,
} from '../../src/config-feed/configuration-feed.js';
import type { ConfigurationFeedMessage } from '../../src/config-feed/messages.js';
import { identityKey, type NodeId, type NodeRecord } from '../../src/core/identity.js';
import { createRandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { MemberView } from '../../src/membership/membership.js';
import { fleetRecords, HollowFleet } from './hollow-fleet.js';
import { HollowKeyValue } from './hollow-key-value.js';

/** Hollow nodes that run a configuration feed each, beside one key-value service. */
export class HollowFeedFleet {
  readonly fleet: HollowFleet<ConfigurationFeedMessage>;
  readonly keyValue: HollowKeyValue;
  readonly records: NodeRecord[];
  readonly feeds = new Map<NodeId, ConfigurationFeed>();
  /** Called at each `applied` effect. */
  onApplied: (record: NodeRecord, feed: ConfigurationFeed, now: Milliseconds) => void = () => {};
  /** Whether a node reaches the key-value service. */
  reachesService: (record: NodeRecord) => boolean = () => true;

  constructor(
    size: number,
    private readonly seed: number,
    loss: number,
  ) {
    this.fleet = new HollowFleet({ seed, loss });
    this.keyValue = new HollowKeyValue(this.fleet.queue);
    this.records = [...fleetRecords(size)];
    for (const record of this.records) this.start(record);
    this.announceMembers();
  }

  get now(): Milliseconds {
    return this.fleet.queue.now;
  }

  /** Starts a node, or a later life of one, without any memory. */
  start(record: NodeRecord): ConfigurationFeed {
    const position = this.records.findIndex((other) => other.node === record.node);
    this.records[position] = record;
    const random = createRandomSource(this.seed + position + record.incarnation);
    const feed = new ConfigurationFeed({ self: record, random });
    this.feeds.set(record.node, feed);
    this.fleet.add({
      record,
      receive: (from, message, now) => this.carry(record, feed, feed.receive(from, message, now)),
      tick: (now) => this.carry(record, feed, feed.tick(now)),
    });
    return feed;
  }

  /** Tells all feeds who is there. */
  announceMembers(): void {
    const members: MemberView[] = this.records.map((record) => ({
      record,
      state: this.fleet.isRunning(record.node) ? 'alive' : 'dead',
    }));
    for (const feed of this.feeds.values()) feed.membersChanged(members, this.now);
  }

  runFor(duration: Milliseconds): void {
    this.fleet.queue.runUntil(this.now + duration);
  }

  private carry(
    record: NodeRecord,
    feed: ConfigurationFeed,
    effects: readonly ConfigurationFeedEffect[],
  ): void {
    for (const effect of effects) this.carryOne(record, feed, effect);
  }

  private carryOne(
    record: NodeRecord,
    feed: ConfigurationFeed,
    effect: ConfigurationFeedEffect,
  ): void {
    const isPresent = () =>
      this.feeds.get(record.node) === feed && this.fleet.isRunning(record.node);
    if (effect.kind === 'send') this.fleet.send(record, effect);
    if (effect.kind === 'applied') this.onApplied(record, feed, this.now);
    if (effect.kind === 'watch-stop')
      this.keyValue.stopWatch(this.watchName(record, effect.watchId));
    if (effect.kind === 'key-value' && this.reachesService(record)) {
      this.keyValue.request(effect.operation, (result) => {
        if (!isPresent() || !this.reachesService(record)) return;
        this.carry(record, feed, feed.keyValueResult(effect.requestId, result, this.now));
      });
    }
    if (effect.kind === 'watch-start' && this.reachesService(record)) {
      const { watchId, prefix, fromRevision } = effect;
      this.keyValue.watch(this.watchName(record, watchId), prefix, fromRevision, (event) => {
        if (!isPresent() || !this.reachesService(record)) return;
        this.carry(record, feed, feed.watchEvent(watchId, event, this.now));
      });
    }
  }

  private watchName(record: NodeRecord, watchId: string): string {
    return `${identityKey(record)} ${watchId}`;
  }
}

/** JSON text of a valid intent, for writes to the simulated service. */
export function intentText(name: string, minimumVersion: number): string {
  return JSON.stringify({
    name,
    trainer: 'trainer-1',
    model: 'model-bench',
    zones: ['zone-a', 'zone-b'],
    minimumVersion,
    maximumVersion: null,
    stalenessBound: 2,
    versionSpan: 'record',
    interactive: { accounts: ['portal'], reservedShare: 0.2 },
    cutOff: { kind: 'refuse' },
  });
}
