/**
 * The key-value service of a simulation: the emulator's contents behind a path that can be down,
 * slow, rate-limited, cut, or lose answers of writes that took effect.
 */
import type { ZoneName } from '../../src/core/identity.js';
import type { RandomSource } from '../../src/core/random.js';
import type { Milliseconds, Revision } from '../../src/core/units.js';
import type {
  KeyValueChange,
  KeyValueOperation,
  KeyValueResult,
  KeyValueWatchEvent,
} from '../../src/platform/key-value.js';
import type { KeyValueCore } from '../emulator/key-value-core.js';
import type { EventQueue } from './event-queue.js';
import type { SimulatedNetwork } from './network.js';

/** Zone name under which the platform's services take part in the network. */
export const PLATFORM_ZONE: ZoneName = 'platform';

/** How long a client waits for an answer of the service. */
const ANSWER_TIMEOUT: Milliseconds = 1_000;

/** How long a watch may be silent before its client takes it for lost. */
const WATCH_SILENCE_LIMIT: Milliseconds = 3_000;

/** How often the service tells idle watches how far they are. */
const PROGRESS_INTERVAL: Milliseconds = 1_000;

const RETRY_AFTER: Milliseconds = 500;

/** What may be wrong with the service; all may be at once. */
export interface KeyValueFaults {
  /** How many outages last at present; the service answers while there is none. */
  outages: number;
  /** Extra time of each answer. */
  slowness: Milliseconds;
  /** Share of requests refused by the rate limit. */
  refusedShare: number;
  /** Share of transactions that take effect without an answer. */
  lostAnswerShare: number;
}

/** The receiving end of a request or a watch; `open` is false once its process has ended. */
export interface ServiceClient {
  readonly zone: ZoneName;
  readonly open: () => boolean;
}

interface Watch {
  readonly client: ServiceClient;
  readonly prefix: string;
  readonly deliver: (event: KeyValueWatchEvent) => void;
  nextRevision: Revision;
  lastHeard: Milliseconds;
  /** Earliest time of the next delivery, since a connection keeps the order. */
  notBefore: Milliseconds;
  active: boolean;
}

/** Called for each change as it takes effect. */
export type ChangeListener = (change: KeyValueChange) => void;

/** The service with its watches and faults. */
export class SimulatedKeyValue {
  readonly faults: KeyValueFaults = {
    outages: 0,
    slowness: 0,
    refusedShare: 0,
    lostAnswerShare: 0,
  };
  readonly #queue: EventQueue;
  readonly #network: SimulatedNetwork;
  readonly #random: RandomSource;
  readonly #store: KeyValueCore;
  readonly #onChange: ChangeListener;
  readonly #watches = new Set<Watch>();
  #revision: Revision;

  constructor(
    queue: EventQueue,
    network: SimulatedNetwork,
    random: RandomSource,
    store: KeyValueCore,
    onChange: ChangeListener,
  ) {
    this.#queue = queue;
    this.#network = network;
    this.#random = random;
    this.#store = store;
    this.#revision = store.revision;
    this.#onChange = onChange;
    this.#scheduleProgress();
  }

  /** The newest revision. */
  get revision(): Revision {
    return this.#revision;
  }

  /** Reads or writes at once, without network or faults; for setting a run up and judging it. */
  performDirectly(operation: KeyValueOperation): KeyValueResult {
    const result = this.#store.perform(operation);
    if (operation.kind === 'transaction' && result.kind === 'transaction' && result.succeeded) {
      this.#announce(result.revision);
    }
    return result;
  }

  /** Carries a request of a node there and its answer back. */
  request(
    client: ServiceClient,
    operation: KeyValueOperation,
    deliver: (result: KeyValueResult) => void,
  ): void {
    if (!this.#network.isOpen(client.zone, PLATFORM_ZONE)) {
      this.#answer(ANSWER_TIMEOUT, deliver, unavailable(false));
      return;
    }
    this.#queue.after(this.#network.delay(client.zone, PLATFORM_ZONE), () =>
      this.#serve(client, operation, deliver),
    );
  }

  /** Opens a watch; the returned function ends it. */
  watch(
    client: ServiceClient,
    prefix: string,
    fromRevision: Revision,
    deliver: (event: KeyValueWatchEvent) => void,
  ): () => void {
    const watch: Watch = {
      client,
      prefix,
      deliver,
      nextRevision: fromRevision,
      lastHeard: this.#queue.now,
      notBefore: 0,
      active: true,
    };
    this.#watches.add(watch);
    this.#queue.after(this.#network.delay(client.zone, PLATFORM_ZONE), () => this.#feed(watch));
    return () => this.#end(watch);
  }

  /** Breaks every watch, as a restart of the service does. */
  breakWatches(): void {
    for (const watch of [...this.#watches]) this.#lose(watch, false);
  }

  /** Forgets the history of changes up to now, so that watches from before are refused. */
  compact(): void {
    this.#store.compact(this.#revision);
  }

  #serve(
    client: ServiceClient,
    operation: KeyValueOperation,
    deliver: (result: KeyValueResult) => void,
  ): void {
    if (this.faults.outages > 0) {
      this.#answer(ANSWER_TIMEOUT, deliver, unavailable(false));
      return;
    }
    if (this.#happens(this.faults.refusedShare)) {
      const refused: KeyValueResult = {
        kind: 'failed',
        reason: 'rate-limited',
        mayHaveApplied: false,
        retryAfter: RETRY_AFTER,
      };
      this.#answer(this.#network.delay(PLATFORM_ZONE, client.zone), deliver, refused);
      return;
    }
    this.#queue.after(this.faults.slowness * this.#random.fraction(), () => {
      const result = this.performDirectly(operation);
      this.#return(client, operation, result, deliver);
    });
  }

  #return(
    client: ServiceClient,
    operation: KeyValueOperation,
    result: KeyValueResult,
    deliver: (result: KeyValueResult) => void,
  ): void {
    const writes = operation.kind === 'transaction';
    const lost =
      (writes && this.#happens(this.faults.lostAnswerShare)) ||
      !this.#network.isOpen(PLATFORM_ZONE, client.zone);
    if (lost) {
      this.#answer(ANSWER_TIMEOUT, deliver, unavailable(writes));
      return;
    }
    const delay = this.#network.delay(PLATFORM_ZONE, client.zone);
    this.#answer(delay + this.faults.slowness * this.#random.fraction(), deliver, result);
  }

  #answer(
    delay: Milliseconds,
    deliver: (result: KeyValueResult) => void,
    result: KeyValueResult,
  ): void {
    this.#queue.after(delay, () => deliver(result));
  }

  #announce(revision: Revision): void {
    const previous = this.#revision;
    this.#revision = revision;
    const event = this.#store.changesSince('', previous + 1);
    if (event.kind === 'changes') {
      for (const change of event.changes) this.#onChange(change);
    }
    for (const watch of this.#watches) this.#feed(watch);
  }

  #feed(watch: Watch): void {
    if (!this.#isUsable(watch)) return;
    const event = this.#store.changesSince(watch.prefix, watch.nextRevision);
    if (event.kind === 'lost') {
      this.#lose(watch, event.compacted);
      return;
    }
    watch.nextRevision = event.revision + 1;
    watch.lastHeard = this.#queue.now;
    const delay = this.#network.delay(PLATFORM_ZONE, watch.client.zone);
    watch.notBefore = Math.max(watch.notBefore, this.#queue.now + delay);
    this.#queue.after(watch.notBefore - this.#queue.now, () => {
      if (watch.active) watch.deliver(event);
    });
  }

  #isUsable(watch: Watch): boolean {
    if (!watch.active || this.faults.outages > 0) return false;
    if (!watch.client.open()) {
      this.#end(watch);
      return false;
    }
    const { zone } = watch.client;
    return this.#network.isOpen(PLATFORM_ZONE, zone) && this.#network.isOpen(zone, PLATFORM_ZONE);
  }

  #lose(watch: Watch, compacted: boolean): void {
    this.#end(watch);
    this.#queue.after(1, () => watch.deliver({ kind: 'lost', compacted }));
  }

  #end(watch: Watch): void {
    watch.active = false;
    this.#watches.delete(watch);
  }

  #scheduleProgress(): void {
    this.#queue.after(PROGRESS_INTERVAL, () => {
      for (const watch of [...this.#watches]) {
        this.#feed(watch);
        const silence = this.#queue.now - watch.lastHeard;
        if (watch.active && silence > WATCH_SILENCE_LIMIT) this.#lose(watch, false);
      }
      this.#scheduleProgress();
    });
  }

  #happens(share: number): boolean {
    return share > 0 && this.#random.fraction() < share;
  }
}

function unavailable(mayHaveApplied: boolean): KeyValueResult {
  return { kind: 'failed', reason: 'unavailable', mayHaveApplied, retryAfter: RETRY_AFTER };
}
