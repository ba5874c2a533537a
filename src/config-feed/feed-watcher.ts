/**
 * The part of the feed that reads from the key-value service: one watch, and a cheap read every
 * few seconds that shows up to which revision the service has got. The copy is fresh as of the
 * time such a read was *sent*, once the copy has reached the revision it returned.
 */
import { jittered, type RandomSource } from '../core/random.js';
import type { Milliseconds, Revision } from '../core/units.js';
import type { KeyValueResult, KeyValueWatchEvent } from '../platform/key-value.js';
import { FEED_PREFIX } from './configuration.js';
import type { FeedCopy } from './feed-copy.js';
import type { ConfigurationFeedTiming, FeedEffectList } from './feed-effects.js';

/** Share by which the times between reads and between watches are spread both ways. */
const JITTER = 0.1;

/** A failed read waits up to this share longer than its backoff, never shorter. */
const BACKOFF_JITTER = 0.5;

/** Backoff doubles at most this often. */
const MAXIMUM_DOUBLINGS = 10;

interface Read {
  readonly requestId: string;
  readonly sentAt: Milliseconds;
  readonly isFull: boolean;
}

/** A read whose revision the copy has not reached yet. */
interface PendingFreshness {
  readonly sentAt: Milliseconds;
  readonly revision: Revision;
  readonly giveUpAt: Milliseconds;
}

/** Reads from the key-value service on behalf of a zone. */
export class FeedWatcher {
  private isActive = false;
  private counter = 0;
  private watchId: string | null = null;
  /** The watch has reported all changes up to this revision. */
  private watchPosition: Revision = 0;
  private restartWatchAt: Milliseconds = 0;
  private read: Read | null = null;
  private nextReadAt: Milliseconds = 0;
  private needsFullRead = false;
  private pending: PendingFreshness | null = null;
  private readFailures = 0;
  private watchFailures = 0;

  constructor(
    private readonly copy: FeedCopy,
    private readonly random: RandomSource,
    private readonly timing: ConfigurationFeedTiming,
    private readonly effects: FeedEffectList,
  ) {}

  /** Starts or stops watching. */
  setActive(isActive: boolean, now: Milliseconds): void {
    if (isActive === this.isActive) return;
    this.isActive = isActive;
    this.effects.logChange(isActive ? 'watcher-started' : 'watcher-stopped', {});
    if (isActive) {
      this.nextReadAt = now;
      this.restartWatchAt = now;
      return;
    }
    this.stopWatch();
    this.read = null;
    this.pending = null;
  }

  /** Starts the reads and the watch that are due; nothing while this node is no watcher. */
  tick(now: Milliseconds): void {
    if (!this.isActive) return;
    this.giveUpSlowRead(now);
    this.settlePending(now);
    this.startWatchIfDue(now);
    if (this.read === null && now >= this.nextReadAt) this.startRead(now);
  }

  /** Handles the outcome of a read; one that was given up is ignored. */
  keyValueResult(requestId: string, result: KeyValueResult, now: Milliseconds): void {
    const read = this.read;
    if (read === null || read.requestId !== requestId) return;
    this.read = null;
    if (result.kind === 'range') {
      this.readSucceeded(read, result, now);
      return;
    }
    this.readFailed(now, result.kind === 'failed' ? result.retryAfter : 0);
  }

  /** Handles an event of the watch; one of an earlier watch is ignored. */
  watchEvent(watchId: string, event: KeyValueWatchEvent, now: Milliseconds): void {
    if (watchId !== this.watchId) return;
    if (event.kind === 'lost') {
      this.watchLost(event.compacted, now);
      return;
    }
    this.watchFailures = 0;
    const content = {
      kind: 'delta',
      fromRevision: this.watchPosition,
      entries: event.changes,
    } as const;
    this.copy.take(content, event.revision);
    this.watchPosition = Math.max(this.watchPosition, event.revision);
    this.settlePending(now);
  }

  private startRead(now: Milliseconds): void {
    this.counter += 1;
    const isFull = this.needsFullRead || this.copy.revision === 0;
    const requestId = `feed-read-${this.counter}`;
    this.read = { requestId, sentAt: now, isFull };
    this.nextReadAt = now + this.jittered(this.timing.pollInterval);
    const operation = { kind: 'range', key: FEED_PREFIX, prefix: isFull } as const;
    this.effects.add({ kind: 'key-value', requestId, operation });
  }

  private readSucceeded(
    read: Read,
    result: Extract<KeyValueResult, { kind: 'range' }>,
    now: Milliseconds,
  ): void {
    if (this.readFailures > 0) this.effects.logChange('key-value-answers', {});
    this.readFailures = 0;
    if (result.revision < this.copy.revision) return;
    if (read.isFull) this.takeFullRead(read, result, now);
    else if (this.copy.revision >= result.revision) this.copy.noteFresh(read.sentAt);
    else this.waitForWatch(read, result.revision, now);
  }

  private takeFullRead(
    read: Read,
    result: Extract<KeyValueResult, { kind: 'range' }>,
    now: Milliseconds,
  ): void {
    const content = { kind: 'snapshot', entries: result.entries } as const;
    const hasWatchCaughtUp = this.watchPosition >= result.revision;
    const { changed } = this.copy.take(content, result.revision);
    this.copy.noteFresh(read.sentAt);
    this.pending = null;
    // While other keys of the service change, the watch lags and only full reads show freshness.
    this.needsFullRead = this.watchId !== null && !hasWatchCaughtUp;
    if (changed && this.watchId !== null) this.stopWatch();
    this.startWatchIfDue(now);
  }

  private waitForWatch(read: Read, revision: Revision, now: Milliseconds): void {
    const giveUpAt = now + this.timing.catchUpWait;
    this.pending = { sentAt: read.sentAt, revision, giveUpAt };
  }

  private settlePending(now: Milliseconds): void {
    if (this.pending === null) return;
    if (this.copy.revision >= this.pending.revision) {
      this.copy.noteFresh(this.pending.sentAt);
      this.pending = null;
    } else if (now >= this.pending.giveUpAt) {
      this.pending = null;
      this.needsFullRead = true;
      if (this.readFailures === 0) this.nextReadAt = now;
    }
  }

  private giveUpSlowRead(now: Milliseconds): void {
    if (this.read === null || now - this.read.sentAt < this.timing.requestTimeout) return;
    this.read = null;
    this.readFailed(now, 0);
  }

  private readFailed(now: Milliseconds, retryAfter: Milliseconds): void {
    if (this.readFailures === 0) this.effects.logChange('key-value-fails', { retryAfter });
    this.readFailures += 1;
    const wait = Math.max(retryAfter, this.backoff(this.readFailures));
    this.nextReadAt = now + wait * (1 + BACKOFF_JITTER * this.random.fraction());
  }

  private startWatchIfDue(now: Milliseconds): void {
    if (this.watchId !== null || this.copy.revision === 0 || now < this.restartWatchAt) return;
    this.counter += 1;
    this.watchId = `feed-watch-${this.counter}`;
    this.watchPosition = this.copy.revision;
    this.effects.add({
      kind: 'watch-start',
      watchId: this.watchId,
      prefix: FEED_PREFIX,
      fromRevision: this.watchPosition + 1,
    });
  }

  private stopWatch(): void {
    if (this.watchId === null) return;
    this.effects.add({ kind: 'watch-stop', watchId: this.watchId });
    this.watchId = null;
  }

  private watchLost(compacted: boolean, now: Milliseconds): void {
    this.effects.logChange('watch-lost', { compacted });
    this.watchId = null;
    this.watchFailures += 1;
    this.restartWatchAt = now + this.jittered(this.backoff(this.watchFailures));
    if (!compacted) return;
    this.needsFullRead = true;
    if (this.read === null && this.readFailures === 0) this.nextReadAt = now;
  }

  private backoff(failures: number): Milliseconds {
    const { firstBackoff, longestBackoff } = this.timing;
    return Math.min(longestBackoff, firstBackoff * 2 ** Math.min(failures - 1, MAXIMUM_DOUBLINGS));
  }

  private jittered(duration: Milliseconds): Milliseconds {
    return jittered(this.random, duration, JITTER);
  }
}
