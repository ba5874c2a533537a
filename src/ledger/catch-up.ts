/**
 * Fetches the registers a new member needs before it may vote in its epoch: full copies from a
 * majority of the members of the epoch before, which seal that epoch first, or one full copy from
 * a member that is already active in the new epoch. See docs/design/ledger.md for why either is
 * enough.
 */
import type { GroupRecord } from '../config-feed/configuration.js';
import { identityKey, type NodeIdentity } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { LedgerEnvironment } from './environment.js';
import { allMembersOf, includesIdentity, majorityOf } from './group-record.js';
import type { LedgerMessage, RegisterEntry, Tombstone } from './messages.js';

interface Source {
  readonly member: NodeIdentity;
  request: number;
  cursor: number;
  /** Which kind of copy the pages so far belong to; they are dropped when it changes. */
  kind: 'epoch' | 'previous' | null;
  isFull: boolean;
  entries: RegisterEntry[];
  tombstones: readonly Tombstone[];
  interval: Milliseconds;
  resendAt: Milliseconds;
}

/** What a finished catch-up yields. */
export interface CatchUpResult {
  readonly entries: readonly RegisterEntry[];
  readonly tombstones: readonly Tombstone[];
}

/** The catch-up of one new member for one epoch. */
export class CatchUp<Value> {
  readonly record: GroupRecord;
  readonly #environment: LedgerEnvironment<Value>;
  readonly #sources = new Map<string, Source>();

  constructor(environment: LedgerEnvironment<Value>, record: GroupRecord) {
    this.#environment = environment;
    this.record = record;
    for (const member of allMembersOf(record)) {
      const isSelf = identityKey(member) === environment.selfKey;
      if (isSelf && !includesIdentity(record.previousMembers, environment.selfKey)) continue;
      this.#sources.set(identityKey(member), {
        member,
        request: 0,
        cursor: 0,
        kind: null,
        isFull: false,
        entries: [],
        tombstones: [],
        interval: environment.settings.resendInterval,
        resendAt: 0,
      });
    }
  }

  /** Asks every source that has not answered for its next page. */
  tick(now: Milliseconds): void {
    for (const source of this.#sources.values()) {
      if (source.isFull || now < source.resendAt) continue;
      source.interval = Math.min(source.interval * 2, this.#environment.settings.resendLimit);
      this.#ask(source, now);
    }
  }

  /**
   * A member has become active in the epoch: its copy is enough now, also where it had only given
   * its share of a majority before.
   */
  noteActive(member: string, now: Milliseconds): void {
    const source = this.#sources.get(member);
    if (source === undefined || source.kind !== 'previous') return;
    this.#forget(source);
    this.#ask(source, now);
  }

  /** Takes a page; gives the result once enough copies are full. */
  receive(from: string, message: LedgerMessage, now: Milliseconds): CatchUpResult | undefined {
    const source = this.#sources.get(from);
    if (source === undefined || source.isFull) return undefined;
    if (message.request !== source.request) return undefined;
    if (message.kind === 'page-refused') this.#forget(source);
    if (message.kind !== 'page') return undefined;
    if (message.cursor !== source.cursor) return undefined;
    if (source.kind !== null && source.kind !== message.source) {
      this.#forget(source);
      this.#ask(source, now);
      return undefined;
    }
    source.kind = message.source;
    source.entries.push(...message.entries);
    source.tombstones = message.tombstones;
    source.cursor += message.entries.length;
    source.isFull = message.last;
    if (!source.isFull) {
      source.interval = this.#environment.settings.resendInterval;
      this.#ask(source, now);
      return undefined;
    }
    return this.#result();
  }

  /** Starts a source's copy over; it is asked again when it is due. */
  #forget(source: Source): void {
    source.kind = null;
    source.cursor = 0;
    source.entries = [];
    source.request = 0;
    source.isFull = false;
  }

  #ask(source: Source, now: Milliseconds): void {
    // Pages of one copy share a number, by which the source finds the copy again.
    if (source.request === 0) source.request = this.#environment.nextRequest();
    source.resendAt = now + source.interval;
    const content = { kind: 'pull', record: this.record, cursor: source.cursor } as const;
    this.#environment.send(source.member, this.record, source.request, content);
  }

  #result(): CatchUpResult | undefined {
    const full = [...this.#sources.values()].filter((source) => source.isFull);
    const active = full.find((source) => source.kind === 'epoch');
    if (active !== undefined) return active;
    const { previousMembers } = this.record;
    const sealed = full.filter((source) =>
      includesIdentity(previousMembers, identityKey(source.member)),
    );
    if (sealed.length < majorityOf(previousMembers.length)) return undefined;
    return {
      entries: sealed.flatMap((source) => source.entries),
      tombstones: sealed.flatMap((source) => source.tombstones),
    };
  }
}
