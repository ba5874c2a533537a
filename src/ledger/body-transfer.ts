/**
 * Repair of bodies after a change of a group: a member lists the bodies of the other members in
 * pages, and fetches those it lacks a few at a time, from its own disk where it has them there. It
 * is complete once a majority of the members of the epoch before and all living members of the new
 * one have been listed, and no fetch is open.
 */
import type { GroupRecord } from '../config-feed/configuration.js';
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { BodyStore } from './body-store.js';
import type { ReplicaDisk } from './disk-bodies.js';
import type { LedgerEnvironment } from './environment.js';
import { allMembersOf, majorityOf } from './group-record.js';
import { type BodyName, bodyNameKey, type LedgerMessage } from './messages.js';

interface Listing {
  readonly member: NodeIdentity;
  cursor: number;
  request: number;
  isDone: boolean;
  resendAt: Milliseconds;
}

interface ListedBody extends BodyName {
  readonly from: NodeIdentity;
}

/** A read from the own disk; another member holds the body as well. */
interface Load extends ListedBody {
  readonly giveUpAt: Milliseconds;
}

interface Fetch extends BodyName {
  readonly from: NodeIdentity;
  resendAt: Milliseconds;
  attempts: number;
}

/** A fetch is given up after this many sends; another member may list the body too. */
const FETCH_ATTEMPTS = 5;

/** A read from the own disk that takes longer is given up; the body is fetched instead. */
const LOAD_LIMIT: Milliseconds = 2_000;

/** The repair of one member's bodies for one epoch. */
export class BodyTransfer<Value> {
  readonly #environment: LedgerEnvironment<Value>;
  readonly #record: GroupRecord;
  readonly #store: BodyStore;
  readonly #listings = new Map<string, Listing>();
  readonly #disk: ReplicaDisk;
  readonly #waiting: ListedBody[] = [];
  readonly #loads = new Map<string, Load>();
  /** For each body that is being loaded or fetched, the other members that list it. */
  readonly #alternatives = new Map<string, ListedBody[]>();
  readonly #fetches = new Map<number, Fetch>();

  constructor(
    environment: LedgerEnvironment<Value>,
    record: GroupRecord,
    store: BodyStore,
    disk: ReplicaDisk,
  ) {
    this.#disk = disk;
    this.#environment = environment;
    this.#record = record;
    this.#store = store;
    for (const member of allMembersOf(record)) {
      const key = identityKey(member);
      const isDone = key === environment.selfKey;
      this.#listings.set(key, { member, cursor: 0, request: 0, isDone, resendAt: 0 });
    }
  }

  /** Whether all bodies that a majority of the earlier members held are here. */
  get isComplete(): boolean {
    if (this.#openCount > 0 || this.#waiting.length > 0) return false;
    const { members, previousMembers } = this.#record;
    const listed = previousMembers.filter((member) => this.#isListed(member));
    const { alive } = this.#environment;
    const isLivingListed = members.every(
      (member) => this.#isListed(member) || !alive.has(identityKey(member)),
    );
    return isLivingListed && listed.length >= majorityOf(previousMembers.length);
  }

  /** Sends what is due. */
  tick(now: Milliseconds): void {
    for (const listing of this.#listings.values()) {
      if (!listing.isDone && listing.resendAt <= now) this.#list(listing, now);
    }
    for (const [request, fetch] of this.#fetches) {
      if (fetch.resendAt > now) continue;
      if (fetch.attempts >= FETCH_ATTEMPTS) this.#giveUp(request, fetch);
      else this.#fetch(request, fetch, now);
    }
    for (const load of this.#loads.values()) {
      if (load.giveUpAt <= now) this.#receiveLoaded(load, null, now);
    }
    this.#fillWindow(now);
  }

  /** Takes a body, or `null`, from the own disk. */
  bodyLoaded(name: BodyName, body: string | null, now: Milliseconds): void {
    const load = this.#loads.get(bodyNameKey(name));
    if (load !== undefined) this.#receiveLoaded(load, body, now);
    this.#fillWindow(now);
  }

  /** Takes a list or a body. */
  receive(from: string, message: LedgerMessage, now: Milliseconds): void {
    if (message.kind === 'body-names') this.#receiveNames(from, message, now);
    if (message.kind === 'body') this.#receiveBody(message.request, message.body, now);
    this.#fillWindow(now);
  }

  get #openCount(): number {
    return this.#fetches.size + this.#loads.size;
  }

  #isListed(member: NodeIdentity): boolean {
    return this.#listings.get(identityKey(member))?.isDone === true;
  }

  #receiveNames(
    from: string,
    message: Extract<LedgerMessage, { kind: 'body-names' }>,
    now: Milliseconds,
  ): void {
    const listing = this.#listings.get(from);
    if (listing === undefined || listing.isDone) return;
    if (message.request !== listing.request || message.cursor !== listing.cursor) return;
    for (const { shardKey, digest } of message.names) {
      this.#waiting.push({ shardKey, digest, from: listing.member });
    }
    listing.cursor += message.names.length;
    listing.isDone = message.last;
    if (!listing.isDone) this.#list(listing, now);
  }

  #receiveBody(request: number, body: string | null, now: Milliseconds): void {
    const fetch = this.#fetches.get(request);
    if (fetch === undefined) return;
    const expiresAt = now + this.#environment.settings.bodyLifetime;
    const result = body === null ? 'corrupt' : this.#store.store(fetch, body, expiresAt);
    if (result === 'corrupt') {
      this.#giveUp(request, fetch);
      return;
    }
    this.#fetches.delete(request);
    this.#alternatives.delete(bodyNameKey(fetch));
    if (result === 'stored') this.#environment.counters.bodiesRepaired += 1;
  }

  #fillWindow(now: Milliseconds): void {
    while (this.#openCount < this.#environment.settings.bodyFetchWindow) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      if (this.#store.has(next) || this.#store.isRemoved(next)) continue;
      const alternatives = this.#alternatives.get(bodyNameKey(next));
      if (alternatives !== undefined) {
        alternatives.push(next);
        continue;
      }
      this.#alternatives.set(bodyNameKey(next), []);
      if (this.#disk.load(next)) {
        this.#loads.set(bodyNameKey(next), { ...next, giveUpAt: now + LOAD_LIMIT });
      } else this.#startFetch(next, now);
    }
  }

  /** A body that could not be read is fetched from the member that listed it. */
  #receiveLoaded(load: Load, body: string | null, now: Milliseconds): void {
    this.#loads.delete(bodyNameKey(load));
    const { counters, settings } = this.#environment;
    const expiresAt = now + settings.bodyLifetime;
    const result = body === null ? 'corrupt' : this.#store.store(load, body, expiresAt);
    if (result === 'stored') counters.bodiesLoaded += 1;
    if (result !== 'corrupt') {
      this.#alternatives.delete(bodyNameKey(load));
      return;
    }
    counters.bodiesUnreadable += 1;
    this.#disk.unreadable(load);
    this.#askAlternatives(load);
    const { shardKey, digest, from } = load;
    this.#waiting.unshift({ shardKey, digest, from });
  }

  /** Leaves a fetch that yields nothing to the other members that list the body. */
  #giveUp(request: number, fetch: Fetch): void {
    this.#fetches.delete(request);
    this.#askAlternatives(fetch);
  }

  #askAlternatives(name: BodyName): void {
    const alternatives = this.#alternatives.get(bodyNameKey(name)) ?? [];
    this.#alternatives.delete(bodyNameKey(name));
    this.#waiting.unshift(...alternatives);
  }

  #startFetch(body: ListedBody, now: Milliseconds): void {
    const fetch: Fetch = { ...body, resendAt: 0, attempts: 0 };
    const request = this.#environment.nextRequest();
    this.#fetches.set(request, fetch);
    this.#fetch(request, fetch, now);
  }

  #list(listing: Listing, now: Milliseconds): void {
    if (listing.request === 0) listing.request = this.#environment.nextRequest();
    listing.resendAt = now + this.#environment.settings.resendLimit;
    const content = { kind: 'body-list', cursor: listing.cursor } as const;
    this.#environment.send(listing.member, this.#record, listing.request, content);
  }

  #fetch(request: number, fetch: Fetch, now: Milliseconds): void {
    fetch.attempts += 1;
    fetch.resendAt = now + this.#environment.settings.resendLimit;
    const { shardKey, digest } = fetch;
    const content = { kind: 'body-fetch', shardKey, digest } as const;
    this.#environment.send(fetch.from, this.#record, request, content);
  }
}
