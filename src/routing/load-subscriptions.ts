/** Subscribes to the load of workers: one subscription at each home node, renewed periodically. */
import { identityKey, type NodeIdentity, type WorkerId } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkersOfHome } from './followed-workers.js';
import type { LoadPush } from './load-publisher.js';

export interface LoadSubscriptionsOptions {
  readonly random: RandomSource;
  /** Maximum interval between renewals; each interval is jittered below it. */
  readonly renewInterval: Milliseconds;
}

interface Subscription {
  readonly home: NodeIdentity;
  workers: readonly WorkerId[];
  lastSequence: number;
  renewAt: Milliseconds;
}

/** Minimum share of the renewal interval after jitter. */
const MIN_RENEWAL_SHARE = 0.8;

export class LoadSubscriptions {
  readonly #options: LoadSubscriptionsOptions;
  readonly #subscriptions = new Map<string, Subscription>();

  constructor(options: LoadSubscriptionsOptions) {
    this.#options = options;
  }

  /** Number of subscribed homes. */
  get homeCount(): number {
    return this.#subscriptions.size;
  }

  /** Sets the followed workers by home; returns the messages that cancel obsolete subscriptions. */
  replace(required: ReadonlyMap<string, WorkersOfHome>, now: Milliseconds): readonly LoadPush[] {
    const cancellations: LoadPush[] = [];
    for (const [key, subscription] of this.#subscriptions) {
      if (required.has(key)) continue;
      this.#subscriptions.delete(key);
      cancellations.push({
        to: subscription.home,
        message: { kind: 'subscribe', workers: [], lastSequence: 0 },
      });
    }
    for (const [key, { home, workers }] of required) {
      const existing = this.#subscriptions.get(key);
      if (existing === undefined) {
        this.#subscriptions.set(key, { home, workers, lastSequence: 0, renewAt: now });
      } else if (!isSameList(existing.workers, workers)) {
        existing.workers = workers;
        existing.renewAt = now;
      }
    }
    return cancellations;
  }

  /** Whether this node has a subscription at the home. */
  has(home: NodeIdentity): boolean {
    return this.#subscriptions.has(identityKey(home));
  }

  /** Workers in the subscription at a home. */
  workersAt(home: NodeIdentity): readonly WorkerId[] {
    return this.#subscriptions.get(identityKey(home))?.workers ?? [];
  }

  /**
   * Checks the sequence number of a home's message; false for an outdated one, which the caller
   * drops. A gap makes the renewal due at once, which requests all loads.
   */
  accept(
    home: NodeIdentity,
    received: { readonly sequence: number; readonly complete: boolean; readonly isEmpty: boolean },
    now: Milliseconds,
  ): boolean {
    const subscription = this.#subscriptions.get(identityKey(home));
    if (subscription === undefined) return false;
    const { lastSequence } = subscription;
    const expected = received.isEmpty ? lastSequence : lastSequence + 1;
    if (received.sequence < expected) return false;
    if (received.complete || received.sequence === expected) {
      subscription.lastSequence = received.sequence;
    } else {
      subscription.renewAt = now;
    }
    return true;
  }

  /** Renewals that are due; schedules the next ones. */
  dueRenewals(now: Milliseconds): readonly LoadPush[] {
    const renewals: LoadPush[] = [];
    for (const subscription of this.#subscriptions.values()) {
      if (subscription.renewAt > now) continue;
      const { home, workers, lastSequence } = subscription;
      renewals.push({ to: home, message: { kind: 'subscribe', workers, lastSequence } });
      const jitteredShare =
        MIN_RENEWAL_SHARE + (1 - MIN_RENEWAL_SHARE) * this.#options.random.fraction();
      subscription.renewAt = now + this.#options.renewInterval * jitteredShare;
    }
    return renewals;
  }
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name, at) => name === right[at]);
}
