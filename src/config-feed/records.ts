/**
 * Decodes the JSON text of feed entries into the records of `configuration.ts`. A record that
 * does not parse is kept out and reported; it never stops the others.
 */
import { z } from 'zod';
import type { IntentName, ModelName } from '../core/identity.js';
import type { Revision } from '../core/units.js';
import {
  type Configuration,
  catalogueKey,
  type DrainRecord,
  drainKey,
  FEED_PREFIXES,
  type GroupRecord,
  groupKey,
  type Intent,
  intentKey,
  type ModelCatalogue,
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
    zones: z.array(name).min(1).readonly(),
    minimumVersion: version,
    maximumVersion: version.nullable(),
    stalenessBound: wholeNumber,
    versionSpan: z.enum(['record', 'restart']),
    interactive: z.strictObject({
      accounts: z.array(name).readonly(),
      reservedShare: z.number().min(0).max(0.9),
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
  target: z.strictObject({ kind: z.enum(['node', 'worker', 'zone']), name }),
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

/** Decodes all entries of one revision. */
export function decodeConfiguration(
  entries: Iterable<EncodedRecord>,
  revision: Revision,
): DecodedConfiguration {
  const collected: MutableConfiguration = {
    intents: new Map(),
    catalogues: new Map(),
    groups: new Map(),
    drains: [],
  };
  const rejected: RejectedRecord[] = [];
  const sorted = [...entries].sort((left, right) => (left.key < right.key ? -1 : 1));
  for (const entry of sorted) {
    const reason = decodeRecord(entry, collected);
    if (reason !== null) rejected.push({ key: entry.key, reason });
  }
  return { configuration: { revision, ...collected }, rejected };
}

/** Adds one record; the reason why it was kept out, or `null`. */
function decodeRecord(entry: EncodedRecord, into: MutableConfiguration): string | null {
  const value = parseJson(entry.value);
  if (value === undefined) return 'the value is not JSON';
  if (entry.key.startsWith(FEED_PREFIXES.intents)) return addIntent(entry.key, value, into);
  if (entry.key.startsWith(FEED_PREFIXES.versions)) return addCatalogue(entry.key, value, into);
  if (entry.key.startsWith(FEED_PREFIXES.groups)) return addGroup(entry.key, value, into);
  if (entry.key.startsWith(FEED_PREFIXES.drains)) return addDrain(entry.key, value, into);
  return 'the key belongs to no kind of record';
}

function addIntent(key: string, value: unknown, into: MutableConfiguration): string | null {
  const parsed = intentSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  if (key !== intentKey(parsed.data.name)) return KEY_MISMATCH;
  into.intents.set(parsed.data.name, parsed.data);
  return null;
}

function addCatalogue(key: string, value: unknown, into: MutableConfiguration): string | null {
  const parsed = catalogueSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  if (key !== catalogueKey(parsed.data.model)) return KEY_MISMATCH;
  into.catalogues.set(parsed.data.model, parsed.data);
  return null;
}

function addGroup(key: string, value: unknown, into: MutableConfiguration): string | null {
  const parsed = groupSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  if (key !== groupKey(parsed.data.domain, parsed.data.shard)) return KEY_MISMATCH;
  into.groups.set(key, parsed.data);
  return null;
}

function addDrain(key: string, value: unknown, into: MutableConfiguration): string | null {
  const parsed = drainSchema.safeParse(value);
  if (!parsed.success) return reasonOf(parsed.error);
  if (key !== drainKey(parsed.data.target)) return KEY_MISMATCH;
  into.drains.push(parsed.data);
  return null;
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
