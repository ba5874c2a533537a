/** What the ledger knows of the fleet: who lives, since when others are gone, which zones. */
import { rendezvousOrder } from '../core/hashing.js';
import { identityKey, type NodeRecord } from '../core/identity.js';
import type { Milliseconds } from '../core/units.js';
import type { LedgerDomain, LedgerMember } from './requests.js';

/** The ledger's copy of the membership. */
export class MemberView {
  domains: readonly LedgerDomain[] = [];
  /** Identity keys of living lives. */
  alive: ReadonlySet<string> = new Set();
  #members: readonly LedgerMember[] = [];
  readonly #incarnations = new Map<string, number>();
  readonly #goneSince = new Map<string, Milliseconds>();
  #records: ReadonlyMap<string, NodeRecord> = new Map();
  #zonesByDomain = new Map<string, ReadonlySet<string>>();
  #liveByDomain = new Map<string, readonly NodeRecord[]>();
  #ranks = new Map<string, number>();
  /** When the set of living nodes last changed. */
  changedAt: Milliseconds = 0;

  /** Takes a new list of members and domains. */
  update(
    members: readonly LedgerMember[],
    domains: readonly LedgerDomain[],
    now: Milliseconds,
  ): void {
    this.#members = members;
    this.domains = domains;
    const living = members.filter((member) => member.alive);
    this.#records = new Map(living.map(({ record }) => [identityKey(record), record]));
    const alive = new Set(this.#records.keys());
    const isSame = alive.size === this.alive.size && [...alive].every((key) => this.alive.has(key));
    this.#liveByDomain = new Map();
    this.#zonesByDomain = new Map();
    this.#ranks = new Map();
    if (isSame) return;
    this.alive = alive;
    this.changedAt = now;
    for (const key of alive) this.#goneSince.delete(key);
    this.#incarnations.clear();
    for (const { record } of living) this.#incarnations.set(record.node, record.incarnation);
  }

  /** Living nodes of a domain's zones. */
  liveIn(domain: LedgerDomain): readonly NodeRecord[] {
    let live = this.#liveByDomain.get(domain.name);
    if (live === undefined) {
      live = this.#members
        .filter((member) => member.alive && domain.zones.includes(member.record.zone))
        .map((member) => member.record);
      this.#liveByDomain.set(domain.name, live);
    }
    return live;
  }

  /** The record of a living node of a domain by its identity key. */
  liveRecord(domain: LedgerDomain, identity: string): NodeRecord | undefined {
    const record = this.#records.get(identity);
    return record !== undefined && domain.zones.includes(record.zone) ? record : undefined;
  }

  /** Whether a living node is in a zone that the domain does not name, or no longer names. */
  isMisplaced(domainName: string, identity: string): boolean {
    const domain = this.domains.find((item) => item.name === domainName);
    const zone = this.#records.get(identity)?.zone;
    return domain !== undefined && zone !== undefined && !domain.zones.includes(zone);
  }

  /** Zones of a domain with living nodes. */
  liveZones(domain: LedgerDomain): ReadonlySet<string> {
    let zones = this.#zonesByDomain.get(domain.name);
    if (zones === undefined) {
      zones = new Set(this.liveIn(domain).map((record) => record.zone));
      this.#zonesByDomain.set(domain.name, zones);
    }
    return zones;
  }

  /** Place of a life in the rendezvous order of a key among the domain's living nodes, or -1. */
  rankIn(domain: LedgerDomain, key: string, identity: string): number {
    let rank = this.#ranks.get(key);
    if (rank === undefined) {
      const order = rendezvousOrder(key, this.liveIn(domain), (record) => record.node);
      rank = order.findIndex((record) => identityKey(record) === identity);
      this.#ranks.set(key, rank);
    }
    return rank;
  }

  /** Whether a life is over for certain, or has been silent for longer than the grace. */
  isGone(node: string, incarnation: number, grace: Milliseconds, now: Milliseconds): boolean {
    const key = `${node}#${incarnation}`;
    if (this.alive.has(key)) return false;
    const living = this.#incarnations.get(node);
    if (living !== undefined && living > incarnation) return true;
    const since = this.#goneSince.get(key);
    if (since !== undefined) return now - since >= grace;
    this.#goneSince.set(key, now);
    return false;
  }
}
