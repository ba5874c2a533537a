/**
 * The simulated network between zones: latency, loss, delay, duplication, reordering, and cuts in
 * one or both directions. Between two nodes it carries datagrams; to engines, to the key-value
 * service and to callers it only answers whether a path is open and how long it takes.
 */
import type { ZoneName } from '../../src/core/identity.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { EventQueue } from './event-queue.js';

/** What a network does to messages; fractions are in `[0, 1]`. */
export interface NetworkQuality {
  readonly loss: number;
  readonly duplication: number;
  /** Upper end of an extra delay drawn for each message, which also reorders messages. */
  readonly jitter: Milliseconds;
}

/** A network without disturbance. */
export const UNDISTURBED: NetworkQuality = { loss: 0, duplication: 0, jitter: 0.2 };

/** Latencies of the network, one way. */
export interface NetworkLatency {
  readonly insideZone: Milliseconds;
  readonly betweenZones: Milliseconds;
  readonly toClients: Milliseconds;
}

/** Name under which clients, which live in no zone, take part in the network. */
export const CLIENT_ZONE: ZoneName = 'clients';

/** The network of one simulation. */
export class SimulatedNetwork {
  readonly #queue: EventQueue;
  readonly #random: RandomSource;
  readonly #latency: NetworkLatency;
  /** How many cuts lie on each directed pair of zones. */
  readonly #cuts = new Map<string, number>();
  readonly #disturbances: NetworkQuality[] = [];
  #quality: NetworkQuality = UNDISTURBED;

  constructor(queue: EventQueue, random: RandomSource, latency: NetworkLatency) {
    this.#queue = queue;
    this.#random = random;
    this.#latency = latency;
  }

  /** Cuts one direction between two zones; the returned function heals this cut. */
  cut(from: ZoneName, to: ZoneName): () => void {
    const pair = `${from}>${to}`;
    this.#cuts.set(pair, (this.#cuts.get(pair) ?? 0) + 1);
    let healed = false;
    return () => {
      if (healed) return;
      healed = true;
      this.#cuts.set(pair, (this.#cuts.get(pair) ?? 1) - 1);
    };
  }

  /** Adds a disturbance of all messages; the returned function takes it back. */
  disturb(quality: NetworkQuality): () => void {
    this.#disturbances.push(quality);
    this.#combine();
    return () => {
      const place = this.#disturbances.indexOf(quality);
      if (place >= 0) this.#disturbances.splice(place, 1);
      this.#combine();
    };
  }

  /** Whether a message sent now from one zone would reach another. */
  isOpen(from: ZoneName, to: ZoneName): boolean {
    return (this.#cuts.get(`${from}>${to}`) ?? 0) === 0;
  }

  /** Whether any pair of zones is cut at present. */
  hasCuts(): boolean {
    for (const count of this.#cuts.values()) if (count > 0) return true;
    return false;
  }

  /** One message's time on the way, drawn anew at each call. */
  delay(from: ZoneName, to: ZoneName): Milliseconds {
    return this.#base(from, to) + this.#random.fraction() * this.#quality.jitter;
  }

  /** Carries a datagram: never, once or twice, whichever the network's state says. */
  send(from: ZoneName, to: ZoneName, deliver: () => void): void {
    if (!this.isOpen(from, to)) return;
    if (this.#happens(this.#quality.loss)) return;
    this.#queue.after(this.delay(from, to), deliver);
    if (this.#happens(this.#quality.duplication)) {
      this.#queue.after(this.delay(from, to), deliver);
    }
  }

  #happens(share: number): boolean {
    return share > 0 && this.#random.fraction() < share;
  }

  #base(from: ZoneName, to: ZoneName): Milliseconds {
    if (from === CLIENT_ZONE || to === CLIENT_ZONE) return this.#latency.toClients;
    return from === to ? this.#latency.insideZone : this.#latency.betweenZones;
  }

  #combine(): void {
    let combined = UNDISTURBED;
    for (const quality of this.#disturbances) {
      combined = {
        loss: Math.max(combined.loss, quality.loss),
        duplication: Math.max(combined.duplication, quality.duplication),
        jitter: Math.max(combined.jitter, quality.jitter),
      };
    }
    this.#quality = combined;
  }
}
