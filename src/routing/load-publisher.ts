/**
 * Publishes the load of workers from their home node: stores subscriptions that expire, and pushes
 * changed loads to each subscriber at a limited rate.
 */
import { identityKey, type NodeIdentity, type WorkerId } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { WorkerLoad, WorkerLoadMessage } from './messages.js';

/** A message to be sent to a node. */
export interface LoadPush {
  readonly to: NodeIdentity;
  readonly message: WorkerLoadMessage;
}

export interface LoadPublisherOptions {
  /** Minimum interval between pushes to one subscriber. */
  readonly pushInterval: Milliseconds;
  /** Time after which a subscription expires without renewal. */
  readonly subscriptionTimeout: Milliseconds;
  /** The current load of a worker; `undefined` where this node is not its home. */
  readonly loadOf: (worker: WorkerId, now: Milliseconds) => WorkerLoad | undefined;
}

interface Subscriber {
  readonly identity: NodeIdentity;
  workers: readonly WorkerId[];
  sequence: number;
  expiresAt: Milliseconds;
  pushedAt: Milliseconds;
  readonly changed: Set<WorkerId>;
}

export class LoadPublisher {
  readonly #options: LoadPublisherOptions;
  readonly #subscribers = new Map<string, Subscriber>();
  readonly #subscribersOf = new Map<WorkerId, Set<Subscriber>>();
  readonly #pending = new Set<Subscriber>();

  constructor(options: LoadPublisherOptions) {
    this.#options = options;
  }

  /** Number of subscriptions. */
  get subscriberCount(): number {
    return this.#subscribers.size;
  }

  /** Adds, renews or (without workers) removes a subscription; answers with all loads or a keep-alive. */
  subscribe(
    from: NodeIdentity,
    workers: readonly WorkerId[],
    lastSequence: number,
    now: Milliseconds,
  ): LoadPush | undefined {
    const key = identityKey(from);
    if (workers.length === 0) {
      this.#remove(key);
      return undefined;
    }
    const existing = this.#subscribers.get(key);
    const subscriber = existing ?? this.#add(key, from);
    subscriber.expiresAt = now + this.#options.subscriptionTimeout;
    const sameWorkers = this.#replaceWorkers(subscriber, workers);
    const upToDate = existing !== undefined && sameWorkers && subscriber.sequence === lastSequence;
    if (upToDate) return this.#push(subscriber, [], false, now);
    subscriber.changed.clear();
    subscriber.sequence = Math.max(subscriber.sequence, lastSequence);
    return this.#push(subscriber, subscriber.workers, true, now);
  }

  /** Schedules a push of the worker's load to its subscribers. */
  markChanged(worker: WorkerId): void {
    for (const subscriber of this.#subscribersOf.get(worker) ?? []) {
      subscriber.changed.add(worker);
      this.#pending.add(subscriber);
    }
  }

  /** Pushes whose minimum interval has elapsed. */
  duePushes(now: Milliseconds): readonly LoadPush[] {
    const pushes: LoadPush[] = [];
    for (const subscriber of this.#pending) {
      if (now - subscriber.pushedAt < this.#options.pushInterval) continue;
      this.#pending.delete(subscriber);
      const changed = [...subscriber.changed];
      subscriber.changed.clear();
      if (changed.length > 0) pushes.push(this.#push(subscriber, changed, false, now));
    }
    return pushes;
  }

  /** Removes expired subscriptions. */
  expire(now: Milliseconds): void {
    for (const [key, subscriber] of this.#subscribers) {
      if (subscriber.expiresAt <= now) this.#remove(key);
    }
  }

  #push(
    subscriber: Subscriber,
    workers: readonly WorkerId[],
    complete: boolean,
    now: Milliseconds,
  ): LoadPush {
    const loads: WorkerLoad[] = [];
    const notHome: WorkerId[] = [];
    for (const worker of workers) {
      const load = this.#options.loadOf(worker, now);
      if (load === undefined) notHome.push(worker);
      else loads.push(load);
    }
    if (workers.length > 0) {
      subscriber.sequence += 1;
      subscriber.pushedAt = now;
    }
    const message = {
      kind: 'load',
      sequence: subscriber.sequence,
      complete,
      loads,
      notHome,
    } as const;
    return { to: subscriber.identity, message };
  }

  #add(key: string, identity: NodeIdentity): Subscriber {
    const subscriber: Subscriber = {
      identity,
      workers: [],
      sequence: 0,
      expiresAt: 0,
      pushedAt: Number.NEGATIVE_INFINITY,
      changed: new Set(),
    };
    this.#subscribers.set(key, subscriber);
    return subscriber;
  }

  #replaceWorkers(subscriber: Subscriber, workers: readonly WorkerId[]): boolean {
    const before = subscriber.workers;
    const isSame =
      before.length === workers.length && before.every((worker, at) => worker === workers[at]);
    if (isSame) return true;
    this.#unlink(subscriber);
    subscriber.workers = workers;
    for (const worker of workers) {
      const subscribers = this.#subscribersOf.get(worker) ?? new Set();
      subscribers.add(subscriber);
      this.#subscribersOf.set(worker, subscribers);
    }
    return false;
  }

  #remove(key: string): void {
    const subscriber = this.#subscribers.get(key);
    if (subscriber === undefined) return;
    this.#unlink(subscriber);
    this.#subscribers.delete(key);
    this.#pending.delete(subscriber);
  }

  #unlink(subscriber: Subscriber): void {
    for (const worker of subscriber.workers) {
      const subscribers = this.#subscribersOf.get(worker);
      subscribers?.delete(subscriber);
      if (subscribers?.size === 0) this.#subscribersOf.delete(worker);
    }
  }
}
