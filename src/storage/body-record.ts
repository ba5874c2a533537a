/**
 * How bodies lie in a database: one entry with the body, and a small one that names it, so that
 * a start reads names only. Both are written in one batch.
 */
import { contentDigest } from '../core/hashing.js';
import type { BodyName } from '../ledger/messages.js';

/** Version of this form; a database with another one is set aside. */
export const FORMAT_VERSION = '1';
/** Key of the format version. */
export const FORMAT_KEY = 'format';
/** First and last bound of the keys that name bodies. */
export const NAME_RANGE = { gte: 'name/', lt: 'name0' } as const;
/** First and last bound of the keys that hold bodies. */
export const BODY_RANGE = { gte: 'body/', lt: 'body0' } as const;

/** Hexadecimal digits of the check that a naming entry bears. */
const CHECK_LENGTH = 16;
const ENTRY_PATTERN = /^name\/([^/]+)\/([0-9a-f]{64})$/;
const FACTS_PATTERN = /^(\d{1,15}) (\d{1,15}) ([0-9a-f]+)$/;

/** What is known of a body without reading it. */
export interface BodyFacts {
  /** Length of the body in bytes. */
  readonly bytes: number;
  /** Wall-clock time of the write, in milliseconds since 1970. */
  readonly writtenAt: number;
}

/** One naming entry. */
export interface BodyEntry extends BodyFacts {
  readonly name: BodyName;
}

function suffixOf(name: BodyName): string {
  return `${encodeURIComponent(name.shardKey)}/${name.digest}`;
}

/** Key of the entry that names a body. */
export function nameKeyOf(name: BodyName): string {
  return NAME_RANGE.gte + suffixOf(name);
}

/** Key of the entry with the body itself. */
export function bodyKeyOf(name: BodyName): string {
  return BODY_RANGE.gte + suffixOf(name);
}

function checkOf(key: string, facts: BodyFacts): string {
  return contentDigest(`${key} ${facts.bytes} ${facts.writtenAt}`).slice(0, CHECK_LENGTH);
}

/** Value of a naming entry. */
export function encodeFacts(name: BodyName, facts: BodyFacts): string {
  return `${facts.bytes} ${facts.writtenAt} ${checkOf(nameKeyOf(name), facts)}`;
}

/** Reads a naming entry; `undefined` where it is damaged. */
export function decodeEntry(key: string, value: string): BodyEntry | undefined {
  const [, shardKey, digest] = ENTRY_PATTERN.exec(key) ?? [];
  const [, bytes, writtenAt, check] = FACTS_PATTERN.exec(value) ?? [];
  if (shardKey === undefined || digest === undefined) return undefined;
  const facts = { bytes: Number(bytes), writtenAt: Number(writtenAt) };
  if (check !== checkOf(key, facts)) return undefined;
  return { name: { shardKey: decodeURIComponent(shardKey), digest }, ...facts };
}
