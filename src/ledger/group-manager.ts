/**
 * Creates and repairs replica groups through the key-value service. Every record is written by a
 * compare-and-swap on the revision that was read just before; a lost answer is settled by reading
 * again. The first living node of the domain in the group's rendezvous order acts; others step in
 * after a while, as it may be cut off from the service.
 */
import { type GroupRecord, groupKey } from '../config-feed/configuration.js';
import { identityKey } from '../core/identity.js';
import { type Milliseconds, SECOND } from '../core/units.js';
import type { KeyValueEntry, KeyValueOperation, KeyValueResult } from '../platform/key-value.js';
import type { Activations } from './activations.js';
import type { LedgerEnvironment } from './environment.js';
import { type GroupSituation, planChange, planCreation } from './group-change.js';
import { decodeGroupRecord, encodeGroupRecord } from './group-record.js';
import type { GroupTable } from './group-table.js';
import type { MemberView } from './member-view.js';
import type { LedgerDomain } from './requests.js';

/** A group is first created once the set of living nodes has been the same for this long. */
const FORMATION_DELAY: Milliseconds = 1 * SECOND;

/** The node next in order steps in when a change has been wanted for this much longer. */
const TAKEOVER_INTERVAL: Milliseconds = 5 * SECOND;

/** What the manager needs from the ledger. */
export interface GroupManagerHost<Value> {
  readonly environment: LedgerEnvironment<Value>;
  readonly view: MemberView;
  readonly activations: Activations;
  readonly groups: GroupTable<Value>;
}

interface GroupWork {
  readonly domain: LedgerDomain;
  readonly shard: number;
  readonly wantedSince: Milliseconds;
  notBefore: Milliseconds;
  requestId: string | undefined;
  requestedAt: Milliseconds;
  /** The record a running transaction writes; `null` while a read runs. */
  proposed: GroupRecord | null;
}

/** Follows all groups of the node's domains. */
export class GroupManager<Value> {
  readonly #host: GroupManagerHost<Value>;
  readonly #work = new Map<string, GroupWork>();
  readonly #requests = new Map<string, GroupWork>();
  #reviewAt: Milliseconds = 0;

  constructor(host: GroupManagerHost<Value>) {
    this.#host = host;
  }

  /** Looks for groups to create or change. */
  tick(now: Milliseconds): void {
    if (now < this.#reviewAt) return;
    this.#reviewAt = now + this.#host.environment.settings.reviewInterval;
    for (const domain of this.#host.view.domains) {
      if (!domain.zones.includes(this.#host.environment.settings.self.zone)) continue;
      const { shardsPerDomain } = this.#host.environment.settings;
      for (let shard = 0; shard < shardsPerDomain; shard += 1) this.#review(domain, shard, now);
    }
  }

  /** Takes the answer to a request of this manager; false for any other. */
  keyValueResult(requestId: string, result: KeyValueResult, now: Milliseconds): boolean {
    const work = this.#requests.get(requestId);
    if (work === undefined) return false;
    this.#requests.delete(requestId);
    if (work.requestId !== requestId) return true;
    work.requestId = undefined;
    if (result.kind === 'failed') work.notBefore = now + result.retryAfter;
    else if (result.kind === 'range') this.#afterRead(work, result.entries[0], now);
    else if (result.succeeded && work.proposed !== null) this.#decided(work.proposed, now);
    return true;
  }

  #review(domain: LedgerDomain, shard: number, now: Milliseconds): void {
    const key = groupKey(domain.name, shard);
    const current = this.#host.groups.group(domain.name, shard);
    if (this.#plan(domain, shard, current, now) === undefined) {
      this.#work.delete(key);
      return;
    }
    let work = this.#work.get(key);
    if (work === undefined) {
      work = {
        domain,
        shard,
        wantedSince: now,
        notBefore: now,
        requestId: undefined,
        requestedAt: now,
        proposed: null,
      };
      this.#work.set(key, work);
    }
    if (this.#isMyTurn(work, key, now) && this.#isReady(work, current, now)) this.#read(work, now);
  }

  #plan(
    domain: LedgerDomain,
    shard: number,
    current: GroupRecord | undefined,
    now: Milliseconds,
  ): GroupRecord | undefined {
    const { view, environment } = this.#host;
    const { replicaCount, replacementGrace, spreadDelay } = environment.settings;
    if (current === undefined && now - view.changedAt < FORMATION_DELAY) return undefined;
    const gone = new Set(
      (current?.members ?? [])
        .filter(({ node, incarnation }) => view.isGone(node, incarnation, replacementGrace, now))
        .map(identityKey),
    );
    const live = view.liveIn(domain);
    const isMisplaced = (identity: string): boolean => view.isMisplaced(domain.name, identity);
    const isInPlace = !(current?.members ?? []).some((member) => isMisplaced(identityKey(member)));
    const isWhole = isInPlace && gone.size === 0 && (current?.members.length ?? 0) >= replicaCount;
    const isSettled = now - view.changedAt >= spreadDelay;
    if (isWhole && !isSettled) return undefined;
    const situation: GroupSituation = {
      domain: domain.name,
      shard,
      replicaCount,
      live,
      isSettled,
      liveRecord: (identity) => view.liveRecord(domain, identity),
      liveZones: view.liveZones(domain),
      isGone: (identity) => gone.has(identity),
      isMisplaced,
    };
    return current === undefined ? planCreation(situation) : planChange(current, situation);
  }

  #isMyTurn(work: GroupWork, key: string, now: Milliseconds): boolean {
    const { keyValueTimeout } = this.#host.environment.settings;
    const isWaiting = work.requestId !== undefined && now - work.requestedAt < keyValueTimeout;
    if (isWaiting || now < work.notBefore) return false;
    const rank = this.#host.view.rankIn(work.domain, key, this.#host.environment.selfKey);
    return rank >= 0 && now - work.wantedSince >= rank * TAKEOVER_INTERVAL;
  }

  /** Whether the current epoch has settled, so that the next one may begin. */
  #isReady(work: GroupWork, current: GroupRecord | undefined, now: Milliseconds): boolean {
    if (current === undefined) return true;
    const { activations, environment } = this.#host;
    const unsettled = current.members.filter((member) => {
      const key = identityKey(member);
      return environment.alive.has(key) && activations.stateOf(current, key) !== 'complete';
    });
    for (const member of unsettled) {
      environment.send(member, current, 0, { kind: 'group-record', record: current });
      environment.send(member, current, 0, { kind: 'activation-query' });
    }
    if (!activations.hasMajority(current, 'active')) return false;
    const { bodyCatchUpLimit } = environment.settings;
    return unsettled.length === 0 || now - work.wantedSince >= bodyCatchUpLimit;
  }

  #read(work: GroupWork, now: Milliseconds): void {
    work.proposed = null;
    const key = groupKey(work.domain.name, work.shard);
    this.#request(work, { kind: 'range', key, prefix: false }, now);
  }

  #afterRead(work: GroupWork, entry: KeyValueEntry | undefined, now: Milliseconds): void {
    const known = this.#host.groups.group(work.domain.name, work.shard);
    const stored = entry === undefined ? undefined : decodeGroupRecord(entry.value);
    if (stored !== undefined) this.#host.groups.learn(stored, now);
    // A change is decided only on the record it was wanted for.
    if (stored?.epoch !== known?.epoch || (entry !== undefined && stored === undefined)) return;
    const next = this.#plan(work.domain, work.shard, known, now);
    if (next === undefined) return;
    work.proposed = next;
    const key = groupKey(work.domain.name, work.shard);
    const modRevision = entry?.modRevision ?? 0;
    const value = encodeGroupRecord(next);
    const compares = [{ key, modRevision }];
    const writes = [{ kind: 'put', key, value }] as const;
    this.#request(work, { kind: 'transaction', compares, writes }, now);
  }

  #request(work: GroupWork, operation: KeyValueOperation, now: Milliseconds): void {
    const requestId = `ledger-group-${this.#host.environment.nextRequest()}`;
    if (work.requestId !== undefined) this.#requests.delete(work.requestId);
    work.requestId = requestId;
    work.requestedAt = now;
    this.#requests.set(requestId, work);
    this.#host.environment.emit({ kind: 'key-value', requestId, operation });
  }

  #decided(record: GroupRecord, now: Milliseconds): void {
    const { environment } = this.#host;
    environment.counters.groupChangesDecided += 1;
    const { domain, shard, epoch } = record;
    const details = { domain, shard, epoch, members: record.members.map(identityKey).join(' ') };
    environment.emit({ kind: 'state-change', change: 'group-decided', details });
    this.#host.groups.learn(record, now);
    for (const member of record.members) {
      environment.send(member, record, 0, { kind: 'group-record', record });
    }
  }
}
