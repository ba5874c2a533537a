/**
 * The configuration every node holds a copy of: what it contains, under which keys of the
 * key-value service, and a read-only view of one revision.
 */
import type {
  AccountName,
  IntentName,
  ModelName,
  NodeIdentity,
  ZoneName,
} from '../core/identity.js';
import type { Milliseconds, Revision, WeightVersion } from '../core/units.js';

/** Everything below this prefix reaches every node through the configuration feed. */
export const FEED_PREFIX = '/wardwing/feed/';

/** Prefixes below {@link FEED_PREFIX}, one per kind of record. */
export const FEED_PREFIXES = {
  intents: `${FEED_PREFIX}intents/`,
  versions: `${FEED_PREFIX}versions/`,
  groups: `${FEED_PREFIX}groups/`,
  drains: `${FEED_PREFIX}drains/`,
} as const;

/** What a zone does with an intent's work while it cannot show that its configuration is fresh. */
export type CutOffRule =
  | { readonly kind: 'refuse' }
  | {
      /** Serve inside the zone until the configuration is this old; see `freshnessAge`. */
      readonly kind: 'serve';
      readonly duration: Milliseconds;
    };

/** Largest share of a worker's slots that may be reserved for interactive traffic. */
export const RESERVED_SHARE_LIMIT = 0.9;

/** How interactive traffic is protected against training work on the same workers. */
export interface InteractiveProtection {
  /** Accounts that may ask interactively under this intent. */
  readonly accounts: readonly AccountName[];
  /** Share of a worker's slots that training never takes, at most {@link RESERVED_SHARE_LIMIT}. */
  readonly reservedShare: number;
}

/** What an operator wants to be allowed. */
export interface Intent {
  readonly name: IntentName;
  /** Trainer that may draw samples; `null` for an intent with interactive traffic only. */
  readonly trainer: AccountName | null;
  readonly model: ModelName;
  readonly zones: readonly ZoneName[];
  /** Oldest weight version that may be used at all. */
  readonly minimumVersion: WeightVersion;
  /** Newest weight version that may be used; `null` for no limit. */
  readonly maximumVersion: WeightVersion | null;
  /** How many versions behind the newest one a token of a sample may be. */
  readonly stalenessBound: number;
  /** What happens to a sample whose worker changes weights under it. */
  readonly versionSpan: 'record' | 'restart';
  readonly interactive: InteractiveProtection;
  readonly cutOff: CutOffRule;
}

/** The weight versions of one model; the list is in rising order. */
export interface ModelCatalogue {
  readonly model: ModelName;
  readonly versions: readonly PublishedVersion[];
}

/** One published weight version. */
export interface PublishedVersion {
  readonly version: WeightVersion;
  readonly digest: string;
  readonly bytes: number;
}

/** Nodes that hold one shard of the ledger. */
export interface GroupRecord {
  /** Residency domain: see `src/ledger`. */
  readonly domain: string;
  readonly shard: number;
  /** Rises by one with each change of members. */
  readonly epoch: number;
  readonly members: readonly NodeIdentity[];
  /** Members of the epoch before, from which new members catch up; empty for the first epoch. */
  readonly previousMembers: readonly NodeIdentity[];
}

/** An operator's wish that something takes no new work. */
export interface DrainRecord {
  readonly target: DrainTarget;
  readonly reason: string;
}

/** Kinds of things that can be drained. */
export const DRAIN_KINDS = ['node', 'worker', 'zone'] as const;

/** What is drained. */
export interface DrainTarget {
  readonly kind: (typeof DRAIN_KINDS)[number];
  readonly name: string;
}

/** One revision of the whole configuration. */
export interface Configuration {
  readonly revision: Revision;
  readonly intents: ReadonlyMap<IntentName, Intent>;
  readonly catalogues: ReadonlyMap<ModelName, ModelCatalogue>;
  /** Keyed by {@link groupKey}. */
  readonly groups: ReadonlyMap<string, GroupRecord>;
  readonly drains: readonly DrainRecord[];
}

/** Key-value key of an intent. */
export function intentKey(name: IntentName): string {
  return FEED_PREFIXES.intents + name;
}

/** Key-value key of a model's catalogue. */
export function catalogueKey(model: ModelName): string {
  return FEED_PREFIXES.versions + model;
}

/** Key-value key of a replica group. */
export function groupKey(domain: string, shard: number): string {
  return `${FEED_PREFIXES.groups}${domain}/${shard}`;
}

/** Key-value key of a drain. */
export function drainKey(target: DrainTarget): string {
  return `${FEED_PREFIXES.drains}${target.kind}/${target.name}`;
}

/** The newest published version of a model; `undefined` where none is known. */
export function newestVersion(
  configuration: Configuration,
  model: ModelName,
): WeightVersion | undefined {
  return configuration.catalogues.get(model)?.versions.at(-1)?.version;
}

/** The oldest version that may produce a token under an intent, given the newest version. */
export function oldestAllowedVersion(intent: Intent, newest: WeightVersion): WeightVersion {
  const ceiling = Math.min(newest, intent.maximumVersion ?? newest);
  return Math.max(intent.minimumVersion, ceiling - intent.stalenessBound, 1);
}
