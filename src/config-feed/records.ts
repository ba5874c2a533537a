/**
 * Decodes the JSON text of feed entries into the records of `configuration.ts`. A record that
 * does not parse is kept out and reported; it never stops the others.
 */
import * as z from 'zod';
import type { IntentName, ModelName } from '../core/identity.js';
import type { Revision } from '../core/units.js';
import {
  type Configuration,
  catalogueKey,
  DRAIN_KINDS,
  type DrainRecord,
  drainKey,
  FEED_PREFIXES,
  type GroupRecord,
  groupKey,
  type Intent,
  intentKey,
  type ModelCatalogue,
  RESERVED_SHARE_LIMIT,
} from './configuration.js';

const name = z.string().min(1).max(200);
const wholeNumber = z.number().int().nonnegative();
const version = z.number().int().positive();
const duration = z.number().finite().nonnegative();

const cutOffRule = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('refuse') }),
  z.strictObject({ kind: z.literal('serve'), duration }),
]);

/** Schema of an intent. */
export const intentSchema = z
  .strictObject({
    name,
    trainer: name.nullable(),
    model: name,
    /** Empty for an intent that was taken back. */
    zones: z.array(name).readonly(),
    minimumVersion: version,
    maximumVersion: version.nullable(),
    stalenessBound: wholeNumber,
    versionSpan: z.enum(['record', 'restart']),
    interactive: z.strictObject({
      accounts: z.array(name).readonly(),
      reservedShare: z.number().min(0).max(RESERVED_SHARE_LIMIT),
    }),
    cutOff: cutOffRule,
  })
  .refine((intent) => new Set(intent.zones).size === intent.zones.length, {
    message: 'a zone is named twice',
    path: ['zones'],
  })
  .refine(
    (intent) => intent.maximumVersion === null || intent.maximumVersion >= intent.minimumVersion,
    { message: 'the newest version is below the oldest', path: ['maximumVersion'] },
  );

const publishedVersion = z.strictObject({ version, digest: name, bytes: wholeNumber });

/** Schema of a model's catalogue. */
const catalogueSchema = z
  .strictObject({ model: name, versions: z.array(publishedVersion).readonly() })
  .refine((catalogue) => isRising(catalogue.versions.map((published) => published.version)), {
    message: 'versions are not in rising order',
    path: ['versions'],
  });

const identity = z.strictObject({ node: name, incarnation: wholeNumber });

/** Schema of a replica group. */
const groupSchema = z.strictObject({
  domain: name,
  shard: wholeNumber,
  epoch: wholeNumber,
  members: z.array(identity).readonly(),
  previousMembers: z.array(identity).readonly(),
});

/** Schema of a drain. */
export const drainSchema = z.strictObject({
  target: z.strictObject({ kind: z.enum(DRAIN_KINDS), name }),
  reason: z.string().max(2_000),
});

/** A record that was kept out. */
export interface RejectedRecord {
  readonly key: string;
  readonly reason: string;
}

/** What decoding gives. */
export interface DecodedConfiguration {
  readonly configuration: Configuration;
  readonly rejected: readonly RejectedRecord[];
}

/** A key of the feed with its JSON text. */
export interface EncodedRecord {
  readonly key: string;
  readonly value: string;
}

interface MutableConfiguration {
  readonly intents: Map<IntentName, Intent>;
  readonly catalogues: Map<ModelName, ModelCatalogue>;
  readonly groups: Map<string, GroupRecord>;
  readonly drains: DrainRecord[];
}

/** A configuration without any record, as a node holds it before it has learnt one. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  intents: new Map(),
  catalogues: new Map(),
  groups: new Map(),
  drains: [],
};

function isRising(numbers: readonly number[]): boolean {
  return numbers.every((value, position) => position === 0 || value > (numbers[position - 1] ?? 0));
}

/** Adds one decoded record to a configuration. */
type AddRecord = (into: MutableConfiguration) => void;

/** A decoded record, or the reason why it is kept out. */
type DecodedRecord = AddRecord | string;

/** Decodes revisions one after the other; a record whose text did not change is decoded once. */
export class RecordDecoder {
  private known = new Map<string, { readonly value: string; readonly decoded: DecodedRecord }>();

  /** Decodes all entries of one revision. */
  decode(entries: Iterable<EncodedRecord>, revision: Revision): DecodedConfiguration {
    const collected: MutableConfiguration = {
      intents: new Map(),
      catalogues: new Map(),
      groups: new Map(),
      drains: [],
    };
    const rejected: RejectedRecord[] = [];
    const present: typeof this.known = new Map();
    const sorted = [...entries].sort((left, right) => (left.key < right.key ? -1 : 1));
    for (const { key, value } of sorted) {
      const before = this.known.get(key);
      const decoded = before?.value === value ? before.decoded : decodeRecord({ key, value });
      present.set(key, { value, decoded });
      if (typeof decoded === 'string') rejected.push({ key, reason: decoded });
      else decoded(collected);
    }
    this.known = present;
    return { configuration: { revision, ...collected }, rejected };
  }
}

/** Decodes all entries of one revision. */
export function decodeConfiguration(
  entries: Iterable<EncodedRecord>,
  revision: Revision,
): DecodedConfiguration {
  return new RecordDecoder().decode(entries, revision);
}

function decodeRecord(entry: EncodedRecord): DecodedRecord {
  const value = parseJson(entry.value);
  if (value === undefined) return 'the value is not JSON';
  if (entry.key.startsWith(FEED_PREFIXES.intents)) return decodeIntent(entry.key, value);
  if (entry.key.startsWith(FEED_PREFIXES.versions)) return decodeCatalogue(entry.key, value);
  if (entry.key.startsWith(FEED_PREFIXES.groups)) return decodeGroup(entry.key, value);
  if (entry.key.startsWith(FEED_PREFIXES.drains)) return decodeDrain(entry.key, value);
  return 'the key belongs to no kind of record';
}

function decodeIntent(key: string, value: unknown): DecodedRecord {
  const parsed = intentSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  const { data } = parsed;
  if (key !== intentKey(data.name)) return KEY_MISMATCH;
  return (into) => into.intents.set(data.name, data);
}

function decodeCatalogue(key: string, value: unknown): DecodedRecord {
  const parsed = catalogueSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  const { data } = parsed;
  if (key !== catalogueKey(data.model)) return KEY_MISMATCH;
  return (into) => into.catalogues.set(data.model, data);
}

function decodeGroup(key: string, value: unknown): DecodedRecord {
  const parsed = groupSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  const { data } = parsed;
  if (key !== groupKey(data.domain, data.shard)) return KEY_MISMATCH;
  return (into) => into.groups.set(key, data);
}

function decodeDrain(key: string, value: unknown): DecodedRecord {
  const parsed = drainSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  const { data } = parsed;
  if (key !== drainKey(data.target)) return KEY_MISMATCH;
  return (into) => into.drains.push(data);
}

const KEY_MISMATCH = 'the record names something else than its key';

function reasonOf(error: z.ZodError): string {
  const issue = error.issues[0];
  return issue === undefined ? 'invalid' : `${issue.path.join('.')}: ${issue.message}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
