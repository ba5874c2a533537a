/**
 * Lists and watches prefixes through relays. A change must take effect within a bound even if
 * relays fail, so a node whose data becomes too old reads the store beside its requests to relays.
 */
import type { NodeId } from '../core/identity.js';
import type { Milliseconds, Revision } from '../core/units.js';
import { type Clock, suspendAwareTime } from '../serving/clock.js';
import type {
  SharedStore,
  StoreRangeOutcome,
  StoreWatchOutcome,
} from '../shared-store/shared-store.js';
import { type ChangeBound, maxWatchDuration } from './direct-prefixes.js';
import { type HedgedOutcome, hedgedRead } from './hedged-read.js';
import { type ListedAtStore, watchStore } from './overdue-watches.js';
import {
  type AgeLimits,
  ageOfStoreAnswer,
  ageOnArrival,
  followerLimits,
  maxWait,
} from './prefix-freshness.js';
import type { ReceivedPrefixes } from './received-prefixes.js';
import type { RelayChoice } from './relay-choice.js';
import type {
  RelayRequestKind,
  RelayRequests,
  RelaysOutcome,
  RelaysRequest,
} from './relay-requests.js';
import { listTimeouts, watchTimeouts } from './relay-timeouts.js';
import type { RoundTripEstimate } from './round-trip-estimate.js';
import { isStoreFast } from './store-probe.js';

/**
 * Number of consecutive lists for which relays that are not current are retried before the store is
 * read.
 */
const MAX_STALE_RELAY_RETRIES = 3;

/**
 * Pause before a list that the store refused is repeated while relays are silent, as a share of the
 * change bound.
 */
const REPEAT_PAUSE_SHARE = 0.05;

/** Pause before relays that are not current are requested again, as a share of the change bound. */
const RELAY_RETRY_SHARE = 0.05;

/** Number of repeated lists in one round. */
const MAX_REPEATS = 2;

export interface PrefixFollowerOptions extends ChangeBound {
  readonly store: SharedStore;
  readonly requests: RelayRequests;
  readonly received: ReceivedPrefixes;
  readonly choice: Pick<RelayChoice, 'penalize'>;
  readonly roundTrips: Pick<RoundTripEstimate, 'timeout'>;
  readonly clock: Clock;
}

export class PrefixFollower {
  /** Consecutive lists of each prefix that failed since it was last received. */
  private readonly staleRelayRetries = new Map<string, number>();
  /** Prefixes for which no relay answered lately: their next list is read at the store. */
  private readonly prefixesWithoutRelay = new Set<string>();
  /** Lists that were read while a watch waited for relays, for the list that follows. */
  private readonly lists = new Map<string, ListedAtStore>();

  constructor(private readonly options: PrefixFollowerOptions) {}

  async list(prefix: string, relays: readonly NodeId[]): Promise<StoreRangeOutcome> {
    const listed = this.lists.get(prefix);
    this.lists.delete(prefix);
    if (listed !== undefined) return this.noteListed(prefix, listed);
    if (this.prefixesWithoutRelay.delete(prefix)) return this.listAtStore(prefix);
    const maxAge = this.limits.source;
    const { received } = this.options;
    const read = await this.read<'list-prefix'>({
      ...{ prefix, relays, wait: 0 },
      ...listTimeouts(this.options.changeBound(), received.sources.wasReceived(prefix)),
      request: () => ({ kind: 'list-prefix', prefix, maxAge }),
    });
    if (read.by === 'second') return this.noteListed(prefix, read.outcome);
    const { outcome } = read;
    if (outcome.kind === 'answered') {
      const { items, revision } = outcome.answer;
      // The relay answers all followers alike, without the age, which is below the maximum.
      const age = maxAge + outcome.duration;
      return this.noteRelayed(prefix, outcome.relay, { kind: 'items', items, revision }, age);
    }
    if (outcome.kind === 'not-current' && this.mayRetryStaleRelays(prefix)) {
      return { kind: 'failed', effect: 'not-done' };
    }
    const listedAtStore = await this.listAtStore(prefix);
    const areRelaysStale = listedAtStore.kind === 'items' && outcome.kind === 'not-current';
    if (areRelaysStale) for (const relay of outcome.relays) this.options.choice.penalize(relay);
    return listedAtStore;
  }

  async watch(
    prefix: string,
    relays: readonly NodeId[],
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    this.lists.delete(prefix);
    if (relays.length === 0) return this.watchAtStore(prefix, after, wait, signal);
    const { limits, options } = this;
    const age = this.ageInBudget(prefix);
    const limit = Math.min(wait, maxWait(limits, age, options.changeBound()));
    const { store, clock } = options;
    let isFast: Promise<boolean> | undefined;
    // Both the list beside the relays and the one after them depend on it.
    const probeStore = (): Promise<boolean> => {
      isFast ??= isStoreFast({ store, clock, prefix, after, changeBound: options.changeBound() });
      return isFast;
    };
    const round = {
      ...{ prefix, relays, wait: limit },
      ...watchTimeouts(limits, options.changeBound(), { wait: limit, age }),
      request: (remainingWait: Milliseconds) => {
        const time = { wait: remainingWait, maxAge: limits.source };
        return { kind: 'follow-prefix', prefix, after, ...time } as const;
      },
    };
    const read = await this.read<'follow-prefix'>(round, probeStore);
    if (read.by === 'second') return this.keepList(prefix, read.outcome);
    const { outcome } = read;
    if (outcome.kind === 'no-relay') this.prefixesWithoutRelay.add(prefix);
    const areReading = outcome.kind === 'not-current' && outcome.areReadingStore;
    // At a slow store, a list would be answered after the reads that relays have under way.
    if (areReading && this.mayWaitForRelays(prefix) && !(await probeStore())) {
      await clock.sleep(RELAY_RETRY_SHARE * options.changeBound());
      return { kind: 'changes', changes: [], revision: after };
    }
    // A watch of this node may miss what the relays missed, so the prefix is listed again.
    if (outcome.kind !== 'answered') return { kind: 'compacted' };
    const { answer, relay, duration } = outcome;
    if (answer.changes === undefined) return { kind: 'compacted' };
    const { changes, revision } = answer;
    const watched = { kind: 'changes', changes, revision } as const;
    // The caller does not use the outcome of an aborted watch.
    if (signal.aborted) return watched;
    const ageReceived = ageOnArrival(answer.freshness, duration, options.changeBound());
    return this.noteRelayed(prefix, relay, watched, ageReceived);
  }

  /** Requests relays, and lists the prefix at the store once this node's data is too old. */
  private async read<Kind extends RelayRequestKind>(
    round: Omit<RelaysRequest<Kind>, 'superseded'>,
    mayList: () => Promise<boolean> = async () => true,
  ): Promise<HedgedOutcome<RelaysOutcome<Kind>, ListedAtStore>> {
    const { requests, received } = this.options;
    const { prefix } = round;
    const superseded = new AbortController();
    const first = requests.send<Kind>({ ...round, superseded: superseded.signal });
    let areRelaysSilent = true;
    void first.then(({ kind }) => {
      areRelaysSilent = kind === 'no-relay';
    });
    if (!received.mayReadAtStore(prefix)) return { by: 'first', outcome: await first };
    const read = await hedgedRead({
      first,
      isFirstUsable: ({ kind }) => kind === 'answered',
      delay: this.limits.store - received.freshness.age(prefix),
      second: async () =>
        (await mayList()) ? this.readStoreRepeatedly(prefix, () => areRelaysSilent) : undefined,
      isSecondUsable: (listed) => listed !== undefined && listed.outcome.kind !== 'failed',
    });
    if (read.by === 'first') return read;
    if (read.outcome === undefined) return { by: 'first', outcome: await first };
    superseded.abort();
    return { by: 'second', outcome: read.outcome };
  }

  /** Whether the change bound leaves time for relays that read the store to be current again. */
  private mayWaitForRelays(prefix: string): boolean {
    const { received, changeBound } = this.options;
    return received.mayReadAtStore(prefix) && received.freshness.age(prefix) < changeBound();
  }

  /** Repeats a refused list a few times, within the change bound. */
  private async readStoreRepeatedly(
    prefix: string,
    mayRepeat: () => boolean,
  ): Promise<ListedAtStore> {
    const { clock, received, changeBound } = this.options;
    const pause = REPEAT_PAUSE_SHARE * changeBound();
    const lastAge = this.limits.store + MAX_REPEATS * pause;
    for (let repeats = 0; ; repeats += 1) {
      const listed = await this.readStore(prefix);
      const isLast = repeats === MAX_REPEATS || received.freshness.age(prefix) > lastAge;
      if (listed.outcome.kind !== 'failed' || isLast) return listed;
      await clock.sleep(pause);
      if (!mayRepeat()) return listed;
    }
  }

  private async readStore(prefix: string): Promise<ListedAtStore> {
    const sentAt = suspendAwareTime(this.options.clock);
    return { outcome: await this.options.store.range(prefix), sentAt };
  }

  private async listAtStore(prefix: string): Promise<StoreRangeOutcome> {
    return this.noteListed(prefix, await this.readStore(prefix));
  }

  private noteListed(prefix: string, { outcome, sentAt }: ListedAtStore): StoreRangeOutcome {
    const { received, clock } = this.options;
    if (outcome.kind !== 'failed') this.staleRelayRetries.delete(prefix);
    return received.noteStoreOutcome(
      prefix,
      outcome,
      { age: suspendAwareTime(clock) - sentAt },
      this.limits,
    );
  }

  /** Keeps a list that was read in place of a watch; the caller lists the prefix next. */
  private keepList(prefix: string, listed: ListedAtStore): StoreWatchOutcome {
    if (listed.outcome.kind === 'failed') {
      this.noteListed(prefix, listed);
      return listed.outcome;
    }
    this.lists.set(prefix, listed);
    return { kind: 'compacted' };
  }

  private noteRelayed<Outcome extends StoreRangeOutcome | StoreWatchOutcome>(
    prefix: string,
    by: NodeId,
    outcome: Outcome,
    age: Milliseconds,
  ): Outcome {
    this.staleRelayRetries.delete(prefix);
    this.options.received.noteReceived({ prefix, by, outcome, age, limits: this.limits });
    return outcome;
  }

  /** Watches the store directly for a limited time, after which relays are tried again. */
  private async watchAtStore(
    prefix: string,
    after: Revision,
    wait: Milliseconds,
    signal: AbortSignal,
  ): Promise<StoreWatchOutcome> {
    const { store, received, roundTrips, clock } = this.options;
    const time = {
      wait: maxWatchDuration(prefix, wait, this.options),
      changeBound: this.options.changeBound(),
    };
    const sentAt = suspendAwareTime(clock);
    const watched = await watchStore({ store, prefix, after, ...time, signal, roundTrips, clock });
    if (watched.outcome === undefined) return this.keepList(prefix, watched.listed);
    const { outcome } = watched;
    if (signal.aborted) return outcome;
    const age = ageOfStoreAnswer({
      duration: suspendAwareTime(clock) - sentAt,
      wait: time.wait,
      isEmpty: outcome.kind === 'changes' && outcome.changes.length === 0,
      renewalAge: received.renewalAge,
    });
    // Changes end such a watch at once, so none of them is late.
    return received.noteStoreOutcome(prefix, outcome, { age, previousAge: 0 }, this.limits);
  }

  private get limits(): AgeLimits {
    return followerLimits(this.options.changeBound());
  }

  /** The age from which the time for relays is counted; a node that cannot read the store has all. */
  private ageInBudget(prefix: string): Milliseconds {
    const { received } = this.options;
    return received.mayReadAtStore(prefix) ? received.freshness.age(prefix) : 0;
  }

  /**
   * Whether to retry relays that are not current for one more list. A node that has received the
   * prefix before must learn of a change within the bound and requests the store first; any other
   * node would only add load to the store.
   */
  private mayRetryStaleRelays(prefix: string): boolean {
    const wasReceived = this.options.received.sources.wasReceived(prefix);
    const retries =
      this.staleRelayRetries.get(prefix) ?? (wasReceived ? MAX_STALE_RELAY_RETRIES : 0);
    const isRetried = retries < MAX_STALE_RELAY_RETRIES;
    this.staleRelayRetries.set(prefix, isRetried ? retries + 1 : 0);
    return isRetried;
  }
}
