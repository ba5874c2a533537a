/** Subscriber side of load distribution: one renewed subscription per home node. */
import { identityKey, type NodeIdentity, type WorkerId } from '../core/identity.js';
import type { RandomSource } from '../core/random.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkersOfHome } from './followed-workers.js';
import type { LoadPush } from './load-publisher.js';

/** Settings of the subscriptions. */
export interface LoadSubscriptionsOptions {
  readonly random: RandomSource;
  /** Longest time between two renewals; each is drawn from the upper fifth below it. */
  readonly renewInterval: Milliseconds;
}

interface Subscription {
  readonly home: NodeIdentity;
  workers: readonly WorkerId[];
  lastSequence: number;
  renewAt: Milliseconds;
}

/** Renewals come after at least this share of the interval. */
const EARLIEST_RENEWAL = 0.8;

/** Subscriptions of one node at the homes of the workers of its subsets. */
export class LoadSubscriptions {
  readonly #options: LoadSubscriptionsOptions;
  readonly #subscriptions = new Map<string, Subscription>();

  constructor(options: LoadSubscriptionsOptions) {
    this.#options = options;
  }

  /** Number of homes subscribed at. */
  get homeCount(): number {
    return this.#subscriptions.size;
  }

  /** Sets which workers are wanted from which homes; returns messages that end subscriptions. */
  replace(wanted: ReadonlyMap<string, WorkersOfHome>, now: Milliseconds): readonly LoadPush[] {
    const ended: LoadPush[] = [];
    for (const [key, subscription] of this.#subscriptions) {
      if (wanted.has(key)) continue;
      this.#subscriptions.delete(key);
      ended.push({
        to: subscription.home,
        message: { kind: 'subscribe', workers: [], lastSequence: 0 },
      });
    }
    for (const [key, { home, workers }] of wanted) {
      const known = this.#subscriptions.get(key);
      if (known === undefined) {
        this.#subscriptions.set(key, { home, workers, lastSequence: 0, renewAt: now });
      } else if (!isSameList(known.workers, workers)) {
        known.workers = workers;
        known.renewAt = now;
      }
    }
    return ended;
  }

  /** Whether this node subscribed at a home. */
  has(home: NodeIdentity): boolean {
    return this.#subscriptions.has(identityKey(home));
  }

  /** Workers subscribed at a home. */
  workersAt(home: NodeIdentity): readonly WorkerId[] {
    return this.#subscriptions.get(identityKey(home))?.workers ?? [];
  }

  /**
   * Takes in the sequence number of a home's message; false for one that a later message overtook.
   * A gap asks for everything again at once.
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

  /** Renewals that are due. */
  tick(now: Milliseconds): readonly LoadPush[] {
    const renewals: LoadPush[] = [];
    for (const subscription of this.#subscriptions.values()) {
      if (subscription.renewAt > now) continue;
      const { home, workers, lastSequence } = subscription;
      renewals.push({ to: home, message: { kind: 'subscribe', workers, lastSequence } });
      const spread = EARLIEST_RENEWAL + (1 - EARLIEST_RENEWAL) * this.#options.random.fraction();
      subscription.renewAt = now + this.#options.renewInterval * spread;
    }
    return renewals;
  }
}

function isSameList(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((name, at) => name === right[at]);
}
